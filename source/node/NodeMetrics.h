#pragma once

#include <string>
#include <string_view>

#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/metrics/Registry.h>
#include <stairspur/retry/RetryPolicy.h>
#include <stairspur/routing/UpstreamPool.h>

#include "MetricsByClass.h"

namespace stairspur::node {

/// The metrics of the traffic threads: decisions, outcomes and latencies. Updates take no lock; the metrics of a service
/// class are in a list that one thread owns. docs/operations/metrics.md describes each metric.
class NodeMetrics
{
public:
    NodeMetrics();

    /// Records that the entry refused a call without sending it. Called on the entry's thread, as the functions up to
    /// didAnswerAtEntry() are.
    auto didRefuseAtEntry(Reason reason) -> void { m_entryRefusals.increment(reason); }
    /// Records how an upstream was chosen.
    auto didRoute(routing::RouteReason choice) -> void { m_routes.increment(choice); }
    /// Records the outcome of one attempt; `reason` is Reason::None for a complete response.
    auto didEndAttempt(Outcome outcome, Reason reason) -> void;
    /// Records the decision after an attempt without a complete response.
    auto didDecideRetry(retry::RetryDecision decision) -> void { m_retries.increment(decision); }
    /// Records the final response to a call, `latency` after the entry had read the call.
    auto didAnswerAtEntry(std::string_view className, Outcome outcome, Duration latency) -> void;

    /// Records that the gate refused a call before it ran. Called on the gate's thread, as all functions below are.
    auto didRefuseAtGate(std::string_view className, Reason reason) -> void;
    /// Records that the gate admitted or refused a call, `wait` after the call had requested a slot.
    auto didWaitAtGate(Duration wait) -> void { m_gateWait.record(wait); }
    /// Records the outcome of a call at the backend server, `latency` after it was sent there.
    auto didRunAtBackend(std::string_view className, Outcome outcome, Duration latency) -> void;
    /// Records the time that this gate added to a call that ran: its total time here without the time at the backend server.
    auto didAddAtGate(Duration added) -> void { m_gateAdded.record(added); }

    /// Records that the backend server's answer to an earlier call was dropped.
    auto didDropLateAnswer() -> void { m_lateAnswers.increment(); }

    /// Returns the metrics in the Prometheus text format. May be called on any thread.
    [[nodiscard]] auto render() const -> std::string { return m_registry.renderPrometheus(); }

private:
    /// The entry's metrics of one class.
    struct EntryClass
    {
        EntryClass(metrics::Registry &registry, const metrics::Labels &labels);

        metrics::EnumCounters<Outcome> answers;
    };

    /// The gate's metrics of one class.
    struct GateClass
    {
        GateClass(metrics::Registry &registry, const metrics::Labels &labels);

        metrics::EnumCounters<Reason> refusals;
        metrics::EnumCounters<Outcome> runs;
    };

    metrics::Registry m_registry;
    metrics::EnumCounters<Reason> m_entryRefusals;
    metrics::EnumCounters<routing::RouteReason> m_routes;
    metrics::EnumCounters<Outcome> m_attempts;
    metrics::EnumCounters<Reason> m_attemptReasons;
    metrics::EnumCounters<retry::RetryDecision> m_retries;
    metrics::LatencyHistogram &m_entryLatency;
    metrics::LatencyHistogram &m_gateWait;
    metrics::LatencyHistogram &m_gateAdded;
    metrics::LatencyHistogram &m_backendLatency;
    metrics::Counter &m_lateAnswers;
    MetricsByClass<EntryClass> m_entryClasses;
    MetricsByClass<GateClass> m_gateClasses;
};

} // namespace stairspur::node
