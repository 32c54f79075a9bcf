#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/SuspensionDetector.h>
#include <stairspur/quota/QuotaGrantor.h>
#include <stairspur/quota/QuotaHolder.h>

namespace stairspur::quota {

/// The guarantee of a quota: the requests that may run in any window.
struct QuotaGuarantee
{
    static constexpr auto WindowSeconds = 5.0;
    static constexpr auto Excess = 0.1;
    static constexpr auto Slack = 20.0;

    /// Returns the maximum number of requests in a window.
    static auto maxRequests(const config::RequestQuota &quota) -> double
    {
        return (quota.requestsPerSecond * WindowSeconds + quota.burst) * (1 + Excess) + Slack;
    }
};

/// Counts the requests of one caller and records its fullest window.
class WindowCounter
{
public:
    auto addRun(TimePoint now) -> void
    {
        m_runs.push_back(now);
        const auto start =
                now - Duration{static_cast<Duration::rep>(QuotaGuarantee::WindowSeconds * 1e6)};
        while (m_runs.front() <= start)
            m_runs.pop_front();
        maxRuns = std::max<std::uint64_t>(maxRuns, m_runs.size());
    }

    std::uint64_t maxRuns = 0; ///< Requests in the fullest window.

private:
    std::deque<TimePoint> m_runs;
};

/// A caller's demand over all hosts together, and the outcomes of its requests.
struct VirtualCaller
{
    std::string name;
    config::RequestQuota quota;
    double demand = 0; ///< Current requests per second.
    /// Share of the demand that arrives at one host, `busyHost`; the rest arrives at all.
    double busyShare = 0;
    std::size_t busyHost = 0;
    WindowCounter window{};
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t delayed = 0; ///< Requests decided after more than ten milliseconds.
};

/// Simulated hosts with holders and grantors, on a virtual clock and network. Each host has its own clock and its own view of
/// the alive hosts, which is updated by updateViews() only.
template <typename Policy = GrantorPolicy>
class VirtualHosts
{
public:
    VirtualHosts(std::size_t hosts, std::uint64_t seed)
        : m_random(seed)
        , m_hosts(hosts)
    {
        for (auto index = std::size_t{0}; index < hosts; ++index)
            start(index);
        updateViews();
        run(Duration{3'000'000});
    }

    auto addCaller(std::string name, config::RequestQuota quota, double demand) -> VirtualCaller &
    {
        return m_callers.emplace_back(VirtualCaller{std::move(name), quota, demand});
    }

    [[nodiscard]] auto callers() -> std::deque<VirtualCaller> & { return m_callers; }
    [[nodiscard]] auto now() const -> TimePoint { return m_now; }

    /// Starts a process without any state, in whose view only itself is alive.
    auto start(std::size_t index) -> void
    {
        auto &host = m_hosts[index];
        host.clockOffset =
                Duration(static_cast<Duration::rep>(randomBelow(m_random, 1'000'000'000'000ULL)));
        host.holder = std::make_unique<QuotaHolder>(QuotaSettings(), m_random(), clockOf(index));
        host.grantor = std::make_unique<BasicQuotaGrantor<Policy>>(QuotaSettings(), nameOf(index),
                                                                   clockOf(index), m_random() | 1U);
        host.suspension.emplace(SuspensionLimit, clockOf(index));
        host.isAlive = true;
        host.startedAtMs = static_cast<Incarnation>(toMilliseconds(m_now.time_since_epoch()));
        setView(index, {index});
    }

    auto crash(std::size_t index) -> void { m_hosts[index].isAlive = false; }
    auto pause(std::size_t index, bool isPaused) -> void { m_hosts[index].isPaused = isPaused; }

    /// Drops messages between hosts on the two sides of `border`; 0 ends the partition.
    auto partitionAt(std::size_t border) -> void { m_partitionBorder = border; }
    auto setIsolated(std::size_t index, bool isIsolated) -> void
    {
        m_hosts[index].isIsolated = isIsolated;
    }

    /// Updates the view of every host with the hosts that are alive and reachable, as after the detection time.
    auto updateViews() -> void { updateViews(m_hosts.size()); }

    /// Updates the view of the first `first` hosts only.
    auto updateViews(std::size_t first) -> void
    {
        for (auto index = std::size_t{0}; index < first; ++index) {
            if (!m_hosts[index].isAlive)
                continue;
            auto alive = std::vector<std::size_t>();
            for (auto other = std::size_t{0}; other < m_hosts.size(); ++other) {
                if (m_hosts[other].isAlive && !isUnreachable(index, other))
                    alive.push_back(other);
            }
            setView(index, alive);
        }
    }

    /// Sets the hosts that are alive in the view of one host.
    auto setView(std::size_t index, const std::vector<std::size_t> &alive) -> void
    {
        auto nodes = std::vector<AliveNode>();
        for (const auto it : alive)
            nodes.push_back({nameOf(it), m_hosts[it].startedAtMs});
        m_hosts[index].holder->setNodes(nodes, clockOf(index));
        m_hosts[index].grantor->setNodes(nodes, clockOf(index));
    }

    /// Returns the host that grants the caller's quota when all hosts are alive.
    [[nodiscard]] auto grantorOf(const std::string &caller) const -> std::size_t
    {
        auto grantor = std::size_t{0};
        for (auto index = std::size_t{1}; index < m_hosts.size(); ++index) {
            const auto seed = hash64(caller);
            if (hash64(nameOf(index), seed) > hash64(nameOf(grantor), seed))
                grantor = index;
        }
        return grantor;
    }

    auto run(Duration time) -> void
    {
        static constexpr auto Step = Duration{1'000};
        static constexpr auto StepsPerTick = 20;
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += Step;
            deliver();
            for (auto &it : m_callers)
                offerDemand(it, std::chrono::duration<double>(Step).count());
            if (++m_steps % StepsPerTick == 0)
                tick();
        }
    }

    double lossShare = 0;
    Duration latency{1'000};
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// Share of admitted requests that the hosts' admission refuses, so that their tokens are returned.
    double shedShare = 0;

private:
    static constexpr auto SuspensionLimit = Duration{1'000'000};

    struct Host
    {
        std::unique_ptr<QuotaHolder> holder;
        std::unique_ptr<BasicQuotaGrantor<Policy>> grantor;
        std::optional<SuspensionDetector> suspension;
        Duration clockOffset{0};
        Incarnation startedAtMs = 0;
        bool isAlive = true;
        bool isPaused = false;
        bool isIsolated = false;
    };

    struct Offer
    {
        VirtualCaller *caller = nullptr;
        std::size_t host = 0;
        TimePoint at;
    };

    static auto nameOf(std::size_t index) -> NodeId { return "host-" + std::to_string(index); }
    static auto indexOf(const NodeId &name) -> std::size_t { return std::stoul(name.substr(5)); }

    [[nodiscard]] auto clockOf(std::size_t index) const -> TimePoint
    {
        return m_now + m_hosts[index].clockOffset;
    }

    [[nodiscard]] auto isUnreachable(std::size_t a, std::size_t b) const -> bool
    {
        const auto isPartitioned =
                m_partitionBorder > 0 && (a < m_partitionBorder) != (b < m_partitionBorder);
        return a != b && (isPartitioned || m_hosts[a].isIsolated || m_hosts[b].isIsolated);
    }

    auto offerDemand(VirtualCaller &caller, double seconds) -> void
    {
        auto &due = m_due[caller.name];
        due += caller.demand * seconds;
        for (; due >= 1; due -= 1) {
            const auto isAtBusyHost =
                    caller.busyShare > 0 && randomUnit(m_random) < caller.busyShare;
            const auto host =
                    isAtBusyHost ? caller.busyHost : randomBelow(m_random, m_hosts.size());
            if (!m_hosts[host].isAlive || m_hosts[host].isPaused)
                continue;
            ++caller.offered;
            const auto request = ++m_lastRequest;
            m_offers.emplace(request, Offer{&caller, host, m_now});
            m_hosts[host].holder->offer(request, caller.name, caller.quota, clockOf(host));
            flush(host);
        }
    }

    auto flush(std::size_t index) -> void
    {
        auto &holder = *m_hosts[index].holder;
        for (const auto &it : holder.takeDatagrams())
            send(index, indexOf(it.to), it.payload);
        for (const auto &it : holder.takeDecisions())
            decide(index, it);
    }

    auto decide(std::size_t index, const QuotaDecision &decision) -> void
    {
        const auto found = m_offers.find(decision.request);
        auto &caller = *found->second.caller;
        caller.delayed += m_now - found->second.at > Duration{10'000} ? 1 : 0;
        m_offers.erase(found);
        if (!decision.isAdmitted) {
            ++caller.refused;
            return;
        }
        if (shedShare > 0 && randomUnit(m_random) < shedShare) {
            m_hosts[index].holder->returnToken(caller.name, decision.tokenExpiry, clockOf(index));
            return;
        }
        ++caller.admitted;
        caller.window.addRun(m_now);
    }

    auto send(std::size_t from, std::size_t to, std::string payload) -> void
    {
        ++messages;
        bytes += payload.size();
        if (from != to && (randomUnit(m_random) < lossShare || isUnreachable(from, to)))
            return;
        const auto delay = from == to ? Duration{0} : latency;
        m_events.emplace(m_now + delay, [this, from, to, payload = std::move(payload)] {
            arrive(from, to, payload);
        });
    }

    auto arrive(std::size_t from, std::size_t to, const std::string &payload) -> void
    {
        auto &host = m_hosts[to];
        if (!host.isAlive)
            return;
        if (host.isPaused) {
            m_events.emplace(m_now + Duration{1'000},
                             [this, from, to, payload] { arrive(from, to, payload); });
            return;
        }
        const auto message = readMessage(payload);
        if (const auto *grant = std::get_if<TokenGrant>(&message)) {
            host.holder->receive(*grant, clockOf(to));
            flush(to);
            return;
        }
        const auto &request = std::get<TokenRequest>(message);
        const auto caller = std::ranges::find(m_callers, request.caller, &VirtualCaller::name);
        detectSuspension(to);
        const auto grant =
                host.grantor->grantTokens(nameOf(from), request, caller->quota, clockOf(to));
        if (request.wanted > 0)
            send(to, from, writeMessage(grant));
    }

    auto detectSuspension(std::size_t index) -> void
    {
        auto &host = m_hosts[index];
        if (!host.suspension->didRun(clockOf(index)))
            return;
        host.grantor->didResume(clockOf(index));
        host.holder->didResume(nameOf(index), clockOf(index));
    }

    auto deliver() -> void
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            event();
        }
    }

    auto tick() -> void
    {
        for (auto index = std::size_t{0}; index < m_hosts.size(); ++index) {
            if (!m_hosts[index].isAlive || m_hosts[index].isPaused)
                continue;
            detectSuspension(index);
            m_hosts[index].holder->tick(clockOf(index));
            flush(index);
        }
    }

    Random m_random;
    TimePoint m_now{Duration{1'000'000'000}};
    std::vector<Host> m_hosts;
    std::deque<VirtualCaller> m_callers;
    /// Fractions of requests to be offered, by caller.
    std::unordered_map<std::string, double> m_due;
    std::unordered_map<RequestNumber, Offer> m_offers;
    std::multimap<TimePoint, std::function<void()>> m_events;
    RequestNumber m_lastRequest = 0;
    std::size_t m_partitionBorder = 0;
    std::uint64_t m_steps = 0;
};

} // namespace stairspur::quota
