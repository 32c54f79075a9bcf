#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/membership/BackendAnnouncements.h>
#include <stairspur/membership/LeavingReplication.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

#include "LeavingArchive.h"

namespace stairspur::node {

/// Topic of the datagrams between a host and the replicas of its leaving instances.
inline constexpr auto LeavingTopic = "leaving";

/// Records the leaving process instances of this host's backend server on other nodes and in the platform's store, and returns
/// those that this node recorded before it restarted to its announcements. Belongs to the control thread.
class LeavingService
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;

    /// `didChange` is called when the effective state of the backend server has changed.
    LeavingService(transport::asio::io_context &io, NodeId ownNode, std::string domain,
                   membership::BackendAnnouncements &announcements, Send send,
                   std::function<void()> didChange);

    /// Sets the platform's store, which keeps the records if all nodes restart at once.
    auto setStore(store::AnyStore &store) -> void;

    /// Replicates the leaving instances of the announcements, after there are more.
    auto replicate() -> void;
    auto didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void;
    /// Processes a datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;
    /// Waits until the replicas and the store have recorded all leaving instances, so that an acknowledgement holds even if
    /// all nodes are killed at once. Returns after 0.8 s at the latest.
    auto waitUntilRecorded() -> transport::Task<void>;
    /// Repeats unanswered requests. Called several times a second.
    auto tick() -> void;

private:
    auto flush() -> void;
    auto wakeWaiters() -> void;
    [[nodiscard]] auto isRecorded() const -> bool;
    [[nodiscard]] auto hasRecords(TimePoint now) const -> bool;
    auto adopt(const std::string &from, const std::vector<std::uint64_t> &ids) -> void;

    transport::asio::io_context &m_io;
    NodeId m_ownNode;
    TimePoint m_startedAt;
    membership::BackendAnnouncements &m_announcements;
    Send m_send;
    std::function<void()> m_didChange;
    membership::LeavingReplication m_replication;
    std::optional<LeavingArchive> m_archive; ///< Empty without a store.
    bool m_awaitsRecords = true;
    std::vector<std::shared_ptr<transport::Timer>> m_waiters; ///< Acknowledgements that wait.
};

} // namespace stairspur::node
