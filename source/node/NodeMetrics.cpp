#include "NodeMetrics.h"

namespace stairspur::node {

NodeMetrics::EntryClass::EntryClass(metrics::Registry &registry, const metrics::Labels &labels)
    : answers(registry,
              {"stairspur_entry_answers_total", "Final answers to callers, by class and outcome."},
              "outcome", labels)
{}

NodeMetrics::GateClass::GateClass(metrics::Registry &registry, const metrics::Labels &labels)
    : refusals(registry,
               {"stairspur_gate_refusals_total",
                "Calls that the gate refused before they ran, by class and reason."},
               "reason", labels)
    , runs(registry,
           {"stairspur_backend_runs_total",
            "Calls sent to the backend server, by class and outcome."},
           "outcome", labels)
{}

NodeMetrics::NodeMetrics()
    : m_entryRefusals(m_registry,
                      {"stairspur_entry_refusals_total",
                       "Calls that the entry refused without sending them, by reason."},
                      "reason")
    , m_routes(m_registry, {"stairspur_routes_total", "Choices of an upstream, by kind of choice."},
               "choice")
    , m_attempts(m_registry, {"stairspur_attempts_total", "Attempts at upstreams, by outcome."},
                 "outcome")
    , m_attemptReasons(m_registry,
                       {"stairspur_attempt_failures_total",
                        "Attempts without a complete response, by reason."},
                       "reason")
    , m_retries(m_registry,
                {"stairspur_retry_decisions_total",
                 "Decisions after an attempt without a complete response."},
                "decision")
    , m_entryLatency(m_registry.histogram(
              {"stairspur_entry_latency_seconds",
               "Time from reading a call at the entry to its final answer, refusals included."}))
    , m_gateWait(m_registry.histogram(
              {"stairspur_gate_wait_seconds",
               "Time from a call's request for a slot to the gate's decision."}))
    , m_gateAdded(m_registry.histogram(
              {"stairspur_gate_added_seconds",
               "Time of calls that ran at this gate, without the time at the backend server."}))
    , m_backendLatency(
              m_registry.histogram({"stairspur_backend_latency_seconds",
                                    "Time from sending a call to the backend server to its end."}))
    , m_lateAnswers(m_registry.counter({"stairspur_backend_late_answers_total",
                                        "Second answers of the backend server that were dropped."}))
    , m_entryClasses(m_registry)
    , m_gateClasses(m_registry)
{}

auto NodeMetrics::didEndAttempt(Outcome outcome, Reason reason) -> void
{
    m_attempts.increment(outcome);
    if (outcome != Outcome::Answered)
        m_attemptReasons.increment(reason);
}

auto NodeMetrics::didAnswerAtEntry(std::string_view className, Outcome outcome, Duration latency)
        -> void
{
    m_entryClasses[className].answers.increment(outcome);
    m_entryLatency.record(latency);
}

auto NodeMetrics::didRefuseAtGate(std::string_view className, Reason reason) -> void
{
    m_gateClasses[className].refusals.increment(reason);
}

auto NodeMetrics::didRunAtBackend(std::string_view className, Outcome outcome, Duration latency)
        -> void
{
    m_gateClasses[className].runs.increment(outcome);
    m_backendLatency.record(latency);
}

} // namespace stairspur::node
