#include "Simulation.h"

#include <algorithm>
#include <numeric>

namespace stairspur::routing {

static constexpr auto SampleInterval = Duration{10'000};
static constexpr auto WarmUp = Duration{8'000'000}; ///< The slow start is over.

static auto nodeOf(std::size_t server) -> NodeId
{
    return "upstream-" + std::to_string(1000 + server);
}

Simulation::Simulation(SimulationSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_servers(m_settings.limits.size())
{
    auto upstreams = std::vector<Upstream>();
    for (std::size_t it = 0; it < m_servers.size(); ++it)
        upstreams.push_back({nodeOf(it), "own", 1, m_settings.limits[it], false});
    const auto slots = std::accumulate(m_settings.limits.begin(), m_settings.limits.end(), 0.0);
    const auto perSecond = slots * m_settings.utilisation * 1e6
                           / static_cast<double>(m_settings.serviceTime.count());
    m_interval = Duration{std::llround(1e6 * static_cast<double>(m_settings.entries) / perSecond)};
    for (std::size_t it = 0; it < m_settings.entries; ++it) {
        auto routing = RoutingSettings{};
        routing.ownNode = "entry" + std::to_string(it);
        routing.ownDomain = "own";
        routing.reportHalfLife = m_settings.halfLife;
        m_entries.push_back(
                {UpstreamPool("menu", routing), std::vector<double>(m_servers.size()), it});
        m_entries.back().pool.setUpstreams(upstreams, m_now);
    }
}

auto Simulation::in(Duration delay, std::function<void()> action) -> void
{
    m_events.push({m_now + delay, m_order++, std::move(action)});
}

auto Simulation::exponential(Duration mean) -> Duration
{
    const auto draw = -std::log(1.0 - randomUnit(m_random));
    return Duration{std::llround(draw * static_cast<double>(mean.count()))};
}

auto Simulation::chooseFor(Entry &entry) -> std::size_t
{
    switch (m_settings.way) {
    case Way::Random:
        return randomBelow(m_random, m_servers.size());
    case Way::RoundRobin:
        return entry.next++ % m_servers.size();
    case Way::LeastReported: {
        const auto least = std::min_element(entry.reported.begin(), entry.reported.end());
        return static_cast<std::size_t>(least - entry.reported.begin());
    }
    case Way::Pool:
        break;
    }
    const auto deadline = m_now + Duration{10'000'000};
    const auto decision = entry.pool.choose({makeLevel(0, 0), deadline, {}, true}, m_now, m_random);
    return static_cast<std::size_t>(std::stoul(decision.node->substr(9)) - 1000);
}

auto Simulation::arrive(std::size_t index) -> void
{
    in(exponential(m_interval), [this, index] { arrive(index); });
    auto &entry = m_entries[index];
    const auto server = chooseFor(entry);
    entry.pool.didSend(nodeOf(server), m_now);
    const auto call = Call{index, m_now, m_now + m_settings.distance};
    in(m_settings.distance, [this, server, call] { start(server, call); });
}

auto Simulation::start(std::size_t index, const Call &call) -> void
{
    auto &server = m_servers[index];
    if (server.running >= m_settings.limits[index]) {
        server.queue.push_back(call);
        return;
    }
    ++server.running;
    if (m_now.time_since_epoch() > WarmUp)
        m_waits.push_back(static_cast<double>((m_now - call.queuedAt).count()) / 1000.0);
    in(exponential(m_settings.serviceTime), [this, index, call] { finish(index, call); });
}

auto Simulation::finish(std::size_t index, const Call &call) -> void
{
    auto &server = m_servers[index];
    --server.running;
    if (!server.queue.empty()) {
        const auto next = server.queue.front();
        server.queue.pop_front();
        start(index, next);
    }
    const auto report = admission::LoadReport{++server.sequence,
                                              m_settings.limits[index],
                                              server.running,
                                              static_cast<std::uint32_t>(server.queue.size()),
                                              Duration{0},
                                              false,
                                              {}};
    in(m_settings.distance, [this, index, call, report] {
        auto &entry = m_entries[call.entry];
        entry.reported[index] = static_cast<double>(report.inFlight + report.queued) / report.limit;
        entry.pool.didEnd({nodeOf(index), Outcome::Answered, Reason::None, m_now - call.sentAt,
                           report, makeLevel(0, 0)},
                          m_now, m_random);
    });
}

auto Simulation::loadOf(std::size_t server) const -> double
{
    const auto calls = m_servers[server].running + m_servers[server].queue.size();
    return static_cast<double>(calls) / m_settings.limits[server];
}

auto Simulation::sample() -> void
{
    in(SampleInterval, [this] { sample(); });
    if (m_now.time_since_epoch() < WarmUp)
        return;
    auto sum = 0.0;
    auto most = 0.0;
    for (std::size_t it = 0; it < m_servers.size(); ++it) {
        sum += loadOf(it);
        most = std::max(most, loadOf(it));
    }
    if (sum <= 0)
        return;
    m_ratios += most * static_cast<double>(m_servers.size()) / sum;
    ++m_samples;
}

auto Simulation::run() -> SimulationResult
{
    for (std::size_t it = 0; it < m_entries.size(); ++it)
        in(exponential(m_interval), [this, it] { arrive(it); });
    sample();
    const auto end = m_now + m_settings.length;
    while (!m_events.empty() && m_events.top().at < end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    std::sort(m_waits.begin(), m_waits.end());
    const auto n = static_cast<double>(m_waits.size());
    return {m_ratios / static_cast<double>(m_samples),
            std::accumulate(m_waits.begin(), m_waits.end(), 0.0) / n,
            m_waits[static_cast<std::size_t>(0.99 * n)]};
}

} // namespace stairspur::routing
