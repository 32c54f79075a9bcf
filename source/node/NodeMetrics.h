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

/// What the traffic threads count: each decision and each outcome, and how long things took. Counting takes no lock; the
/// metrics of a service class are found in a list that one thread owns. docs/operations/metrics.md tells what each means.
class NodeMetrics
{
public:
    NodeMetrics();

    /// The entry ended a call without sending it anywhere. On the entry's thread, as all of the next six.
    auto didRefuseAtEntry(Reason reason) -> void { m_entryRefusals.increment(reason); }
    auto didRoute(routing::RouteReason choice) -> void { m_routes.increment(choice); }
    /// One attempt ended; `reason` is Reason::None for a whole answer.
    auto didEndAttempt(Outcome outcome, Reason reason) -> void;
    /// What was decided after an attempt without a whole answer.
    auto didDecideRetry(retry::RetryDecision decision) -> void { m_retries.increment(decision); }
    /// A call got its final answer, `latency` after the entry had read it.
    auto didAnswerAtEntry(std::string_view className, Outcome outcome, Duration latency) -> void;

    /// The gate refused a call before it ran. On the gate's thread, as all that follow.
    auto didRefuseAtGate(std::string_view className, Reason reason) -> void;
    /// A call was decided, `wait` after it had asked for a place.
    auto didWaitAtGate(Duration wait) -> void { m_gateWait.record(wait); }
    /// The backend server ended a call, `latency` after it was sent there.
    auto didRunAtBackend(std::string_view className, Outcome outcome, Duration latency) -> void;
    /// What this gate added to a call that ran: its time here without the backend server's.
    auto didAddAtGate(Duration added) -> void { m_gateAdded.record(added); }

    /// In the Prometheus text format. On any thread.
    [[nodiscard]] auto render() const -> std::string { return m_registry.renderPrometheus(); }

private:
    /// What the entry counts for one class.
    struct EntryClass
    {
        EntryClass(metrics::Registry &registry, const metrics::Labels &labels);

        metrics::EnumCounters<Outcome> answers;
    };

    /// What the gate counts for one class.
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
    MetricsByClass<EntryClass> m_entryClasses;
    MetricsByClass<GateClass> m_gateClasses;
};

} // namespace stairspur::node
