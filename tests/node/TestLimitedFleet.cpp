#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <measure/overload/EventQueue.h>
#include <stairspur/admission/AdmissionController.h>
#include <stairspur/routing/UpstreamPool.h>

/// Fleets in virtual time in which a third of the upstreams state a rate: entries and gates without links between them.
using namespace stairspur;

static constexpr auto Millisecond = Duration{1'000};
static constexpr auto Second = Duration{1'000'000};
static constexpr auto ServiceTime = 30 * Millisecond;
static constexpr auto FairShare = 50.0; ///< Calls per second for each upstream.

class LimitedFleet
{
public:
    struct Upstream
    {
        std::unique_ptr<admission::AdmissionController> gate;
        bool isLimited = false;
        std::vector<TimePoint> arrivals;
    };

    /// A tenth of the hosts, but at least three, are upstreams of the service; each host has an entry.
    LimitedFleet(std::uint32_t hosts, double rate)
        : m_rate(rate)
    {
        const auto count = std::max(3U, hosts / 10);
        auto members = std::vector<routing::Upstream>();
        for (auto n = 0U; n < count; ++n) {
            auto settings = admission::AdmissionSettings();
            settings.followsReportedSlots = true;
            settings.reportedSlots = 40;
            auto &upstream = upstreams.emplace_back();
            upstream.gate = std::make_unique<admission::AdmissionController>(settings);
            upstream.isLimited = n % 3 == 0;
            if (upstream.isLimited)
                upstream.gate->setRateLimit(rate, m_events.now());
            members.push_back({std::to_string(n), "own", 1, 40, false});
        }
        for (auto n = 0U; n < hosts; ++n) {
            auto settings = routing::RoutingSettings();
            settings.ownNode = "entry" + std::to_string(n);
            settings.ownDomain = "own";
            settings.slowStart = Duration::zero();
            m_entries.push_back(std::make_unique<routing::UpstreamPool>("menu", settings));
            m_entries.back()->setUpstreams(members, m_events.now());
        }
        m_gap = Duration(std::llround(1e6 / (FairShare * count)));
    }

    auto run(Duration length) -> void
    {
        m_end = m_events.now() + length;
        arrive();
        tick();
        m_events.runUntil(m_end + Second);
    }

    std::vector<Upstream> upstreams;
    std::size_t calls = 0;
    std::size_t answered = 0;
    std::size_t refusedAtLimited = 0;

private:
    struct Call
    {
        std::size_t entry = 0;
        std::size_t upstream = 0;
        Level level;
        TimePoint deadline;
        TimePoint sentAt;
        std::vector<NodeId> excluded;
    };

    auto arrive() -> void
    {
        if (m_events.now() >= m_end)
            return;
        auto call = Call();
        call.entry = randomBelow(m_random, m_entries.size());
        call.level =
                makeLevel(1, static_cast<std::uint16_t>(randomBelow(m_random, HashesPerClass)));
        call.deadline = m_events.now() + 2 * Second;
        ++calls;
        send(std::move(call));
        const auto gap = -std::log1p(-randomUnit(m_random)) * static_cast<double>(m_gap.count());
        m_events.after(Duration(std::llround(gap)), [this] { arrive(); });
    }

    auto tick() -> void
    {
        if (m_events.now() >= m_end + Second)
            return;
        for (std::size_t n = 0; n < upstreams.size(); ++n)
            carryOut(n, upstreams[n].gate->advanceTo(m_events.now(), m_random));
        m_events.after(5 * Millisecond, [this] { tick(); });
    }

    auto send(Call call) -> void
    {
        static constexpr auto MaxTries = std::size_t{8};
        auto request = routing::RouteRequest();
        request.level = call.level;
        request.deadline = call.deadline;
        request.excluded = call.excluded;
        const auto decision = m_entries[call.entry]->choose(request, m_events.now(), m_random);
        if (!decision.node || call.excluded.size() >= MaxTries)
            return;
        call.upstream = static_cast<std::size_t>(std::stoul(*decision.node));
        call.sentAt = m_events.now();
        m_entries[call.entry]->didSend(*decision.node, m_events.now());
        const auto id = ++m_lastId;
        const auto offer =
                admission::CallOffer{.id = id, .level = call.level, .deadline = call.deadline};
        const auto upstream = call.upstream;
        m_calls.emplace(id, std::move(call));
        carryOut(upstream, upstreams[upstream].gate->offer(offer, m_events.now(), m_random));
    }

    auto carryOut(std::size_t upstream, const admission::AdmissionActions &actions) -> void
    {
        for (const auto id : actions.dispatch) {
            upstreams[upstream].arrivals.push_back(m_events.now());
            m_events.after(ServiceTime, [this, upstream, id] { didAnswer(upstream, id); });
        }
        for (const auto &it : actions.refuse) {
            refusedAtLimited += upstreams[upstream].isLimited ? 1 : 0;
            auto call = end(it.id, Outcome::NotRun, it.reason);
            call.excluded.push_back(std::to_string(upstream));
            m_events.after(Millisecond, [this, call] { send(call); });
        }
    }

    auto didAnswer(std::size_t upstream, CallId id) -> void
    {
        const auto actions = upstreams[upstream].gate->didComplete(
                id, admission::Completion::Succeeded, ServiceTime, m_events.now(), m_random);
        ++answered;
        end(id, Outcome::Answered, Reason::None);
        carryOut(upstream, actions);
    }

    auto end(CallId id, Outcome outcome, Reason reason) -> Call
    {
        auto call = std::move(m_calls.extract(id).mapped());
        auto result = routing::AttemptResult();
        result.node = std::to_string(call.upstream);
        result.outcome = outcome;
        result.reason = reason;
        result.latency = std::max(Duration{1}, m_events.now() - call.sentAt);
        result.level = call.level;
        result.report = reportOf(call.upstream);
        m_entries[call.entry]->didEnd(result, m_events.now(), m_random);
        return call;
    }

    /// Returns the report of the gate, with the statement that gates add.
    auto reportOf(std::size_t upstream) -> admission::LoadReport
    {
        auto report = upstreams[upstream].gate->report(m_events.now());
        if (upstreams[upstream].isLimited)
            report.statement = {.instance = upstream + 1, .statement = {.rateLimit = m_rate}};
        return report;
    }

    double m_rate = 0;
    overload::EventQueue m_events;
    Random m_random{11};
    std::vector<std::unique_ptr<routing::UpstreamPool>> m_entries;
    std::map<CallId, Call> m_calls;
    Duration m_gap{0};
    TimePoint m_end{};
    CallId m_lastId = 0;
};

Test(LimitedFleet, limitedUpstreamsGetTheirShareAtEachSize, .timeout = 300)
{
    static constexpr auto Length = 6 * Second;
    for (const auto hosts : {15U, 200U, 2'000U}) {
        for (const auto rate : {3.0, 12.3, 100.0}) {
            auto fleet = LimitedFleet(hosts, rate);
            fleet.run(Length);
            const auto from = TimePoint{} + Second;
            auto arrivals = 0.0;
            auto limited = 0.0;
            for (const auto &it : fleet.upstreams) {
                if (!it.isLimited)
                    continue;
                const auto n = std::ranges::count_if(it.arrivals, [&](auto at) {
                    return at >= from && at < TimePoint{} + Length;
                });
                cr_expect_leq(static_cast<double>(n), 5 * rate + std::max(3.0, rate / 10));
                arrivals += static_cast<double>(n);
                ++limited;
            }
            const auto share = arrivals / (limited * 5 * std::min(rate, FairShare));
            cr_expect_geq(share, 0.7, "%u hosts, rate %.1f: share %.2f", hosts, rate, share);
            cr_expect_eq(fleet.answered, fleet.calls, "%u hosts, rate %.1f: %zu of %zu lost", hosts,
                         rate, fleet.calls - fleet.answered, fleet.calls);
        }
    }
}
