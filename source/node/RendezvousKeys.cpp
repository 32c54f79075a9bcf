#include "RendezvousKeys.h"

#include <charconv>
#include <string_view>

#include <stairspur/transport/NodeAddress.h>

namespace stairspur::node {

/// Returns the slot number in the last part of a key; empty if it is not a valid slot number.
static auto slotOf(std::string_view digits, std::uint32_t slots) -> std::optional<std::uint32_t>
{
    auto slot = std::uint32_t{0};
    const auto *end = digits.data() + digits.size();
    const auto [parsed, ec] = std::from_chars(digits.data(), end, slot);
    if (ec != std::errc() || parsed != end || slot >= slots)
        return std::nullopt;
    return slot;
}

auto readRendezvousKeys(const std::vector<store::KeyValue> &pairs, const std::string &ownPrefix,
                        std::uint32_t slots) -> RendezvousKeys
{
    auto keys = RendezvousKeys();
    keys.holders.resize(slots);
    for (const auto &it : pairs) {
        const auto isOwnDomain = it.key.starts_with(ownPrefix);
        const auto slot = slotOf(std::string_view(it.key).substr(it.key.rfind('/') + 1), slots);
        if (slot && isOwnDomain)
            keys.holders[*slot] = it.value;
        if (!slot || !transport::parseNode(it.value)) {
            ++keys.ignored;
            continue;
        }
        keys.hints.push_back(it.value);
        keys.hasOtherDomains = keys.hasOtherDomains || !isOwnDomain;
    }
    return keys;
}

} // namespace stairspur::node
