#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/membership/RendezvousSlots.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::node {

/// Executes the actions of RendezvousSlots: maintains a few leased keys per failure domain in the platform's store, through
/// which a starting node finds its first peers. Belongs to the control thread.
class RendezvousService
{
public:
    using HintsCallback = std::function<void(const std::vector<NodeId> &)>;

    /// The store must outlive the io_context. `didRead` is called with the nodes that each read has found.
    RendezvousService(transport::asio::io_context &io, store::AnyStore &store, NodeId ownNode,
                      std::string domain, Duration claimSpread, HintsCallback didRead,
                      std::uint64_t seed);

    auto start() -> void;

    /// Releases the slot, if this node has one.
    auto leave() -> void;

private:
    auto run() -> transport::Task<void>;
    auto step() -> transport::Task<void>;
    [[nodiscard]] auto timeUntilNextStep() const -> Duration;
    auto read() -> transport::Task<void>;
    auto readHolders() -> transport::Task<bool>;
    auto searchOtherDomains() -> transport::Task<void>;
    auto claim() -> transport::Task<void>;
    auto renew() -> transport::Task<void>;
    [[nodiscard]] auto keyOf(std::uint32_t slot) const -> std::string;

    transport::asio::io_context &m_io;
    store::AnyStore &m_store;
    NodeId m_ownNode;
    std::string m_prefix;
    HintsCallback m_didRead;
    membership::RendezvousSettings m_settings;
    membership::RendezvousSlots m_slots;
    store::LeaseId m_lease = 0;
    std::vector<std::optional<NodeId>>
            m_holders;               ///< Holders of the own domain's slots at the last read.
    std::uint32_t m_ignoredKeys = 0; ///< Number of invalid keys at the last read.
    bool m_didLoseClaim = false;     ///< Another node's key existed, so the last read was stale.
    bool m_hasSeenOtherDomains = false;
    TimePoint m_nextSearch;
    Duration m_searchDelay{250'000}; ///< Doubles with each search that finds none.

    transport::Timer m_timer;
};

} // namespace stairspur::node
