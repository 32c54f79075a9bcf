#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/keyed/KeyedRouter.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/retry/AttemptProgress.h>
#include <stairspur/retry/CallBudget.h>
#include <stairspur/retry/RetryPolicy.h>
#include <stairspur/retry/RetryPrecedence.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/HttpMessages.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/Task.h>

#include "CallIntake.h"
#include "CallerAdmission.h"
#include "DeeperFloorReporter.h"
#include "NodeBoard.h"
#include "NodeMetrics.h"
#include "ObservedCalls.h"
#include "RepeatGuard.h"
#include "RunningCalls.h"
#include "ServiceRouteTable.h"
#include "ShutdownSchedule.h"

namespace stairspur::node {

/// Accepts calls from callers and from this host's backend server. Determines their class, deadline, retry budget and upstream.
/// Belongs to the entry's thread.
class Entry
{
public:
    Entry(transport::asio::io_context &io, const NodeSettings &settings, NodeBoard &board,
          RunningCalls &running, NodeMetrics &metrics, transport::PeerClient &peers,
          Incarnation start, std::uint64_t seed, QuotaService::Send sendTokenRequest,
          const CallProtocol *protocol = nullptr);

    ~Entry();
    Entry(const Entry &) = delete;
    Entry(Entry &&) = delete;
    auto operator=(const Entry &) -> Entry & = delete;
    auto operator=(Entry &&) -> Entry & = delete;

    /// Serves one HTTP request. Nothing runs for the request once its response is returned.
    auto handle(transport::HttpRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::HttpResponse>;

    /// Receives a grantor's reply to a token request.
    auto didGrant(const quota::TokenGrant &grant) -> void { m_callers.quotas().receive(grant); }

    /// Applies the limits of a newer configuration.
    auto didChangeConfiguration() -> void { m_routes.didChangeConfiguration(); }

    /// Starts the shutdown, whose notice lasts until endStopNotice(). No call runs longer than until `end`.
    auto startShutdown(TimePoint end) -> void { m_shutdown.start(end); }

    /// From now on refuses callers' requests that could still run at the end of the shutdown.
    auto endStopNotice() -> void { m_shutdown.endNotice(); }

    /// Sends one call to upstreams until it has a final answer, and returns that answer.
    auto route(IncomingCall call, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// Executes a call whose key is bound to a slot at most once, at any upstream of its service. Sends it to another upstream
    /// only after an answer `not-run`.
    auto executeKeyed(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

private:
    /// The remaining retry budget of a call and the results of its attempts.
    struct Attempts
    {
        std::vector<NodeId> excluded{};
        retry::CallBudget budget;
        retry::AttemptProgress progress;
        transport::CallAnswer last{}; ///< Answer to the latest attempt.
    };

    auto readIncoming(transport::HttpRequest request,
                      const config::ConfigurationIndex &configuration, TimePoint start)
            -> IncomingCall;
    [[nodiscard]] auto decideDuringShutdown(const IncomingCall &call, TimePoint now) const
            -> CallerDecision;
    auto refuse(const CallerDecision &decision, const std::string &attemptId = {})
            -> transport::HttpResponse;
    /// Records a deeper call in the observed calls, and sets the call counts in its request.
    auto recordDeeperCall(IncomingCall &call, std::uint32_t ordinal) -> void;
    auto routeWithShare(IncomingCall call, const ChildShare &share,
                        const transport::CancellationPtr &cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto routeKeyed(IncomingCall call, Attempts &attempts,
                    const transport::CancellationPtr &cancellation, bool isQuery)
            -> transport::Task<transport::CallAnswer>;
    auto refreshKeyedRouter() -> void;
    [[nodiscard]] static auto wasShed(const Attempts &attempts) -> bool;
    auto chargeRetry(ServiceRoutes &routes, Attempts &attempts) -> void;
    auto attemptUntilFinal(const IncomingCall &call, ServiceRoutes &routes, Attempts &attempts,
                           const transport::CancellationPtr &cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto attempt(const IncomingCall &call, ServiceRoutes &routes, Attempts &attempts,
                 const NodeId &node, const transport::CancellationPtr &cancellation)
            -> transport::Task<void>;
    auto refuseCancelled(Attempts &attempts, TimePoint now) -> transport::CallAnswer;
    auto finalRefusal(Attempts &attempts, Reason reason, Duration retryAfter)
            -> transport::CallAnswer;
    /// Returns whether the service's bucket has a token for the call, and records the demand for it.
    [[nodiscard]] auto hasToken(const transport::CallRequest &request, ServiceRoutes &routes) const
            -> bool;
    /// Forbids further sends of a call that may have run, unless it may run again.
    auto checkRepeat(const IncomingCall &call, Attempts &attempts) const -> void;
    [[nodiscard]] auto nextStep(const IncomingCall &call, ServiceRoutes &routes,
                                const Attempts &attempts) const -> retry::RetryDecision;

    auto logDecision(const IncomingCall &call, const routing::RouteDecision &decision,
                     const Attempts &attempts) -> void;
    auto recordRetryDecision(const IncomingCall &call, retry::RetryDecision decision,
                             const NodeId &upstream, const Attempts &attempts) -> void;
    /// Logs that an idempotent call is not sent again.
    auto logRepeatRefusal(const IncomingCall &call, RepeatRefusal refusal) const -> void;
    /// Logs the refusal of a call that must run once and was sent before.
    static auto logLateRefusal(const IncomingCall &call, const transport::CallAnswer &answer,
                               const Attempts &attempts) -> void;

    transport::asio::io_context &m_io;
    const NodeSettings &m_settings;
    NodeBoard &m_board;
    RunningCalls &m_running;
    NodeMetrics &m_metrics;
    transport::PeerClient &m_peers;
    keyed::KeyedRouter<transport::PeerClient> m_keyedRouter;
    std::uint64_t m_keyedMembersGeneration = 0;
    std::uint64_t m_keyedConfigurationGeneration = 0;
    Random m_random;
    CallerAdmission m_callers;
    RepeatGuard m_repeatGuard;
    ServiceRouteTable m_routes;
    ObservedCalls m_observedCalls;
    DeeperFloorReporter m_floorReporter;
    ShutdownSchedule m_shutdown;
    const CallProtocol *m_protocol; ///< Null for the product's own protocol.
};

} // namespace stairspur::node
