#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::node {

/// What the rendezvous keys of all failure domains tell one node.
struct RendezvousKeys
{
    std::vector<std::optional<NodeId>> holders; ///< By slot of the own domain.
    std::vector<NodeId> hints;                  ///< Nodes to ask for others, of any domain.
    bool hasOtherDomains = false;
    std::uint32_t ignored = 0; ///< Keys that no node of ours can have written.
};

/// Reads the keys below the prefix of all domains. Whoever has access to the store may write there: a value that is no address of
/// a node names nobody to ask, and a key of another form is passed over. A slot of the own domain with such a value
/// still counts as taken, since its key cannot be created.
auto readRendezvousKeys(const std::vector<store::KeyValue> &pairs, const std::string &ownPrefix,
                        std::uint32_t slots) -> RendezvousKeys;

} // namespace stairspur::node
