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

/// Runs the membership protocol over datagrams of the topic `swim`. Belongs to the control thread: every call and
/// every callback is made on the thread of its io_context.
class MembershipService
{
public:
    using ViewCallback = std::function<void(std::shared_ptr<const MembershipView>)>;
    using AnnotationCallback =
            std::function<void(const NodeId &from, const std::string &annotation)>;

    /// The channel must outlive the service.
    MembershipService(boost::asio::io_context &io, transport::DatagramChannel &channel,
                      MembershipSettings settings, std::uint64_t seed);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService(MembershipService &&) = delete;
    auto operator=(const MembershipService &) -> MembershipService & = delete;
    auto operator=(MembershipService &&) -> MembershipService & = delete;

    /// Called with a fresh view when it has changed: at once, but only after a pause while members keep changing; see
    /// ViewPacer. That a member of the own domain drains or has left goes before.
    auto setViewCallback(ViewCallback didChange) -> void;
    /// Called for each annotation that is heard.
    auto setAnnotationCallback(AnnotationCallback didHear) -> void;

    /// Begins to listen and to probe.
    auto start() -> void;
    /// Ends without a word: the others find out. See leave().
    auto stop() -> void;

    /// What the local backend server says of itself; see BackendAnnouncements.
    auto setSelf(const std::string &service, std::uint32_t slots, ServingState state) -> void;
    /// The services that the nodes of this domain call; the same set on each of them.
    auto setServicesOfInterest(const std::set<std::string> &services) -> void;
    /// Throws InputError above MaxAnnotationBytes.
    auto setAnnotation(const std::string &annotation) -> void;
    /// Addresses to join through, from the platform's store.
    auto addHints(const std::vector<NodeId> &nodes) -> void;
    /// Tells the others that this node goes. Keep the service running for three more periods, which repeat it.
    auto leave() -> void;

    [[nodiscard]] auto view() const -> std::shared_ptr<const MembershipView>;
    [[nodiscard]] auto self() const -> const Member & { return m_state.self(); }
    [[nodiscard]] auto counters() const -> const MembershipCounters & { return m_state.counters(); }

private:
    auto scheduleTick() -> void;
    auto didReceive(const NodeId &from, const std::string &payload) -> void;
    /// Sends and reports what the state has made.
    auto flush() -> void;
    auto report(const MembershipEvent &event) -> void;
    auto noteChange(const MembershipEvent &event) -> void;
    auto publish() -> void;

    transport::DatagramChannel &m_channel;
    Duration m_tickInterval;
    ViewPacer m_viewPacer;
    MembershipState m_state;
    transport::Timer m_timer;
    std::shared_ptr<bool> m_isRunning; ///< Outlives the service in callbacks that are under way.
    std::shared_ptr<const MembershipView> m_view;
    ViewCallback m_didChange;
    AnnotationCallback m_didHear;
};

/// Milliseconds of the wall clock: the incarnation with which a process starts.
auto startIncarnation() -> Incarnation;

} // namespace stairspur::membership
