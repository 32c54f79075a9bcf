#include <stairspur/transport/EndToEnd.h>

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

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

/// Names of fields are ASCII (RFC 9110, section 5.1); a comparison by a locale costs a search for its facet each time.
static auto startsWithName(std::string_view text, std::string_view start) -> bool
{
    return boost::beast::iequals(text.substr(0, start.size()), start);
}

static auto containsName(std::string_view text, std::string_view name) -> bool
{
    for (auto rest = text; rest.size() >= name.size(); rest.remove_prefix(1)) {
        if (startsWithName(rest, name))
            return true;
    }
    return false;
}

static auto belongsToConnection(std::string_view name, std::string_view connection) -> bool
{
    if (std::ranges::any_of(ConnectionHeaders,
                            [name](auto it) { return boost::beast::iequals(name, it); }))
        return true;
    // The Connection field may name further fields that end at this hop.
    return !connection.empty() && containsName(connection, name);
}

auto endToEndFields(const HeaderList &headers) -> std::vector<HeaderField>
{
    const auto connection = headers.find("Connection");
    auto kept = std::vector<HeaderField>();
    for (const auto &it : headers.fields()) {
        if (!belongsToConnection(it.name, connection))
            kept.push_back(it);
    }
    return kept;
}

} // namespace stairspur::transport
