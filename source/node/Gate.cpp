#include "Gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>

#include "RoutedIntake.h"

namespace stairspur::node {

using admission::AdmissionController;
using admission::Refusal;
using quarantine::QuarantineStatus;
using transport::CallAnswer;
using transport::CallRequest;
using transport::CancellationPtr;
using transport::Task;

/// Interval at which waiting calls are checked against their deadlines.
static constexpr auto TickInterval = std::chrono::milliseconds(5);
/// Retry delay of calls to a gate without a serving backend server. Entries receive its state in about this time.
static constexpr auto UnavailableRetryAfter = Duration{500'000};
/// Retry delay of a suspected call that got no permit to run alone. It covers several runs.
static constexpr auto SuspectedRetryAfter = Duration{500'000};

static auto admissionSettings(const CallProtocol *protocol) -> admission::AdmissionSettings
{
    auto settings = admission::AdmissionSettings();
    settings.followsReportedSlots = protocol && protocol->areSlotsExact;
    return settings;
}

Gate::Gate(transport::asio::io_context &io, const NodeBoard &board, RunningCalls &running,
           NodeMetrics &metrics, CallIdSource &callIds, QuarantineService &quarantine,
           std::uint64_t seed, const CallProtocol *protocol)
    : m_io(io)
    , m_board(board)
    , m_running(running)
    , m_metrics(metrics)
    , m_callIds(callIds)
    , m_random(seed)
    , m_admission(std::make_unique<AdmissionController>(admissionSettings(protocol)))
    , m_quarantine(quarantine)
    , m_crashes(io, quarantine)
    , m_suspectedCalls(io)
    , m_ticker(io)
    , m_protocol(protocol)
{}

auto Gate::refreshFromBoard() -> void
{
    refreshBackend();
    if (m_board.deeperFloors.generation() == m_floorsGeneration)
        return;
    m_floorsGeneration = m_board.deeperFloors.generation();
    const auto floors = m_board.deeperFloors.read();
    m_admission->setDeeperFloors(floors->byRank, floors->byPath);
}

/// Applies the backend server's announcement. A new backend server, or one that has restarted, starts with the initial
/// limit. Running calls keep the HTTP client of the former backend server.
auto Gate::refreshBackend() -> void
{
    const auto generation = m_board.backend.generation();
    const auto configurationGeneration = m_board.configuration.generation();
    if (generation == m_backendGeneration && configurationGeneration == m_configurationGeneration)
        return;
    m_backendGeneration = generation;
    m_configurationGeneration = configurationGeneration;
    const auto backend = *m_board.backend.read();
    const auto configuration = *m_board.configuration.read();
    const auto *service = configuration ? configuration->findService(backend.service) : nullptr;
    const auto limits = service ? service->limits : config::ServiceLimits();

    // A server without a name that has announced its leaving serves again only as a new process.
    const auto hasRestarted = m_backend.hasAnnouncedLeaving && !backend.hasAnnouncedLeaving;
    const auto isReplaced = backend.port != m_backend.port || backend.service != m_backend.service
                            || backend.incarnation != m_backend.incarnation || hasRestarted;
    auto slots = backend.slots;
    if (limits.maxConcurrency > 0)
        slots = std::min(slots, limits.maxConcurrency);
    m_admission->setReportedSlots(slots);
    m_admission->setMaxQueue(limits.maxQueue);
    const auto former = std::exchange(m_backend, backend);
    if (isReplaced) {
        m_crashes.didReplace(former);
        m_client = std::make_shared<BackendClient>(
                m_io, m_backend, limits, m_protocol,
                [&metrics = m_metrics] { metrics.didDropLateAnswer(); });
        m_admission->didReplaceBackend();
        m_statement.didReplaceBackend(m_backend.incarnation);
        ++m_backendIncarnation;
    }
    if (m_backend.hasAnnouncedLeaving)
        m_statement.didAnnounceLeaving();
    if (m_backend.hasAnnouncedLeaving)
        m_client->stopSending();
    if (isLeaving(m_backend))
        apply(m_admission->refuseWaiting(Reason::Draining, monotonicNow(), m_random));
}

/// Returns the id by which this host's entry finds the call as a parent. A second call with the same attempt id gets
/// another call id, so its deeper calls are counted as those of the first call.
auto Gate::newCallId(const CallRequest &request) -> CallId
{
    if (request.attemptId.empty())
        return m_callIds.next();
    const auto id = callIdOf(request.attemptId);
    const auto isTaken = m_waiters.contains(id) || m_running.find(id);
    return isTaken ? m_callIds.next() : id;
}

auto Gate::isBackendLeaving() const -> bool
{
    return m_backend.state == membership::ServingState::Draining || m_statement.current().isLeaving;
}

auto Gate::reasonToRefuse(const CallRequest &request) const -> Reason
{
    using membership::ServingState;
    if (m_isDraining || isBackendLeaving())
        return Reason::Draining;
    if (m_backend.service.empty() || m_backend.state == ServingState::Left)
        return Reason::NoUpstream;
    if (m_backend.state == ServingState::Starting)
        return Reason::Cold;
    if (request.service != m_backend.service)
        return Reason::WrongPlacement;
    return Reason::None;
}

auto Gate::refusal(const CallRequest &request, Reason reason, Duration retryAfter) -> CallAnswer
{
    auto answer = CallAnswer();
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.unspentBudget = request.retryBudget;
    answer.retryAfter = retryAfter;
    answer.report = report();
    m_metrics.didRefuseAtGate(request.className, reason);
    logRefusal(request, answer);
    return answer;
}

auto Gate::handle(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>
{
    refreshFromBoard();
    const auto now = monotonicNow();
    if (m_statement.adopt(request.statement, now))
        didChangeStatement(StatementSource::Entry);
    if (const auto reason = reasonToRefuse(request); reason != Reason::None)
        co_return refusal(request, reason, UnavailableRetryAfter);

    const auto fingerprint = fingerprintOf(request);
    const auto deadline = now + request.remaining;
    const auto quarantineDecision = m_quarantine.decide(fingerprint);
    if (quarantineDecision.status == QuarantineStatus::Refused)
        co_return refusal(request, Reason::Quarantined, quarantineDecision.retryAfter);

    ++m_calls;
    auto answer = CallAnswer();
    if (quarantineDecision.status == QuarantineStatus::Suspected)
        answer = co_await handleSuspected(std::move(request), fingerprint, deadline, cancellation);
    else
        answer = co_await admit(std::move(request), fingerprint, deadline, cancellation);
    --m_calls;
    finishDrainIfIdle();
    co_return answer;
}

auto Gate::handleSuspected(CallRequest request, Fingerprint fingerprint, TimePoint deadline,
                           CancellationPtr cancellation) -> Task<CallAnswer>
{
    const auto permit = co_await m_suspectedCalls.enter(deadline, cancellation);
    if (!permit)
        co_return refusal(request, Reason::QueueFull, SuspectedRetryAfter);
    const auto lateRefusal = reasonToRefuseAfterWait(request, fingerprint);
    if (lateRefusal.reason != Reason::None)
        co_return refusal(request, lateRefusal.reason, lateRefusal.retryAfter);
    co_return co_await admit(std::move(request), fingerprint, deadline, std::move(cancellation));
}

auto Gate::admit(CallRequest request, Fingerprint fingerprint, TimePoint deadline,
                 CancellationPtr cancellation) -> Task<CallAnswer>
{
    const auto id = newCallId(request);
    const auto decision = co_await waitForSlot(id,
                                               {.id = id,
                                                .level = request.level,
                                                .deadline = deadline,
                                                .path = request.path,
                                                .isDeeperCall = request.isDeeperCall,
                                                .callsPerRoot = request.callsPerRoot},
                                               cancellation);
    if (decision.reason != Reason::None)
        co_return refusal(request, decision.reason, decision.retryAfter);
    const auto lateRefusal = reasonToRefuseAfterWait(request, fingerprint);
    if (lateRefusal.reason != Reason::None) {
        apply(m_admission->didComplete(id, admission::Completion::Cancelled, Duration::zero(),
                                       monotonicNow(), m_random));
        co_return refusal(request, lateRefusal.reason, lateRefusal.retryAfter);
    }
    co_return co_await dispatch(id, std::move(request), fingerprint, deadline,
                                std::move(cancellation));
}

/// While the call waited, the backend server may have begun to leave and the request may have been quarantined.
auto Gate::reasonToRefuseAfterWait(const CallRequest &request, Fingerprint fingerprint) -> Refusal
{
    refreshBackend();
    if (const auto reason = reasonToRefuse(request); reason != Reason::None)
        return {.reason = reason, .retryAfter = UnavailableRetryAfter};
    const auto quarantineDecision = m_quarantine.decide(fingerprint);
    if (quarantineDecision.status == QuarantineStatus::Refused)
        return {.reason = Reason::Quarantined, .retryAfter = quarantineDecision.retryAfter};
    return {};
}

auto Gate::waitForSlot(CallId id, admission::CallOffer offer, CancellationPtr cancellation)
        -> Task<Refusal>
{
    const auto since = monotonicNow();
    const auto waiter = std::make_shared<Waiter>(m_io);
    m_waiters.emplace(id, waiter);
    apply(m_admission->offer(offer, since, m_random));
    if (!waiter->isDecided) {
        ensureTicking();
        cancellation->onCancel([this, id] {
            apply(m_admission->cancel(id, monotonicNow(), m_random));
            decide(id, {id, Reason::Cancelled, Duration::zero()});
        });
        auto ec = boost::system::error_code();
        if (!waiter->isDecided)
            co_await waiter->wakeUp.async_wait(
                    transport::asio::redirect_error(transport::asio::use_awaitable, ec));
        cancellation->onCancel(nullptr);
    }
    m_waiters.erase(id);
    m_metrics.didWaitAtGate(monotonicNow() - since);
    co_return waiter->refusal;
}

/// Returns how a call counts for the concurrency limit. The failure of a call whose deeper calls failed or still run is not
/// counted as a failure of this backend server. If it were, an overloaded service would lower the limits of all services
/// above it.
static auto completionOf(const BackendResult &result, const ClosedCall &closed)
        -> admission::Completion
{
    const auto isFailure = result.completion == admission::Completion::Failed
                           || result.completion == admission::Completion::TimedOut;
    return isFailure && closed.hadUnansweredDeeperCall ? admission::Completion::Cancelled
                                                       : result.completion;
}

auto Gate::dispatch(CallId id, CallRequest request, Fingerprint fingerprint, TimePoint deadline,
                    CancellationPtr cancellation) -> Task<CallAnswer>
{
    const auto start = monotonicNow();
    const auto arrival = deadline - request.remaining;
    const auto className = request.className;
    m_running.open(id,
                   {request.className, request.level, request.root, deadline, request.caller,
                    request.path, request.callsPerRoot, request.callsLeft},
                   request.retryBudget, request.isRepeat);
    const auto incarnation = m_backendIncarnation;
    const auto auditedId = request.mustRunOnce ? request.attemptId : std::string();
    const auto instance = m_backend.incarnation.instance;
    const auto client = m_client; // Stays open if the backend server is replaced.
    m_crashes.didSend(id, fingerprint);
    auto reply = co_await client->send(std::move(request), id, deadline - start,
                                       std::move(cancellation));
    auto &result = reply.result;
    if (incarnation == m_backendIncarnation)
        recordStatement(reply, start);
    co_await m_crashes.didEnd(id, fingerprint, result, reply.failure, m_backend);
    // This call's crash may have quarantined its request. The reason then stops further attempts.
    if (reply.failure && m_quarantine.decide(fingerprint).status == QuarantineStatus::Refused)
        result.reason = Reason::Quarantined;
    if (!auditedId.empty() && result.outcome == Outcome::NotRun)
        logUnrun(auditedId, instance, result.reason);
    const auto now = monotonicNow();
    auto answer = CallAnswer();
    answer.status = reply.status;
    answer.headers = std::move(reply.headers);
    answer.body = std::move(reply.body);
    answer.outcome = result.outcome;
    answer.reason = result.reason;
    answer.wasDispatched = result.outcome != Outcome::NotRun;
    const auto closed = m_running.close(id);
    answer.unspentBudget = closed.unspentBudget;
    if (result.outcome == Outcome::Failed && closed.hadUnansweredDeeperCall)
        answer.reason = Reason::DeeperCallFailed;
    apply(m_admission->didComplete(id, completionOf(result, closed), now - start, now, m_random));
    if (result.outcome == Outcome::NotRun)
        answer.retryAfter = UnavailableRetryAfter;
    answer.report = report();
    m_metrics.didRunAtBackend(className, result.outcome, now - start);
    m_metrics.didAddAtGate(start - arrival + (monotonicNow() - now));
    co_return answer;
}

auto Gate::recordStatement(const BackendReply &reply, TimePoint sentAt) -> void
{
    // A connection that could not be opened has carried nothing.
    if (reply.failure == transport::HttpFailure::NotConnected)
        m_admission->didNotSend();
    if (!reply.statement)
        return;
    const auto now = monotonicNow();
    if (!reply.statement->unreadableRate.empty())
        m_statementLog.didReceiveUnreadable(m_backend.incarnation.instance,
                                            reply.statement->unreadableRate, now);
    if (m_statement.didRespond(*reply.statement, reply.result.outcome, sentAt, now))
        didChangeStatement(StatementSource::Answer);
}

auto Gate::didChangeStatement(StatementSource source) -> void
{
    const auto now = monotonicNow();
    const auto &statement = m_statement.current();
    m_admission->setRateLimit(statement.rateLimit, now);
    m_statementLog.didChange(m_backend.incarnation.instance, statement, source, now);
    if (!statement.isLeaving)
        return;
    m_client->stopSending();
    apply(m_admission->refuseWaiting(Reason::Draining, now, m_random));
    if (m_didStateLeaving)
        m_didStateLeaving(m_backend.incarnation);
}

auto Gate::apply(const admission::AdmissionActions &actions) -> void
{
    for (const auto id : actions.dispatch)
        decide(id, {id, Reason::None, Duration::zero()});
    for (const auto &it : actions.refuse)
        decide(it.id, it);
}

auto Gate::decide(CallId id, const Refusal &refusal) -> void
{
    const auto it = m_waiters.find(id);
    if (it == m_waiters.end() || it->second->isDecided)
        return;
    it->second->isDecided = true;
    it->second->refusal = refusal;
    it->second->wakeUp.cancel();
}

auto Gate::report() -> admission::LoadReport
{
    auto report = m_admission->report(monotonicNow());
    report.isDraining = report.isDraining || m_isDraining || isBackendLeaving();
    report.backendIncarnation = m_backendIncarnation;
    report.statement = m_statement.known();
    return report;
}

auto Gate::ensureTicking() -> void
{
    if (m_isTicking)
        return;
    m_isTicking = true;
    m_ticker.expires_after(TickInterval);
    m_ticker.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            didTick();
    });
}

auto Gate::didTick() -> void
{
    m_isTicking = false;
    apply(m_admission->advanceTo(monotonicNow(), m_random));
    if (m_admission->queued() > 0)
        ensureTicking();
}

auto Gate::drain(std::function<void()> didFinish) -> void
{
    m_isDraining = true;
    m_didFinishDrain = std::move(didFinish);
    apply(m_admission->startDraining(monotonicNow(), m_random));
    finishDrainIfIdle();
}

auto Gate::finishDrainIfIdle() -> void
{
    if (m_isDraining && m_calls == 0 && m_didFinishDrain)
        std::exchange(m_didFinishDrain, nullptr)();
}

} // namespace stairspur::node
