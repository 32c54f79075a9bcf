#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Random.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

#include "BackendAnswer.h"
#include "BackendClient.h"
#include "CallIdSource.h"
#include "CrashWatch.h"
#include "NodeBoard.h"
#include "NodeMetrics.h"
#include "QuarantineService.h"
#include "RunningCalls.h"
#include "StatementLog.h"
#include "StatementTracker.h"
#include "SuspectedCallLane.h"

namespace stairspur::node {

/// Decides which calls the host's backend server runs, which wait and which are refused. All calls to the backend server
/// pass this gate, so one concurrency limit covers the calls of all entries. Belongs to the gate's thread.
class Gate
{
public:
    using LeavingHandler = std::function<void(const membership::BackendIncarnation &)>;

    Gate(transport::asio::io_context &io, const NodeBoard &board, RunningCalls &running,
         NodeMetrics &metrics, CallIdSource &callIds, QuarantineService &quarantine,
         std::uint64_t seed, const CallProtocol *protocol = nullptr);

    /// Serves one call, from admission to the backend server's complete response.
    auto handle(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// Refuses new and waiting calls. Calls `didFinish` when the last running call has ended.
    auto drain(std::function<void()> didFinish) -> void;

    /// Applies the blackboard's current state of the backend server. Refuses all waiting calls if the backend server accepts
    /// no more work.
    auto refreshFromBoard() -> void;

    /// Sets the function that receives a process instance of the backend server that states that it leaves.
    auto setLeavingHandler(LeavingHandler handler) -> void
    {
        m_didStateLeaving = std::move(handler);
    }

    /// Returns the current load report of the backend server.
    auto report() -> admission::LoadReport;

private:
    using Fingerprint = quarantine::RequestFingerprint;
    using ClientPtr = std::shared_ptr<BackendClient>;

    /// A call that waits for a slot.
    struct Waiter
    {
        explicit Waiter(transport::asio::io_context &io)
            : wakeUp(io, transport::Timer::time_point::max())
        {}

        transport::Timer wakeUp;
        bool isDecided = false;
        admission::Refusal refusal; ///< Reason::None if the call is dispatched.
    };

    auto refreshBackend() -> void;
    auto newCallId(const transport::CallRequest &request) -> CallId;
    /// Returns whether the backend server takes no new calls, by its heartbeats or its answers.
    [[nodiscard]] auto isBackendLeaving() const -> bool;
    [[nodiscard]] auto reasonToRefuse(const transport::CallRequest &request) const -> Reason;
    auto reasonToRefuseAfterWait(const transport::CallRequest &request, Fingerprint fingerprint)
            -> admission::Refusal;
    auto waitForSlot(CallId id, admission::CallOffer offer, transport::CancellationPtr cancellation)
            -> transport::Task<admission::Refusal>;
    /// Serves a call whose request is suspected, once no other suspected call runs here.
    auto handleSuspected(transport::CallRequest request, Fingerprint fingerprint,
                         TimePoint deadline, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto admit(transport::CallRequest request, Fingerprint fingerprint, TimePoint deadline,
               transport::CancellationPtr cancellation) -> transport::Task<transport::CallAnswer>;
    auto dispatch(CallId id, transport::CallRequest request, Fingerprint fingerprint,
                  TimePoint deadline, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto apply(const admission::AdmissionActions &actions) -> void;
    auto decide(CallId id, const admission::Refusal &refusal) -> void;
    /// Applies a change of the backend server's statement.
    auto didChangeStatement(StatementSource source) -> void;
    /// Records what a response to a request that was sent at `sentAt` states.
    auto recordStatement(const BackendReply &reply, TimePoint sentAt) -> void;
    auto refusal(const transport::CallRequest &request, Reason reason, Duration retryAfter)
            -> transport::CallAnswer;
    static auto logRefusal(const transport::CallRequest &request,
                           const transport::CallAnswer &answer) -> void;
    /// Records that a call that must run once was given to the backend server `instance`, and did not run there.
    auto logUnrun(const std::string &attemptId, const std::string &instance, Reason reason) -> void;
    auto ensureTicking() -> void;
    auto didTick() -> void;
    auto finishDrainIfIdle() -> void;

    transport::asio::io_context &m_io;
    const NodeBoard &m_board;
    RunningCalls &m_running;
    NodeMetrics &m_metrics;
    CallIdSource &m_callIds;
    Random m_random;
    LocalBackend m_backend;
    /// Number of process instances that the backend server has had since the node started.
    std::uint32_t m_backendIncarnation = 0;
    std::uint64_t m_backendGeneration = 0;
    std::uint64_t m_floorsGeneration = 0;
    std::uint64_t m_configurationGeneration = 0;
    std::unique_ptr<admission::AdmissionController> m_admission;
    StatementTracker m_statement;
    StatementLog m_statementLog;
    LeavingHandler m_didStateLeaving;
    ClientPtr m_client;
    QuarantineService &m_quarantine;
    CrashWatch m_crashes;
    SuspectedCallLane m_suspectedCalls;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> m_waiters;
    transport::Timer m_ticker;
    bool m_isTicking = false;
    bool m_isDraining = false;
    std::uint32_t m_calls = 0; ///< Number of calls in `handle`, including those that wait.
    std::function<void()> m_didFinishDrain;
    const CallProtocol *m_protocol; ///< Null for the product's own protocol.
};

} // namespace stairspur::node
