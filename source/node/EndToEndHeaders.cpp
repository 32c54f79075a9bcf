#include "EndToEndHeaders.h"

#include <boost/beast/core/string.hpp>

#include <stairspur/transport/EndToEnd.h>

namespace stairspur::node {

static auto isReservedField(std::string_view name) -> bool
{
    using namespace transport::header;
    static constexpr auto OwnPrefix = std::string_view("Stairspur-");
    return boost::beast::iequals(name.substr(0, OwnPrefix.size()), OwnPrefix)
           || boost::beast::iequals(name, Authorization) || boost::beast::iequals(name, TraceParent)
           || boost::beast::iequals(name, IdempotencyKey);
}

auto endToEndHeaders(const transport::HeaderList &headers) -> transport::HeaderList
{
    auto kept = transport::HeaderList();
    for (auto &it : transport::endToEndFields(headers)) {
        if (!isReservedField(it.name))
            kept.add(std::move(it.name), std::move(it.value));
    }
    return kept;
}

} // namespace stairspur::node
