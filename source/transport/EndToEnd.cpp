#include <stairspur/transport/EndToEnd.h>

#include <algorithm>
#include <array>
#include <string>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace stairspur::transport {

static constexpr auto ConnectionHeaders = std::array<std::string_view, 11>{"Connection",
                                                                           "Keep-Alive",
                                                                           "Proxy-Connection",
                                                                           "Proxy-Authenticate",
                                                                           "Proxy-Authorization",
                                                                           "TE",
                                                                           "Trailer",
                                                                           "Transfer-Encoding",
                                                                           "Upgrade",
                                                                           "Content-Length",
                                                                           "Host"};

/// Returns whether a field ends at this hop, as some always do and others where the Connection field names them (RFC 9110,
/// section 7.6.1).
static auto belongsToConnection(std::string_view name, std::string_view connection) -> bool
{
    const auto isName = [name](auto it) { return boost::beast::iequals(name, it); };
    return std::ranges::any_of(ConnectionHeaders, isName)
           || boost::beast::http::token_list(connection).exists(name);
}

/// Returns the values of all Connection fields as one list.
static auto connectionOptions(const HeaderList &headers) -> std::string
{
    auto options = std::string();
    for (const auto &it : headers.fields()) {
        if (boost::beast::iequals(it.name, "Connection"))
            options += options.empty() ? it.value : "," + it.value;
    }
    return options;
}

auto endToEndFields(const HeaderList &headers) -> std::vector<HeaderField>
{
    const auto connection = connectionOptions(headers);
    auto kept = std::vector<HeaderField>();
    for (const auto &it : headers.fields()) {
        if (!belongsToConnection(it.name, connection))
            kept.push_back(it);
    }
    return kept;
}

} // namespace stairspur::transport
