#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <stairspur/membership/MembershipState.h>
#include <stairspur/membership/ViewPacer.h>
#include <stairspur/transport/DatagramChannel.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::membership {

/// Runs the membership protocol over datagrams of the topic `swim`. It belongs to the control thread: every call and
/// every callback is made on the thread of its io_context.
class MembershipService
{
public:
    using ViewCallback = std::function<void(std::shared_ptr<const MembershipView>)>;
    using AnnotationCallback =
            std::function<void(const NodeId &from, const std::string &annotation)>;

    /// Creates a stopped service. The channel must outlive it.
    MembershipService(boost::asio::io_context &io, transport::DatagramChannel &channel,
                      MembershipSettings settings, std::uint64_t seed);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService(MembershipService &&) = delete;
    auto operator=(const MembershipService &) -> MembershipService & = delete;
    auto operator=(MembershipService &&) -> MembershipService & = delete;

    /// Sets the callback for new views. It is called at once after a change, or after a pause while members keep
    /// changing; see ViewPacer. It is called early when a member of the own domain drains or has left.
    auto setViewCallback(ViewCallback didChange) -> void;
    /// Sets the callback for received annotations.
    auto setAnnotationCallback(AnnotationCallback callback) -> void;

    /// Starts to receive datagrams and to probe.
    auto start() -> void;
    /// Stops without notifying other nodes, which then detect a failure. See leave().
    auto stop() -> void;

    /// Sets the state of the local backend server; see BackendAnnouncements.
    auto setSelf(const std::string &service, std::uint32_t slots, ServingState state) -> void;
    /// Sets the services that the nodes of this domain call. The set must be the same on each of them.
    auto setServicesOfInterest(const std::set<std::string> &services) -> void;
    /// Sets the annotation of outgoing probes and answers. Throws InputError above MaxAnnotationBytes.
    auto setAnnotation(const std::string &annotation) -> void;
    /// Adds addresses from the platform's store to join through.
    auto addHints(const std::vector<NodeId> &nodes) -> void;
    /// Notifies the other nodes that this node leaves. The service must run for three more periods, in which it
    /// repeats the notification.
    auto leave() -> void;

    [[nodiscard]] auto view() const -> std::shared_ptr<const MembershipView>;
    [[nodiscard]] auto self() const -> const Member & { return m_state.self(); }
    [[nodiscard]] auto counters() const -> const MembershipCounters & { return m_state.counters(); }

private:
    auto scheduleTick() -> void;
    auto didReceive(const NodeId &from, const std::string &payload) -> void;
    /// Sends the datagrams and reports the events of the protocol state.
    auto flush() -> void;
    auto report(const MembershipEvent &event) -> void;
    auto recordChange(const MembershipEvent &event) -> void;
    auto publish() -> void;

    transport::DatagramChannel &m_channel;
    Duration m_tickInterval;
    ViewPacer m_viewPacer;
    MembershipState m_state;
    transport::Timer m_timer;
    std::shared_ptr<bool>
            m_isRunning; ///< Shared with pending callbacks, which may outlive the service.
    std::shared_ptr<const MembershipView> m_view;
    ViewCallback m_didChange;
    AnnotationCallback m_didReceiveAnnotation;
};

/// Returns the milliseconds of the wall clock, used as the incarnation with which a process starts.
auto currentStartIncarnation() -> Incarnation;

} // namespace stairspur::membership
