#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/quarantine/QuarantineState.h>

namespace stairspur::quarantine {

/// Simulates the gates of one service on a virtual clock. Each request runs at one backend server and some requests crash it;
/// datagrams between the gates are delayed, lost, or dropped at a network partition.
class VirtualFleet
{
public:
    static constexpr auto RunTime = Duration{100'000};
    static constexpr auto RestartTime = Duration{2'000'000};
    static constexpr auto TickTime = Duration{1'000'000};

    VirtualFleet(std::size_t hosts, std::uint64_t seed)
        : m_random(seed)
    {
        for (auto n = std::size_t{0}; n < hosts; ++n)
            m_hosts.emplace_back();
        for (auto n = std::size_t{0}; n < hosts; ++n)
            startNode(n);
    }

    /// Starts, or restarts, the node of a host, without records.
    auto startNode(std::size_t host) -> void
    {
        auto settings = QuarantineSettings();
        settings.node = nameOf(host);
        auto &it = m_hosts[host];
        it.state = std::make_unique<QuarantineState>(settings, m_random(), m_now);
        auto peers = std::vector<NodeId>();
        for (auto n = std::size_t{0}; n < m_hosts.size(); ++n) {
            if (n != host)
                peers.push_back(nameOf(n));
        }
        it.state->setPeers(std::move(peers));
        scheduleTick(host, m_now
                                   + Duration{static_cast<Duration::rep>(
                                           randomBelow(m_random, TickTime.count()))});
    }

    /// Drops all datagrams between hosts below `border` and the others.
    auto partitionAt(std::size_t border) -> void { m_partitionBorder = border; }
    /// Delivers datagrams between all hosts again.
    auto endPartition() -> void { m_partitionBorder = 0; }

    /// Sends `request` to a random host whose backend server is up. Returns whether the gate let it run.
    auto offer(const RequestFingerprint &request) -> bool
    {
        auto up = std::vector<std::size_t>();
        for (auto n = std::size_t{0}; n < m_hosts.size(); ++n) {
            if (m_hosts[n].isUp)
                up.push_back(n);
        }
        if (up.empty())
            return false;
        return offerTo(up[randomBelow(m_random, up.size())], request);
    }

    /// Sends `request` to the gate of a host. Returns whether the gate let it run.
    auto offerTo(std::size_t host, const RequestFingerprint &request) -> bool
    {
        auto &it = m_hosts[host];
        const auto status = it.state->decide(request, m_now).status;
        const auto hasTurn = status != QuarantineStatus::Suspected || it.suspected.empty();
        if (!it.isUp || status == QuarantineStatus::Refused || !hasTurn)
            return false;
        ++sends[request];
        sendTimes[request].push_back(m_now);
        it.running.insert(request);
        if (status == QuarantineStatus::Suspected)
            it.suspected.insert(request);
        after(RunTime, [this, host, request, incarnation = it.incarnation] {
            finish(host, request, incarnation);
        });
        return true;
    }

    /// Crashes the backend server of a host under all requests that run there.
    auto crash(std::size_t host) -> void
    {
        auto &it = m_hosts[host];
        const auto ran = std::vector<RequestFingerprint>(it.running.begin(), it.running.end());
        it.running.clear();
        it.suspected.clear();
        it.isUp = false;
        ++it.incarnation;
        for (const auto &request : ran)
            crashTimes[request].push_back(m_now);
        it.state->didCrash(ran, m_now);
        flush(host);
        after(RestartTime, [this, host] { m_hosts[host].isUp = true; });
        // Clients, or their entries, retry the requests that were lost.
        for (const auto &request : ran)
            after(Duration{6'000}, [this, request] { offer(request); });
    }

    /// Advances the virtual clock and runs the events that become due.
    auto runFor(Duration time) -> void
    {
        const auto until = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
        m_now = until;
    }

    /// Schedules an action.
    auto after(Duration time, std::function<void()> action) -> void
    {
        m_events.emplace(m_now + time, std::move(action));
    }

    [[nodiscard]] auto now() const -> TimePoint { return m_now; }
    auto random() -> Random & { return m_random; }
    auto state(std::size_t host) -> QuarantineState & { return *m_hosts[host].state; }
    [[nodiscard]] auto size() const -> std::size_t { return m_hosts.size(); }

    /// Returns the number of hosts whose gate refuses the request.
    auto refusing(const RequestFingerprint &request) -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &it) {
                    return it.state->decide(request, m_now).status == QuarantineStatus::Refused;
                }));
    }

    /// Returns how often the request was sent after it had crashed the third backend server.
    auto sendsAfterThirdCrash(const RequestFingerprint &request) -> std::size_t
    {
        const auto &crashes = crashTimes[request];
        if (crashes.size() < 3)
            return 0;
        const auto &times = sendTimes[request];
        return static_cast<std::size_t>(std::count_if(
                times.begin(), times.end(), [&](const auto &it) { return it > crashes[2]; }));
    }

    std::set<RequestFingerprint> poison; ///< Requests that crash every backend server.
    std::map<RequestFingerprint, std::size_t> sends;
    std::map<RequestFingerprint, std::size_t> answers;
    std::map<RequestFingerprint, std::vector<TimePoint>> sendTimes;
    std::map<RequestFingerprint, std::vector<TimePoint>> crashTimes;
    double loss = 0.01;      ///< Share of datagrams that are lost.
    std::uint64_t bytes = 0; ///< Payload bytes of all datagrams that were sent.

private:
    struct Host
    {
        std::unique_ptr<QuarantineState> state;
        std::multiset<RequestFingerprint> running;
        std::set<RequestFingerprint> suspected;
        bool isUp = true;
        int incarnation = 0;
        TimePoint nextTick;
        int ticks = 0; ///< Number of ticks that were scheduled.
    };

    static auto nameOf(std::size_t host) -> NodeId { return std::to_string(host); }

    auto scheduleTick(std::size_t host, TimePoint due) -> void
    {
        auto &it = m_hosts[host];
        it.nextTick = due;
        after(std::max(Duration{1}, due - m_now),
              [this, host, number = ++it.ticks] { tick(host, number); });
    }

    /// Runs the tick if it is the one that was scheduled last.
    auto tick(std::size_t host, int number) -> void
    {
        if (m_hosts[host].ticks != number)
            return;
        state(host).tick(m_now);
        scheduleTick(host, m_now + TickTime);
        flush(host);
    }

    auto finish(std::size_t host, const RequestFingerprint &request, int incarnation) -> void
    {
        auto &it = m_hosts[host];
        if (it.incarnation != incarnation)
            return;
        if (poison.contains(request))
            return crash(host);
        it.running.erase(it.running.find(request));
        it.suspected.erase(request);
        ++answers[request];
        it.state->didAnswer(request, m_now);
        flush(host);
    }

    auto flush(std::size_t host) -> void
    {
        for (auto &it : state(host).takeDatagrams())
            deliver(host, std::stoul(it.to), std::move(it.payload));
        if (const auto due = state(host).nextDue(); due && *due < m_hosts[host].nextTick)
            scheduleTick(host, *due);
    }

    auto deliver(std::size_t from, std::size_t to, std::string payload) -> void
    {
        bytes += payload.size();
        const auto isPartitioned = (from < m_partitionBorder) != (to < m_partitionBorder);
        if (isPartitioned || randomUnit(m_random) < loss)
            return;
        const auto delay =
                Duration{1'000 + static_cast<Duration::rep>(randomBelow(m_random, 1'000))};
        after(delay, [this, from, to, payload = std::move(payload)] {
            state(to).receive(nameOf(from), payload, m_now);
            flush(to);
        });
    }

    Random m_random;
    TimePoint m_now{Duration{1'000'000'000}};
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::size_t m_partitionBorder = 0;
};

/// Returns the `n`th of many different requests.
inline auto requestOf(std::uint64_t n) -> RequestFingerprint
{
    const auto target = "/" + std::to_string(n);
    return fingerprintOf({.service = "menu", .caller = "c", .method = "GET", .target = target});
}

} // namespace stairspur::quarantine
