#pragma once

#include <vector>

#include <stairspur/transport/HeaderList.h>

namespace stairspur::transport {

/// The fields of `headers` that belong to the message, not to one connection (RFC 9110, section 7.6.1).
auto endToEndFields(const HeaderList &headers) -> std::vector<HeaderField>;

} // namespace stairspur::transport
