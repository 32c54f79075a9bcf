#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/keyed/CallerHomes.h>
#include <stairspur/keyed/KeyedRoute.h>
#include <stairspur/keyed/KeyedService.h>

namespace stairspur::keyed {

struct KeyedRouterSettings
{
    Replica own;
    RouteSettings route;
    Duration peerTimeout{500'000};
};

/// The entry's side of keyed calls: sends each to the primary of its key's slot and follows it when that moves. Belongs to
/// the thread of its io_context. The peers must outlive it.
template <KeyedPeers Peers>
class KeyedRouter
{
public:
    KeyedRouter(boost::asio::io_context &io, KeyedRouterSettings settings, Peers &peers,
                std::uint64_t seed);

    auto setMembers(std::shared_ptr<const membership::MembershipView> view) -> void;
    auto setConfiguration(config::ConfigurationPtr configuration) -> void;

    /// Has a call with an idempotency key run at most once and gives the whole answer; never later than the call's
    /// remaining time. With `isQuery` nothing runs: the answer tells what became of the key, or `not-run` as a promise
    /// that no earlier attempt will run it. An entry that refuses a keyed call asks this first, since it cannot know
    /// by itself whether an earlier attempt ran.
    auto route(transport::CallRequest request, transport::CancellationPtr cancellation,
               bool isQuery = false) -> transport::Task<transport::CallAnswer>;

    /// The node that is primary for the key, as far as known here; empty when it is not.
    [[nodiscard]] auto resolve(const std::string &service, const std::string &key,
                               const std::string &caller) const -> NodeId;

private:
    /// One call on its way.
    struct Journey
    {
        transport::CallRequest request;
        transport::CancellationPtr cancellation;
        TimePoint deadline;
        KeyedRoute route;
        transport::CallAnswer lastAnswer{};
    };

    [[nodiscard]] auto callOf(const transport::CallRequest &request, bool isQuery) const
            -> KeyedCall;
    auto submit(Journey &journey, RouteAction action) -> transport::Task<RouteAction>;
    auto lookUp(Journey &journey, RouteAction action) -> transport::Task<RouteAction>;
    auto fetch(Journey &journey) -> transport::Task<RouteAction>;
    auto pause(Journey &journey, Duration delay) -> transport::Task<RouteAction>;
    auto ask(NodeId to, Message message, Duration timeout) -> transport::Task<std::vector<Message>>;
    auto finish(Journey &journey, const RouteAction &action) -> transport::CallAnswer;
    [[nodiscard]] auto pickNode(const std::string &service, const std::string &domain) -> NodeId;
    [[nodiscard]] auto messageFor(const Journey &journey, const RouteAction &action,
                                  MessageBody body) const -> Message;

    boost::asio::io_context &m_io;
    KeyedRouterSettings m_settings;
    Peers &m_peers;
    Random m_random;
    TableCache m_tables;
    CallerHomes m_homes;
    std::uint64_t m_lastWaiter = 0;
    std::shared_ptr<const membership::MembershipView> m_view;
};

} // namespace stairspur::keyed
