// Fuzzes the header fields of a call, one per line as `name:value`. The text after an empty line is the body.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/Hash.h>

#include "../../../source/node/BackendAnswer.h"
#include "../../../source/node/CallIntake.h"

using namespace stairspur;

static constexpr auto Now = TimePoint(std::chrono::seconds(1000));
static constexpr auto ParentDeadline = Now + std::chrono::milliseconds(100);

static auto makeConfiguration() -> config::ConfigurationIndex
{
    auto versioned = config::VersionedConfiguration();
    auto &it = versioned.configuration;
    it.classes = {{"orders", 0}, {"browse", 1}};
    it.services = {{.name = "menu"}, {.name = "intake", .isIdempotent = false}};
    it.callers = {{.name = "kitchen", .keySha256 = sha256Hex("key"), .classes = {"browse"}}};
    return config::ConfigurationIndex(
            std::make_shared<const config::VersionedConfiguration>(std::move(versioned)));
}

static auto makeRequest(std::string_view text) -> transport::HttpRequest
{
    auto request = transport::HttpRequest{.method = "POST", .target = "/"};
    request.remoteAddress = "127.0.0.1";
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            break;
        request.headers.add(std::string(line.substr(0, colon)),
                            std::string(line.substr(colon + 1)));
    }
    request.body = text;
    return request;
}

/// Returns whether class and deadline of the call are within those of its caller or parent.
static auto isWithinGrantedLimits(const node::IncomingCall &call) -> bool
{
    if (call.parent)
        return call.deadline <= ParentDeadline && call.request.caller == "parent";
    return call.request.className == "browse" && call.request.caller == "kitchen";
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto configuration = makeConfiguration();
    auto running = node::RunningCalls();
    running.open(0xab, {"browse", makeLevel(1, 0), RootId{1, 2}, ParentDeadline, "parent"}, 3,
                 false);
    auto random = Random(1);
    try {
        auto call = node::readCall(makeRequest({reinterpret_cast<const char *>(data), size}),
                                   configuration, running, "192.0.2.7", Now, random);
        if (!isWithinGrantedLimits(call))
            __builtin_trap();
        node::backendRequest(std::move(call.request), 1, std::chrono::milliseconds(1));
    } catch (const node::CallRejected &) {
        return 0; // The entry handles only this error.
    }
    return 0;
}
