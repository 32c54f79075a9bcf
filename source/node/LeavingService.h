#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <stairspur/membership/BackendAnnouncements.h>
#include <stairspur/membership/LeavingReplication.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::node {

/// Topic of the datagrams between a host and the replicas of its leaving instances.
inline constexpr auto LeavingTopic = "leaving";

/// Records the leaving process instances of this host's backend server on other nodes, and returns those that this node
/// recorded before it restarted to its announcements. Belongs to the control thread.
class LeavingService
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;

    /// `didChange` is called when the effective state of the backend server has changed.
    LeavingService(transport::asio::io_context &io, NodeId ownNode, std::string domain,
                   membership::BackendAnnouncements &announcements, Send send,
                   std::function<void()> didChange);

    /// Replicates the leaving instances of the announcements, after there are more.
    auto replicate() -> void;
    auto didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void;
    /// Processes a datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;
    /// Waits until the replicas have recorded all leaving instances, so that an acknowledgement holds even if this node is
    /// killed at once. Returns after half a second at the latest.
    auto waitUntilRecorded() -> transport::Task<void>;
    /// Repeats unanswered requests. Called several times a second.
    auto tick() -> void;

private:
    auto flush() -> void;
    auto wakeWaiters() -> void;
    auto adopt(const NodeId &from, const std::vector<std::uint64_t> &ids) -> void;

    transport::asio::io_context &m_io;
    membership::BackendAnnouncements &m_announcements;
    Send m_send;
    std::function<void()> m_didChange;
    membership::LeavingReplication m_replication;
    bool m_awaitsRecords = true;
    std::vector<std::shared_ptr<transport::Timer>> m_waiters; ///< Acknowledgements that wait.
};

} // namespace stairspur::node
