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
    Replica own; ///< This node and its process instance.
    RouteSettings route;
    Duration peerTimeout{500'000}; ///< Timeout of a request to another node.
};

/// The entry's side of keyed calls. It sends each call to the primary of its key's slot and follows the slot when it
/// moves. It must be used only on the thread of its io_context, and the peers must outlive it.
template <KeyedPeers Peers>
class KeyedRouter
{
public:
    KeyedRouter(boost::asio::io_context &io, KeyedRouterSettings settings, Peers &peers,
                std::uint64_t seed);

    auto setMembers(std::shared_ptr<const membership::MembershipView> view) -> void;
    auto setConfiguration(config::ConfigurationPtr configuration) -> void;

    /// Runs a call with an idempotency key at most once and returns the complete response, at the latest when the
    /// call's remaining time has elapsed. With `isQuery` the call is not run: the answer is the outcome of the key, or
    /// `not-run` as a guarantee that no earlier attempt will run it. An entry that refuses a keyed call sends such a
    /// query first, since it can't determine by itself whether an earlier attempt ran.
    auto route(transport::CallRequest request, transport::CancellationPtr cancellation,
               bool isQuery = false) -> transport::Task<transport::CallAnswer>;

    /// Returns the primary of the key according to the cached tables, or an empty id if no table is cached.
    [[nodiscard]] auto resolve(const std::string &service, const std::string &key,
                               const std::string &caller) const -> NodeId;

private:
    /// A call that is being routed.
    struct RoutedCall
    {
        transport::CallRequest request;
        transport::CancellationPtr cancellation;
        TimePoint deadline;
        KeyedRoute route;
        transport::CallAnswer lastAnswer{};
    };

    [[nodiscard]] auto callOf(const transport::CallRequest &request, bool isQuery) const
            -> KeyedCall;
    auto submit(RoutedCall &routed, RouteAction action) -> transport::Task<RouteAction>;
    auto lookUp(RoutedCall &routed, RouteAction action) -> transport::Task<RouteAction>;
    auto fetch(RoutedCall &routed) -> transport::Task<RouteAction>;
    auto pause(RoutedCall &routed, Duration delay) -> transport::Task<RouteAction>;
    auto query(NodeId to, Message message, Duration timeout)
            -> transport::Task<std::vector<Message>>;
    auto finish(RoutedCall &routed, const RouteAction &action) -> transport::CallAnswer;
    [[nodiscard]] auto pickNode(const std::string &service, const std::string &domain) -> NodeId;
    [[nodiscard]] auto messageFor(const RoutedCall &routed, const RouteAction &action,
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
