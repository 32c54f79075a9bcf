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

/// The part of store::PlatformStore that keyed calls use.
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

/// The part of transport::PeerClient that keyed calls use.
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

/// Topic of the control requests that carry keyed messages.
inline constexpr auto KeyedTopic = "keyed";

struct KeyedServiceSettings
{
    Replica own; ///< This node; the session is the start incarnation that membership publishes.
    std::string domain; ///< This node's failure domain.
    KeeperSettings keeper;
    Duration tickInterval{100'000};  ///< Time between two ticks of the keepers.
    Duration peerTimeout{1'000'000}; ///< Timeout of a request to another node.
    ReachabilitySettings reachability;
};

/// Returns the time of this host's wall clock in milliseconds since the Unix epoch.
auto wallNow() -> WallMilliseconds;

/// The gate's side of keyed calls. It runs the slots of which this node is a member, for its own service and as a
/// witness for other services of its failure domain. It must be used only on the thread of its io_context. The peers
/// and the store must outlive it.
template <PlacementStore Store, KeyedPeers Peers>
class KeyedService
{
public:
    /// Executes a call once, at this node's gate or another gate of the service. A `not-run` answer without
    /// wasDispatched must be proven, since the key may then be bound again.
    using DispatchFunction = std::function<transport::Task<transport::CallAnswer>(
            transport::CallRequest, transport::CancellationPtr)>;

    KeyedService(boost::asio::io_context &io, KeyedServiceSettings settings, Store &store,
                 Peers &peers, DispatchFunction dispatch, std::uint64_t seed);
    ~KeyedService();
    KeyedService(const KeyedService &) = delete;
    KeyedService(KeyedService &&) = delete;
    auto operator=(const KeyedService &) -> KeyedService & = delete;
    auto operator=(KeyedService &&) -> KeyedService & = delete;

    /// Starts the periodic ticks.
    auto start() -> void;
    /// Stops the ticks and makes running coroutines ignore their results.
    auto stop() -> void;

    /// Sets the current membership view, which must contain this node.
    auto setMembers(std::shared_ptr<const membership::MembershipView> view) -> void;
    /// Sets the configuration in force and records a change of the keys' home domains.
    auto setConfiguration(config::ConfigurationPtr configuration) -> void;

    /// Handles a keyed call that an entry's KeyedRouter sent. A call without a valid KeyedHeader is refused.
    auto handle(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// Handles a control request of the topic `keyed` and returns the encoded replies. Throws InputError if `payload`
    /// is malformed or refers to a service that is not configured here.
    auto handleRequest(NodeId from, std::string payload) -> transport::Task<std::string>;

    /// Records an operator's confirmation that the process of `node` has terminated for good, so that its slots may be
    /// assigned to other nodes.
    auto confirmGone(const NodeId &node) -> void;

    /// Returns whether this node may exit: it is a member of no slot, no keyed call runs and every outcome is reported.
    [[nodiscard]] auto isDrained() const -> bool;
    /// Returns the number of records of all slots.
    [[nodiscard]] auto records() const -> std::size_t;

private:
    using Keeper = PlacementKeeper<StandardGuards>;

    /// A call that waits for the reply of its slot.
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
    /// Probes the primary of the slot, since an entry that sends a Lookup to the witness may not reach the primary.
    auto probePrimaryOf(const Message &lookup) -> void;
    auto didReceiveFrom(const NodeId &node) -> void;
    auto didFailToReach(const NodeId &node) -> void;
    auto scheduleTick() -> void;
    auto ensureOwnKeeper() -> void;
    auto keeperOf(const std::string &service) -> Keeper &;
    auto membersOf(const std::string &service) -> const std::vector<PlacementMember> &;
    auto submit(const Message &message, Call &call, std::uint64_t number) -> void;
    auto waitForReply(std::shared_ptr<Call> call, std::uint64_t number, Message message,
                      transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto applyEffects(const std::string &service, KeeperEffects effects) -> void;
    auto send(Message message) -> void;
    auto receive(const Message &message) -> void;
    auto deliver(const std::string &service, const Delivery &delivery) -> void;
    auto dispatch(const std::string &service, SlotDispatch dispatch) -> void;
    auto didEnd(const std::string &service, const SlotDispatch &dispatch,
                const DispatchResult &result) -> void;
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
    /// Members by service, computed from the view on first use.
    std::map<std::string, std::vector<PlacementMember>> m_members;
    config::ConfigurationPtr m_configuration;
    CallerHomes m_homes;
    std::set<NodeId> m_confirmedGone;
    PeerReachability m_reachability;
    /// Messages to the sender of the current control request, which are sent in its reply; null outside of a request.
    std::vector<std::string> *m_replies = nullptr;
    NodeId m_requester;
    /// False after stop() or destruction. Coroutines check it before they access this object.
    std::shared_ptr<bool> m_isRunning = std::make_shared<bool>(true);
};

} // namespace stairspur::keyed
