#include "EndToEndHeaders.h"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>

namespace stairspur::node {

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

static auto isOurs(std::string_view name) -> bool
{
    using namespace transport::header;
    return boost::algorithm::istarts_with(name, "Stairspur-")
           || boost::algorithm::iequals(name, Authorization)
           || boost::algorithm::iequals(name, TraceParent)
           || boost::algorithm::iequals(name, IdempotencyKey);
}

static auto belongsToConnection(std::string_view name, std::string_view connection) -> bool
{
    if (std::ranges::any_of(ConnectionHeaders,
                            [name](auto it) { return boost::algorithm::iequals(name, it); }))
        return true;
    // The Connection field may name further fields that end at this hop.
    return !connection.empty() && boost::algorithm::icontains(connection, name);
}

auto endToEndHeaders(const transport::HeaderList &headers) -> transport::HeaderList
{
    const auto connection = headers.find("Connection");
    auto kept = transport::HeaderList();
    for (const auto &it : headers.fields()) {
        if (!isOurs(it.name) && !belongsToConnection(it.name, connection))
            kept.add(it.name, it.value);
    }
    return kept;
}

} // namespace stairspur::node
