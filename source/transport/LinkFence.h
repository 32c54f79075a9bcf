#pragma once

#include <string_view>

/// How the calls of a link that has fallen silent are settled. The connecting end opens another link to the same node and
/// asks on it, by a control request, up to which id calls have arrived on the silent one. The listening end takes no call of
/// a greater id from that link any more, so that such a call runs nowhere, now or later. Those that arrived go on.
namespace stairspur::transport {

/// The request's payload is the nonce by which the listening end knows the link; the reply is the id, a CBOR unsigned.
inline constexpr auto FenceTopic = std::string_view("link-fence");

} // namespace stairspur::transport
