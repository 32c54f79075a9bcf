#include <stairspur/log/Log.h>

#include "Entry.h"

namespace stairspur::node {

using retry::RetryDecision;
using transport::CallAnswer;
using transport::CallRequest;

/// Adds the class and the root of a call. They come last, since collectors may cut lines.
static auto addCall(log::Line &line, const CallRequest &request) -> void
{
    line.add("service", request.service)
            .add("class", request.className)
            .add("level", request.level.value)
            .add("root", request.root.toString());
}

auto Entry::logDecision(const IncomingCall &call, const routing::RouteDecision &decision,
                        const Attempts &attempts) -> void
{
    m_metrics.didRoute(decision.choice);
    if (!log::isDecisionSampled())
        return;
    auto line = log::Line(log::Severity::Info, "route");
    line.add("id", call.request.attemptId)
            .add("choice", decision.choice)
            .add("upstream", decision.node ? *decision.node : std::string("-"))
            .add("reason", decision.refusal)
            .add("attempt", attempts.progress.sends() + 1)
            .add("budget", attempts.budget.remaining());
    addCall(line, call.request);
    line.add("candidates", decision.candidates)
            .add("path_floor", decision.pathFloor.value)
            .add("path_floor_age_us", decision.pathFloorAge.value_or(Duration{-1}));
}

auto Entry::recordRetryDecision(const IncomingCall &call, RetryDecision decision,
                                const NodeId &upstream, const Attempts &attempts) -> void
{
    m_metrics.didDecideRetry(decision);
    const auto isSentAgain = decision != RetryDecision::GiveUp;
    const auto isAudited = call.request.mustRunOnce && isSentAgain;
    if (!isAudited && !log::isDecisionSampled())
        return;
    auto line = log::Line(log::Severity::Info, "retry",
                          isAudited ? log::LineKind::Audit : log::LineKind::Ordinary);
    line.add("id", call.request.attemptId)
            .add("decision", decision)
            .add("outcome", attempts.last.outcome)
            .add("reason", attempts.last.reason)
            .add("upstream", upstream)
            .add("attempt", attempts.progress.sends())
            .add("budget", attempts.budget.remaining());
    addCall(line, call.request);
}

auto Entry::logRepeatRefusal(const IncomingCall &call, RepeatRefusal refusal) const -> void
{
    if (!log::isDecisionSampled())
        return;
    const auto proofAge = m_board.configurationProof.read()->age(call.arrivedAt);
    auto line = log::Line(log::Severity::Info, "repeat-refused");
    line.add("id", call.request.attemptId)
            .add("reason", refusal)
            .add("proof_age_ms", toMilliseconds(proofAge.value_or(Duration{-1'000})));
    addCall(line, call.request);
}

auto Entry::logLateRefusal(const IncomingCall &call, const CallAnswer &answer,
                           const Attempts &attempts) -> void
{
    const auto isLateRefusal = answer.outcome == Outcome::NotRun && attempts.progress.sends() > 0;
    if (!isLateRefusal || !call.request.mustRunOnce)
        return;
    auto line = log::Line(log::Severity::Info, "refused-after-send", log::LineKind::Audit);
    line.add("id", call.request.attemptId)
            .add("outcome", answer.outcome)
            .add("reason", answer.reason)
            .add("attempts", attempts.progress.sends());
    addCall(line, call.request);
}

} // namespace stairspur::node
