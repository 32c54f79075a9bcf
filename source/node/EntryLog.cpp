#include <stairspur/log/Log.h>

#include "Entry.h"

namespace stairspur::node {

using retry::RetryDecision;
using transport::CallRequest;

/// Adds the keys that identify the decisions of one call in the log.
static auto addCall(log::Line &line, const CallRequest &request) -> void
{
    line.add("service", request.service)
            .add("class", request.className)
            .add("level", request.level.value)
            .add("root", request.root.toString())
            .add("id", request.attemptId);
}

auto Entry::logDecision(const IncomingCall &call, const routing::RouteDecision &decision,
                        const Attempts &attempts) -> void
{
    m_metrics.didRoute(decision.choice);
    if (!log::isDecisionSampled())
        return;
    auto line = log::Line(log::Severity::Info, "route");
    line.add("choice", decision.choice);
    addCall(line, call.request);
    line.add("upstream", decision.node ? *decision.node : std::string("-"))
            .add("reason", decision.refusal)
            .add("candidates", decision.candidates)
            .add("path_floor", decision.pathFloor.value)
            .add("path_floor_age_us", decision.pathFloorAge.value_or(Duration{-1}))
            .add("attempt", attempts.sent + 1)
            .add("budget", attempts.budget.remaining());
}

auto Entry::recordRetryDecision(const IncomingCall &call, RetryDecision decision,
                                const Attempts &attempts) -> void
{
    m_metrics.didDecideRetry(decision);
    if (!log::isDecisionSampled())
        return;
    auto line = log::Line(log::Severity::Info, "retry");
    line.add("decision", decision)
            .add("outcome", attempts.last.outcome)
            .add("reason", attempts.last.reason);
    addCall(line, call.request);
    line.add("attempt", attempts.sent).add("budget", attempts.budget.remaining());
}

} // namespace stairspur::node
