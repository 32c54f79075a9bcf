#pragma once

#include <stairspur/transport/HeaderList.h>

namespace stairspur::node {

/// The fields of `headers` that belong to the message, not to one connection (RFC 9110, section 7.6.1), less those that
/// stairspur itself reads and writes.
auto endToEndHeaders(const transport::HeaderList &headers) -> transport::HeaderList;

} // namespace stairspur::node
