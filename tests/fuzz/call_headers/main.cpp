// Fuzzes the header fields of a request from outside the platform. The request to the backend server must contain no key, and
// no caller name that the sender wrote itself.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <boost/beast/core/string.hpp>

#include "../../../platform/CallHeaders.h"
#include <stairspur/node/CallRejected.h>

using namespace stairspur;

/// Returns the header fields of lines with `name:value`.
static auto readHeaders(std::string_view text) -> transport::HeaderList
{
    auto headers = transport::HeaderList();
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
            headers.add(std::string(line.substr(0, colon)), std::string(line.substr(colon + 1)));
    }
    return headers;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto calls = platform::platformCalls();
    auto request = transport::HttpRequest();
    request.headers = readHeaders({reinterpret_cast<const char *>(data), size});
    try {
        auto call = transport::CallRequest();
        call.headers = calls.readRequest(std::move(request)).headers;
        call.caller = "kitchen";
        const auto sent = calls.writeBackendRequest(std::move(call), Duration{1'000'000}, "i");
        auto callers = 0;
        for (const auto &it : sent.headers.fields()) {
            if (boost::beast::iequals(it.name, "X-Api-Key"))
                std::abort();
            callers += boost::beast::iequals(it.name, "X-Tenant") ? 1 : 0;
        }
        if (callers != 1 || sent.headers.find("X-Tenant") != "kitchen")
            std::abort();
    } catch (const node::CallRejected &) {
        return 0; // The entry handles only this error.
    }
    return 0;
}
