#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Error.h>
#include <stairspur/core/Random.h>
#include <stairspur/keyed/CallerHomes.h>
#include <stairspur/keyed/PeerReachability.h>
#include <stairspur/keyed/PlacementKeeper.h>
#include <stairspur/membership/Member.h>
#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::keyed {

/// What keyed calls need of the platform's store: a part of store::PlatformStore.
template <typename Store>
concept PlacementStore =
        requires(Store &store, store::RangeRequest range, store::Transaction transaction) {
            {
                store.range(range)
            } -> std::same_as<transport::Task<store::StoreResult<store::RangeAnswer>>>;
            {
                store.txn(transaction)
            } -> std::same_as<transport::Task<store::StoreResult<store::WriteAnswer>>>;
        };

/// What keyed calls need of the links to other nodes: a part of transport::PeerClient.
template <typename Peers>
concept KeyedPeers =
        requires(Peers &peers, NodeId node, transport::CallRequest request,
                 transport::CancellationPtr cancellation, std::string text, Duration timeout) {
            {
                peers.call(node, request, cancellation)
            } -> std::same_as<transport::Task<transport::CallAnswer>>;
            {
                peers.request(node, text, text, timeout)
            } -> std::same_as<transport::Task<std::string>>;
        };

inline constexpr auto KeyedTopic = "keyed";

struct KeyedServiceSettings
{
    Replica own; ///< The session is the node's start incarnation, the one that membership tells.
    std::string domain; ///< This node's failure domain.
    KeeperSettings keeper;
    Duration tickInterval{100'000};
    Duration peerTimeout{1'000'000};
    ReachabilitySettings reachability;
};

/// Milliseconds of this host's wall clock.
auto wallNow() -> WallMilliseconds;

/// The gate's side of keyed calls: runs the slots that this node holds, for its own service and as a witness for others
/// of its domain. Belongs to the thread of its io_context. Peers and store must outlive it.
template <PlacementStore Store, KeyedPeers Peers>
class KeyedService
{
public:
    /// Has a call executed, once: by the node's own gate or another of the service. A `not-run` without wasDispatched
    /// has to be proven; only that lets the key be bound again.
    using DispatchFunction = std::function<transport::Task<transport::CallAnswer>(
            transport::CallRequest, transport::CancellationPtr)>;

    KeyedService(boost::asio::io_context &io, KeyedServiceSettings settings, Store &store,
                 Peers &peers, DispatchFunction dispatch, std::uint64_t seed);
    ~KeyedService();
    KeyedService(const KeyedService &) = delete;
    KeyedService(KeyedService &&) = delete;
    auto operator=(const KeyedService &) -> KeyedService & = delete;
    auto operator=(KeyedService &&) -> KeyedService & = delete;

    auto start() -> void;
    auto stop() -> void;

    /// The newest view; this node must be in it.
    auto setMembers(std::shared_ptr<const membership::MembershipView> view) -> void;
    auto setConfiguration(config::ConfigurationPtr configuration) -> void;

    /// A keyed call that an entry's KeyedRouter sent here. One that carries no KeyedHeader is refused.
    auto handle(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// A control request of the topic `keyed`.
    auto handleRequest(NodeId from, std::string payload) -> transport::Task<std::string>;

    /// An operator vouches that the process of `node` is gone for good: its slots may be placed anew.
    auto confirmGone(const NodeId &node) -> void;

    /// Whether this node may end: it holds no slot, no keyed call runs, and every outcome is reported.
    [[nodiscard]] auto isDrained() const -> bool;
    [[nodiscard]] auto records() const -> std::size_t;

private:
    using Keeper = PlacementKeeper<StandardGuards>;

    /// A call that waits for its reply.
    struct Call
    {
        Call(boost::asio::io_context &io, transport::CallRequest callRequest, TimePoint until)
            : request(std::move(callRequest))
            , deadline(until)
            , wakeUp(io, until)
        {}

        transport::CallRequest request;
        TimePoint deadline;
        transport::Timer wakeUp;
        bool isQuery = false;
        std::optional<Reply> reply{};
    };

    auto tick() -> void;
    auto probeSilentPeers() -> void;
    /// An entry asks this witness about a key: it has lost the primary, or the primary has lost it.
    auto suspectPrimaryOf(const Message &lookup) -> void;
    auto didHear(const NodeId &node) -> void;
    auto didLose(const NodeId &node) -> void;
    auto scheduleTick() -> void;
    auto ensureOwnKeeper() -> void;
    auto keeperOf(const std::string &service) -> Keeper &;
    auto membersOf(const std::string &service) -> const std::vector<PlacementMember> &;
    auto submit(const Message &message, Call &call, std::uint64_t number) -> void;
    auto waitForReply(std::shared_ptr<Call> call, std::uint64_t number, Message message,
                      transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto carryOut(const std::string &service, KeeperEffects effects) -> void;
    auto send(Message message) -> void;
    auto receive(const Message &message) -> void;
    auto deliver(const std::string &service, const Delivery &delivery) -> void;
    auto dispatch(const std::string &service, SlotDispatch dispatch) -> void;
    auto didEnd(const std::string &service, const SlotDispatch &dispatch, const DispatchEnd &end)
            -> void;
    auto read(const std::string &service) -> void;
    auto write(const std::string &service, TableWrite write) -> void;
    static auto log(const std::string &service, const std::string &domain,
                    const PlacementDecision &decision) -> void;
    [[nodiscard]] static auto now() -> Instant;

    boost::asio::io_context &m_io;
    KeyedServiceSettings m_settings;
    Store &m_store;
    Peers &m_peers;
    DispatchFunction m_dispatch;
    Random m_random;
    transport::Timer m_timer;
    std::map<std::string, std::unique_ptr<Keeper>> m_keepers;
    std::unordered_map<std::uint64_t, std::shared_ptr<Call>> m_calls;
    std::uint64_t m_lastCall = 0;
    std::shared_ptr<const membership::MembershipView> m_view;
    /// By service, made from the view when first asked for.
    std::map<std::string, std::vector<PlacementMember>> m_members;
    config::ConfigurationPtr m_configuration;
    CallerHomes m_homes;
    std::set<NodeId> m_confirmedGone;
    PeerReachability m_reachability;
    /// Where messages to the sender of the request in hand go: into its reply.
    std::vector<std::string> *m_replies = nullptr;
    NodeId m_requester;
    /// False once this is gone; coroutines ask before they touch it.
    std::shared_ptr<bool> m_isRunning = std::make_shared<bool>(true);
};

} // namespace stairspur::keyed
