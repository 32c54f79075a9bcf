#include "Entry.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include <stairspur/keyed/KeyedRouterCode.h>
#include <stairspur/log/Log.h>

#include "ProblemResponse.h"
#include "RoutedIntake.h"

namespace stairspur::node {

using retry::RetryDecision;
using transport::CallAnswer;
using transport::CallRequest;
using transport::Cancellation;
using transport::CancellationPtr;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

Entry::Entry(transport::asio::io_context &io, const NodeSettings &settings, NodeBoard &board,
             RunningCalls &running, NodeMetrics &metrics, transport::PeerClient &peers,
             Incarnation start, std::uint64_t seed, QuotaService::Send sendTokenRequest,
             const CallProtocol *protocol)
    : m_io(io)
    , m_settings(settings)
    , m_board(board)
    , m_running(running)
    , m_metrics(metrics)
    , m_peers(peers)
    , m_keyedRouter(io, {{settings.nodeId(), start}, {}}, peers, seed + 1)
    , m_random(seed)
    , m_callers(io, settings, board, seed + 2, std::move(sendTokenRequest))
    , m_repeatGuard(settings, board)
    , m_routes(settings, board)
    , m_floorReporter(io, board, m_observedCalls,
                      [this](const auto &call, auto rank, auto now) {
                          return m_routes.floorAt(call, rank, now);
                      })
    , m_protocol(protocol)
{
    m_peers.setLinkObserver([this](const NodeId &node, bool isReachable) {
        m_routes.setReachable(node, isReachable);
    });
}

Entry::~Entry()
{
    m_peers.setLinkObserver(nullptr);
}

auto Entry::handle(HttpRequest request, CancellationPtr cancellation) -> Task<HttpResponse>
{
    const auto start = monotonicNow();
    // The proof is read before the configuration, so it is never newer than the configuration that interprets the request.
    const auto proof = *m_board.configurationProof.read();
    const auto configuration = *m_board.configuration.read();
    if (!configuration)
        co_return refuse(refusalWithoutConfiguration());
    auto call = IncomingCall();
    auto decision = CallerDecision();
    try {
        call = readIncoming(std::move(request), *configuration, start);
        decision = decideDuringShutdown(call, start);
        call.deadline = m_shutdown.limit(call.deadline);
    } catch (const CallRejected &error) {
        decision = {error.reason(), error.what()};
    }
    if (decision.refusal == Reason::Unauthorized) {
        const auto version = configuration->configuration()->version;
        decision = co_await m_callers.checkUnknownKey(version, start, cancellation);
    } else if (decision.refusal == Reason::None) {
        decision = co_await m_callers.admit(call, proof);
    }
    if (decision.refusal != Reason::None)
        co_return refuse(decision, call.request.attemptId);
    const auto className = call.request.className;
    const auto attemptId = call.request.attemptId;
    const auto caller = call.request.caller;
    auto answer = co_await route(std::move(call), std::move(cancellation));
    if (answer.outcome == Outcome::NotRun)
        m_callers.didNotRun(caller, decision);
    m_floorReporter.refresh(monotonicNow());
    m_metrics.didAnswerAtEntry(className, answer.outcome, monotonicNow() - start);
    co_return m_protocol ? m_protocol->writeAnswer(std::move(answer), attemptId)
                         : responseFor(std::move(answer));
}

auto Entry::readIncoming(HttpRequest request, const config::ConfigurationIndex &configuration,
                         TimePoint start) -> IncomingCall
{
    if (!m_protocol)
        return readCall(std::move(request), configuration, m_running, m_settings.hostAddress, start,
                        m_random);
    return routeCall(m_protocol->readRequest(std::move(request)), configuration, m_running,
                     m_settings.service, start, m_random);
}

auto Entry::decideDuringShutdown(const IncomingCall &call, TimePoint now) const -> CallerDecision
{
    if (m_shutdown.accepts(call.parent.has_value(), call.deadline, now))
        return {};
    return {Reason::Draining, "this node shuts down; send the request to another node",
            m_shutdown.retryAfter(now)};
}

auto Entry::refuse(const CallerDecision &decision, const std::string &attemptId) -> HttpResponse
{
    m_metrics.didRefuseAtEntry(decision.refusal);
    if (log::isDecisionSampled())
        log::Line(log::Severity::Info, "call-rejected")
                .add("id", attemptId)
                .add("reason", decision.refusal)
                .add("detail", decision.detail);
    if (m_protocol)
        return m_protocol->writeRefusal(decision.refusal, decision.detail, decision.retryAfter);
    return problemResponse(Outcome::NotRun, decision.refusal, decision.detail, decision.retryAfter);
}

auto Entry::route(IncomingCall call, CancellationPtr cancellation) -> Task<CallAnswer>
{
    if (!call.parent) {
        const auto share = ChildShare{Reason::None, call.request.retryBudget, false};
        co_return co_await routeWithShare(std::move(call), share, cancellation);
    }
    const auto parent = *call.parent;
    call.request.isDeeperCall = true;
    const auto childId = CallId{m_random()};
    auto cancelHere = [this, cancellation] {
        transport::asio::post(m_io, [cancellation] { cancellation->cancel(); });
    };
    auto share = m_running.addChild(parent, childId, call.request.path, std::move(cancelHere));
    if (m_protocol)
        recordDeeperCall(call, share.ordinal);
    // Routed calls are limited by the attempts of their route and the bucket of their service instead of their parent's share.
    if (m_protocol && share.refusal != Reason::ParentUnknown) {
        const auto isRepeat = share.isRepeat || share.refusal == Reason::RetryBudgetSpent;
        share = {Reason::None, call.request.retryBudget, isRepeat, share.ordinal};
    }
    auto answer = co_await routeWithShare(std::move(call), share, cancellation);
    if (share.refusal == Reason::None)
        m_running.removeChild(parent, childId, answer.unspentBudget,
                              answer.outcome == Outcome::Answered);
    co_return answer;
}

auto Entry::recordDeeperCall(IncomingCall &call, std::uint32_t ordinal) -> void
{
    const auto deeper = DeeperCall{call.request.service, call.request.path};
    m_observedCalls.didCall({call.request.level.rank(), call.parentPath}, deeper, ordinal,
                            monotonicNow());
    const auto callsPerParent = m_observedCalls.callsPerRequest(call.parentPath, deeper);
    const auto bounded = [](std::uint64_t calls) {
        return static_cast<std::uint32_t>(
                std::min<std::uint64_t>(calls, transport::MostCallsPerRoot));
    };
    const auto callsOfLaterParents =
            std::uint64_t{std::max(call.parentCallsLeft, 1U) - 1U} * callsPerParent;
    call.request.callsPerRoot = bounded(std::uint64_t{call.parentCallsPerRoot} * callsPerParent);
    call.request.callsLeft = bounded(callsOfLaterParents + callsPerParent - ordinal + 1);
}

auto Entry::routeWithShare(IncomingCall call, const ChildShare &share,
                           const CancellationPtr &cancellation) -> Task<CallAnswer>
{
    const auto isKeyed = !call.request.idempotencyKey.empty();
    const auto isRefused = share.refusal != Reason::None;
    auto attempts = Attempts{.budget = retry::CallBudget(share.budget, share.isRepeat),
                             .progress = retry::AttemptProgress(call.request.mustRunOnce)};
    auto answer = CallAnswer();
    if (isKeyed) {
        answer = co_await routeKeyed(std::move(call), attempts, cancellation, isRefused);
    } else if (isRefused) {
        answer = finalRefusal(attempts, share.refusal, Duration::zero());
    } else {
        answer = co_await attemptUntilFinal(call, m_routes.routesFor(call.request.service),
                                            attempts, cancellation);
        logLateRefusal(call, answer, attempts);
    }
    answer.unspentBudget = attempts.budget.remaining();
    co_return answer;
}

/// Routes a keyed call to the home of its key. With `isQuery` the entry refuses the call, so nothing runs; the query finds
/// out whether an earlier attempt ran, which only the key's home has recorded.
auto Entry::routeKeyed(IncomingCall call, Attempts &attempts, const CancellationPtr &cancellation,
                       bool isQuery) -> Task<CallAnswer>
{
    refreshKeyedRouter();
    const auto share = attempts.budget.startAttempt(call.hasDeeperCalls);
    auto request = std::move(call.request);
    request.remaining = call.deadline - monotonicNow();
    request.retryBudget = share.retryBudget;
    request.isRepeat = share.isRepeat;
    auto answer = co_await m_keyedRouter.route(std::move(request), cancellation, isQuery);
    if (answer.outcome != Outcome::Unknown)
        attempts.budget.didReceiveAnswer(answer.unspentBudget);
    co_return answer;
}

auto Entry::refreshKeyedRouter() -> void
{
    if (m_board.members.generation() != m_keyedMembersGeneration) {
        m_keyedMembersGeneration = m_board.members.generation();
        m_keyedRouter.setMembers(m_board.members.read());
    }
    if (m_board.configuration.generation() == m_keyedConfigurationGeneration)
        return;
    m_keyedConfigurationGeneration = m_board.configuration.generation();
    if (const auto index = *m_board.configuration.read())
        m_keyedRouter.setConfiguration(index->configuration());
}

auto Entry::executeKeyed(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>
{
    auto call = IncomingCall();
    call.deadline = m_shutdown.limit(monotonicNow() + request.remaining);
    if (const auto index = *m_board.configuration.read())
        call.hasDeeperCalls = !index->deeperServices(request.service, request.level.rank()).empty();
    call.request = std::move(request);
    call.request.mustRunOnce = true;
    auto attempts =
            Attempts{.budget = retry::CallBudget(call.request.retryBudget, call.request.isRepeat),
                     .progress = retry::AttemptProgress(call.request.mustRunOnce)};
    auto &routes = m_routes.routesFor(call.request.service);
    auto answer = co_await attemptUntilFinal(call, routes, attempts, cancellation);
    answer.unspentBudget = attempts.budget.remaining();
    co_return answer;
}

auto Entry::attemptUntilFinal(const IncomingCall &call, ServiceRoutes &routes, Attempts &attempts,
                              const CancellationPtr &cancellation) -> Task<CallAnswer>
{
    routes.bucket.advanceTo(monotonicNow());
    routes.bucket.didRequest();
    while (true) {
        const auto now = monotonicNow();
        if (cancellation->isCancelled())
            co_return refuseCancelled(attempts, now);
        if (now >= call.deadline)
            co_return finalRefusal(attempts, Reason::DeadlineExceeded, Duration::zero());
        m_routes.refreshMembers(routes);
        const auto decision = routes.pool.choose({.level = call.request.level,
                                                  .deadline = call.deadline,
                                                  .excluded = attempts.excluded,
                                                  .path = call.request.floorPath(),
                                                  .isDeeperCall = call.request.isDeeperCall},
                                                 now, m_random);
        logDecision(call, decision, attempts);
        if (m_protocol && !decision.node && wasShed(attempts) && !attempts.excluded.empty()) {
            // Every upstream has refused the call once. A backend server's overload may be short, so all are tried again.
            attempts.excluded.clear();
            continue;
        }
        if (!decision.node) {
            // The reason of the last upstream is more precise than that of a pool without candidates.
            const auto hasSent =
                    attempts.progress.sends() > 0 && decision.refusal == Reason::NoUpstream;
            co_return finalRefusal(attempts, hasSent ? attempts.last.reason : decision.refusal,
                                   std::max(decision.retryAfter, attempts.last.retryAfter));
        }

        co_await attempt(call, routes, attempts, *decision.node, cancellation);
        if (attempts.last.outcome == Outcome::Answered)
            co_return std::move(attempts.last);
        checkRepeat(call, attempts);
        const auto step = nextStep(call, routes, attempts);
        recordRetryDecision(call, step, *decision.node, attempts);
        if (step == RetryDecision::GiveUp)
            co_return finalRefusal(attempts, attempts.last.reason, attempts.last.retryAfter);
        if (step == RetryDecision::Retry)
            chargeRetry(routes, attempts);
        attempts.excluded.push_back(*decision.node);
    }
}

/// Returns whether a backend server received the last attempt and refused to run it.
auto Entry::wasShed(const Attempts &attempts) -> bool
{
    return attempts.last.outcome == Outcome::NotRun && attempts.last.reason == Reason::BackendShed;
}

/// Spends a token of the service's bucket, which limits arrivals at the backend servers. Also spends a retry of the root's
/// budget, which limits runs, unless a backend server of a routed call refused to run the last attempt.
auto Entry::chargeRetry(ServiceRoutes &routes, Attempts &attempts) -> void
{
    if (!m_protocol || !wasShed(attempts))
        attempts.budget.trySpend();
    routes.bucket.tryTake();
}

auto Entry::attempt(const IncomingCall &call, ServiceRoutes &routes, Attempts &attempts,
                    const NodeId &node, const CancellationPtr &cancellation) -> Task<void>
{
    const auto start = monotonicNow();
    const auto hadArrived = attempts.progress.hasArrived();
    attempts.progress.didSend();
    auto request = call.request;
    request.remaining = call.deadline - start;
    const auto share = attempts.budget.startAttempt(call.hasDeeperCalls);
    request.retryBudget = share.retryBudget;
    request.isRepeat = share.isRepeat || (m_protocol && hadArrived);
    if (m_protocol && share.isRepeat && !hadArrived)
        routes.bucket.chargeRepeat();
    request.statement = routes.pool.statementOf(node);
    routes.pool.didSend(node, start);
    auto answer = co_await m_peers.call(node, std::move(request), cancellation);
    const auto now = monotonicNow();
    routes.pool.didEnd({node, answer.outcome, answer.reason, now - start, answer.report,
                        call.request.level, call.request.floorPath()},
                       now, m_random);
    if (answer.outcome != Outcome::Unknown)
        attempts.budget.didReceiveAnswer(answer.unspentBudget);
    attempts.progress.didEnd(retry::sendEndOf(answer.outcome, answer.reason, answer.wasDispatched));
    m_metrics.didEndAttempt(answer.outcome, answer.reason);
    routes.bucket.advanceTo(now);
    if (answer.outcome == Outcome::Answered)
        routes.bucket.didSucceed();
    attempts.last = std::move(answer);
}

auto Entry::hasToken(const CallRequest &request, ServiceRoutes &routes) const -> bool
{
    if (!m_protocol)
        return routes.bucket.tokens() >= 1.0;
    const auto precedence = retry::retryPrecedence(request.level, request.callsLeft);
    routes.bucket.recordDemand(precedence);
    return routes.bucket.hasTokenFor(precedence);
}

auto Entry::checkRepeat(const IncomingCall &call, Attempts &attempts) const -> void
{
    if (attempts.progress.isProvenNotRun())
        return;
    const auto refusal = m_repeatGuard.reasonToRefuse(call);
    if (refusal == RepeatRefusal::None)
        return;
    attempts.progress.forbidRepeats();
    if (!call.request.mustRunOnce)
        logRepeatRefusal(call, refusal);
}

auto Entry::nextStep(const IncomingCall &call, ServiceRoutes &routes,
                     const Attempts &attempts) const -> RetryDecision
{
    if (!attempts.progress.maySend())
        return RetryDecision::GiveUp;
    auto end = retry::EndedAttempt();
    end.outcome = attempts.last.outcome;
    end.reason = attempts.last.reason;
    end.wasDispatched = attempts.last.wasDispatched || attempts.last.outcome != Outcome::NotRun;
    end.wasRefusedByBackend = m_protocol && wasShed(attempts);
    end.isIdempotent = true; // Whether the call may be sent again after a run was checked above.
    end.budget = end.wasRefusedByBackend ? 1 : attempts.budget.remaining();
    end.hasServiceToken = true;
    end.remaining = call.deadline - monotonicNow();
    end.expectedLatency = routes.pool.expectedLatency();
    if (retry::decideRetry(end) == RetryDecision::Retry)
        end.hasServiceToken = hasToken(call.request, routes);
    const auto decision = retry::decideRetry(end);
    const auto isUnrun = decision == RetryDecision::Elsewhere || end.wasRefusedByBackend;
    if (isUnrun && attempts.progress.sends() > retry::MaxElsewhereTries)
        return RetryDecision::GiveUp;
    return decision;
}

/// The caller of a cancelled call still waits if the call was cancelled by the end of the shutdown.
auto Entry::refuseCancelled(Attempts &attempts, TimePoint now) -> CallAnswer
{
    if (m_shutdown.hasEnded(now))
        return finalRefusal(attempts, Reason::Draining, m_shutdown.retryAfter(now));
    return finalRefusal(attempts, Reason::Cancelled, Duration::zero());
}

/// Returns the final answer of a call without a complete response. It is `not-run` only if no attempt may have run.
auto Entry::finalRefusal(Attempts &attempts, Reason reason, Duration retryAfter) -> CallAnswer
{
    if (attempts.progress.sends() == 0)
        m_metrics.didRefuseAtEntry(reason);
    const auto isProvenNotRun = attempts.progress.finish();
    auto answer = CallAnswer();
    if (attempts.last.outcome == Outcome::Failed && attempts.last.status != 0)
        answer = attempts.last;
    else if (isProvenNotRun)
        answer.outcome = Outcome::NotRun;
    else
        answer.outcome =
                attempts.last.outcome == Outcome::Failed ? Outcome::Failed : Outcome::Unknown;
    answer.reason = reason;
    answer.wasDispatched = !isProvenNotRun;
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace stairspur::node
