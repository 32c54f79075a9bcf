#include "ControlMetrics.h"

#include <array>
#include <cstdio>
#include <initializer_list>

#include <stairspur/metrics/Registry.h>

namespace stairspur::node {

using metrics::Registry;

/// The value of a counter for one value of its label.
struct LabelledValue
{
    const char *label;
    std::uint64_t value;
};

static auto addCounter(Registry &registry, const metrics::MetricText &text, std::uint64_t value)
        -> void
{
    registry.counter(text).increment(value);
}

static auto addCounters(Registry &registry, const metrics::MetricText &text,
                        const std::string &label, std::initializer_list<LabelledValue> values)
        -> void
{
    for (const auto &it : values)
        registry.counter(text, {{label, it.label}}).increment(it.value);
}

static auto addGauge(Registry &registry, const metrics::MetricText &text, std::uint64_t value)
        -> void
{
    registry.gauge(text).set(static_cast<std::int64_t>(value));
}

static auto addMembers(Registry &registry, const membership::MembershipView &view) -> void
{
    using membership::Liveness;
    using membership::ServingState;
    const auto text = metrics::MetricText{
            "stairspur_members", "Nodes in the membership table, by liveness and serving state."};
    for (const auto liveness : enumNames<Liveness>) {
        for (const auto state : enumNames<ServingState>)
            registry.gauge(text,
                           {{"liveness", std::string(liveness)}, {"state", std::string(state)}});
    }
    for (const auto &it : view.members)
        registry.gauge(text, {{"liveness", std::string(nameOf(it.liveness))},
                              {"state", std::string(nameOf(it.state))}})
                .add(1);
}

static auto addMembership(Registry &registry, const membership::MembershipCounters &counters)
        -> void
{
    addCounters(registry,
                {"stairspur_membership_probes_total", "Probes of other nodes, by kind and result."},
                "kind",
                {{"direct", counters.probes},
                 {"indirect", counters.indirectProbes},
                 {"failed", counters.failedProbes}});
    addCounters(registry,
                {"stairspur_membership_judgements_total",
                 "Judgements published by this node: suspicions and deaths of others, and "
                 "refutations of "
                 "suspicions about it."},
                "judgement",
                {{"suspicion", counters.suspicions},
                 {"death", counters.deaths},
                 {"refutation", counters.refutations}});
    addCounters(registry,
                {"stairspur_membership_exchanges_total",
                 "Comparisons of complete views with another node."},
                "kind",
                {{"all", counters.exchanges},
                 {"unequal", counters.unequalExchanges},
                 {"relay", counters.relayExchanges}});
    addCounters(registry,
                {"stairspur_membership_rejected_total",
                 "Membership datagrams and records that were rejected."},
                "what",
                {{"datagram", counters.rejectedDatagrams}, {"record", counters.rejectedRecords}});
    addCounter(
            registry,
            {"stairspur_membership_pauses_total",
             "Pauses of this process itself, which it does not count as failures of other nodes."},
            counters.pauses);
    addCounters(registry, {"stairspur_membership_bytes_total", "Payload of membership datagrams."},
                "direction", {{"sent", counters.bytesSent}, {"received", counters.bytesReceived}});
}

static auto addDistribution(Registry &registry, const ControlState &state) -> void
{
    const auto &counters = state.distribution;
    addGauge(registry, {"stairspur_configuration_version", "Version in force; 0: none."},
             state.version);
    addGauge(registry,
             {"stairspur_configuration_proof_age_milliseconds",
              "Time since the version in force was proven to be the newest; 0: never proven."},
             state.proofAge ? static_cast<std::uint64_t>(toMilliseconds(*state.proofAge)) : 0);
    addGauge(registry, {"stairspur_ready", "1 while /readyz answers 200."}, state.isReady ? 1 : 0);
    addGauge(
            registry,
            {"stairspur_distribution_relay", "1 while this node queries the store for its domain."},
            state.isRelay ? 1 : 0);
    addCounters(registry,
                {"stairspur_distribution_events_total",
                 "Events of the distribution of configurations at this node."},
                "event",
                {{"adoption", counters.adoptions},
                 {"whole-load", counters.wholeLoads},
                 {"failed-fetch", counters.failedFetches},
                 {"rejected-hash", counters.rejectedHashes},
                 {"malformed", counters.malformed},
                 {"alarm", counters.alarms},
                 {"head-read", counters.headReads},
                 {"section-read", counters.sectionReads},
                 {"datagram-sent", counters.datagramsSent},
                 {"request-sent", counters.requestsSent}});
    addCounters(registry,
                {"stairspur_distribution_bytes_total",
                 "Payload of the distribution's datagrams and requests."},
                "direction",
                {{"sent", counters.datagramBytesSent + counters.requestBytesSent},
                 {"received", counters.datagramBytesReceived + counters.requestBytesReceived}});
}

/// Adds the counters of one store client. A node has two clients, one on each thread that uses the store; both are added to
/// the same metrics.
static auto addStore(Registry &registry, const store::StoreCounters &counters) -> void
{
    using store::StoreCall;
    using store::StoreStatus;
    const auto text = metrics::MetricText{"stairspur_store_calls_total",
                                          "Attempts at calls to the store, by kind and result."};
    for (std::size_t call = 0; call < counters.calls.size(); ++call) {
        for (std::size_t status = 0; status < counters.calls[call].size(); ++status)
            registry.counter(text, {{"call", std::string(enumNames<StoreCall>[call])},
                                    {"status", std::string(enumNames<StoreStatus>[status])}})
                    .increment(counters.calls[call][status]);
    }
    addCounter(registry, {"stairspur_store_delayed_total", "Calls that waited for the rate limit."},
               counters.delayed);
    addCounter(registry,
               {"stairspur_store_watch_messages_total", "Watch messages that contain events."},
               counters.watchMessages);
}

/// Adds the traffic of datagrams and peer links. The bytes of datagrams and of control requests count against the budget for
/// control traffic; the bytes of calls do not.
static auto addTraffic(Registry &registry, const ControlState &state) -> void
{
    const auto links = std::array{&state.controlTraffic, &state.entry.traffic, &state.gate.traffic,
                                  &state.gate.keyedTraffic};
    auto sum = transport::PeerTraffic();
    for (const auto *it : links) {
        sum.callBytesSent += it->callBytesSent;
        sum.callBytesReceived += it->callBytesReceived;
        sum.controlBytesSent += it->controlBytesSent;
        sum.controlBytesReceived += it->controlBytesReceived;
        sum.droppedAnswers += it->droppedAnswers;
        sum.damagedFrames += it->damagedFrames;
    }
    addCounters(registry,
                {"stairspur_control_bytes_total",
                 "Bytes of datagrams and of control requests, without the headers of TCP, UDP and "
                 "IP."},
                "direction",
                {{"sent", state.datagrams.bytesSent + sum.controlBytesSent},
                 {"received", state.datagrams.bytesReceived + sum.controlBytesReceived}});
    addCounters(registry,
                {"stairspur_call_bytes_total", "Bytes of calls and answers on peer links."},
                "direction", {{"sent", sum.callBytesSent}, {"received", sum.callBytesReceived}});
    addCounters(registry, {"stairspur_datagrams_total", "Datagrams, by result."}, "what",
                {{"sent", state.datagrams.sent},
                 {"received", state.datagrams.received},
                 {"rejected", state.datagrams.rejected}});
    addCounter(registry,
               {"stairspur_dropped_answers_total", "Answers for which no call was waiting."},
               sum.droppedAnswers);
    addCounter(registry, {"stairspur_damaged_frames_total", "Frames with a wrong hash."},
               sum.damagedFrames);
}

static auto addCurrentState(Registry &registry, const ControlState &state) -> void
{
    const auto &load = state.gate.load;
    addGauge(registry, {"stairspur_gate_limit", "Calls that the gate allows to run concurrently."},
             load.limit);
    const auto rate = load.statement ? load.statement->statement.rateLimit : std::nullopt;
    addGauge(registry,
             {"stairspur_gate_rate_limit_millis",
              "Rate limit that the backend server states, in thousandths of a call per second; 0: "
              "none."},
             static_cast<std::uint64_t>(rate.value_or(0) * 1'000));
    addGauge(registry,
             {"stairspur_gate_in_flight", "Calls that are running at the backend server."},
             load.inFlight);
    addGauge(registry, {"stairspur_gate_queued", "Calls that wait for a slot."}, load.queued);
    for (std::size_t rank = 0; rank < load.floors.size(); ++rank)
        registry.gauge({"stairspur_gate_floor",
                        "Lowest level admitted, by class rank (0: the most important)."},
                       {{"rank", std::to_string(rank)}})
                .set(load.floors[rank].value);
    addGauge(registry, {"stairspur_entry_connections", "Connections of callers."},
             state.entry.connections);
    addGauge(registry,
             {"stairspur_links", "Peer links that the entry and the control thread have opened."},
             std::uint64_t{state.entry.links} + state.controlLinks);
    addGauge(registry, {"stairspur_process_resident_bytes", "Resident memory of the process."},
             state.process.residentBytes);
}

/// Returns the processor time as a metric. It is rendered here because the registry supports only integers, and this metric
/// is in seconds by convention.
static auto renderCpu(const ProcessUsage &usage) -> std::string
{
    static constexpr auto BufferSize = 64;
    static constexpr auto MicrosecondsPerSecond = 1e6;
    auto buf = std::array<char, BufferSize>{};
    const auto seconds = static_cast<double>(usage.cpu.count()) / MicrosecondsPerSecond;
    std::snprintf(buf.data(), buf.size(), "stairspur_process_cpu_seconds_total %.2f\n", seconds);
    return "# HELP stairspur_process_cpu_seconds_total Processor time of all threads.\n"
           "# TYPE stairspur_process_cpu_seconds_total counter\n"
           + std::string(buf.data());
}

static auto addAnnouncements(Registry &registry, const IgnoredAnnouncements &ignored) -> void
{
    using membership::IgnoreReason;
    const auto text = metrics::MetricText{
            "stairspur_announcements_ignored_total",
            "Acknowledged announcements of the host's backend server that changed nothing."};
    for (std::size_t index = 0; index < ignored.size(); ++index) {
        const auto reason = std::string(nameOf(static_cast<IgnoreReason>(index)));
        registry.counter(text, {{"reason", reason}}).increment(ignored[index]);
    }
}

auto renderControlMetrics(const ControlState &state) -> std::string
{
    auto registry = Registry();
    addMembers(registry, state.members);
    addMembership(registry, state.membership);
    addCounter(registry,
               {"stairspur_announcements_refused_total",
                "Announcements of the host's backend server that were malformed or not allowed."},
               state.refusedAnnouncements);
    addCounter(registry,
               {"stairspur_backends_leaving_total",
                "Process instances of the host's backend server that were found to leave."},
               state.leavingInstances);
    addAnnouncements(registry, state.ignoredAnnouncements);
    addDistribution(registry, state);
    if (state.store) {
        addStore(registry, *state.store);
        addStore(registry, state.gate.keyedStoreCounters);
    }
    addTraffic(registry, state);
    addCurrentState(registry, state);
    return registry.renderPrometheus() + renderCpu(state.process);
}

} // namespace stairspur::node
