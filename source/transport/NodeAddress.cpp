#include <stairspur/transport/NodeAddress.h>

#include <charconv>

namespace stairspur::transport {

auto parseNode(const NodeId &node) -> std::optional<NodeAddress>
{
    const auto colon = node.rfind(':');
    if (colon == NodeId::npos)
        return std::nullopt;
    auto ec = boost::system::error_code();
    const auto address = asio::ip::make_address(node.substr(0, colon), ec);
    auto port = std::uint16_t{0};
    const auto *end = node.data() + node.size();
    const auto [stop, error] = std::from_chars(node.data() + colon + 1, end, port);
    if (ec || error != std::errc() || stop != end)
        return std::nullopt;
    return NodeAddress{address, port};
}

} // namespace stairspur::transport
