#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::node {

/// The content of the rendezvous keys of all failure domains, as one node uses it.
struct RendezvousKeys
{
    std::vector<std::optional<NodeId>> holders; ///< Holders of the own domain's slots, by slot.
    std::vector<NodeId> hints;                  ///< Possible first peers, of any domain.
    bool hasOtherDomains = false;
    std::uint32_t ignored = 0; ///< Number of keys that no node can have written.
};

/// Parses the keys below the prefix of all domains. Any client with access to the store may write such keys: values that are
/// not node addresses yield no hint, and keys of another form are ignored. A slot of the own domain with an invalid value
/// still counts as taken, since its key cannot be created.
auto readRendezvousKeys(const std::vector<store::KeyValue> &pairs, const std::string &ownPrefix,
                        std::uint32_t slots) -> RendezvousKeys;

} // namespace stairspur::node
