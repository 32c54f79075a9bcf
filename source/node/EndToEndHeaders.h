#pragma once

#include <stairspur/transport/HeaderList.h>

namespace stairspur::node {

/// Returns the end-to-end fields of `headers` (RFC 9110, section 7.6.1), without those that stairspur itself reads and
/// writes.
auto endToEndHeaders(const transport::HeaderList &headers) -> transport::HeaderList;

} // namespace stairspur::node
