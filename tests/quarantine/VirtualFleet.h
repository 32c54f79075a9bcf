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

/// The gates of one service on a virtual clock: requests run at one backend server each, some end it, and what the gates tell
/// each other takes its time, gets lost, or meets a cut.
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

    /// The node of a host starts: it knows nothing of before.
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

    /// Hosts below `border` and the others hear nothing of each other.
    auto cutAt(std::size_t border) -> void { m_border = border; }
    auto heal() -> void { m_border = 0; }

    /// Sends `request` to a random host whose backend server is up; whether it was sent there.
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

    auto offerTo(std::size_t host, const RequestFingerprint &request) -> bool
    {
        auto &it = m_hosts[host];
        const auto standing = it.state->judge(request, m_now).standing;
        const auto hasTurn = standing != Standing::OnTrial || it.onTrial.empty();
        if (!it.isUp || standing == Standing::Refused || !hasTurn)
            return false;
        ++sends[request];
        sendTimes[request].push_back(m_now);
        it.running.insert(request);
        if (standing == Standing::OnTrial)
            it.onTrial.insert(request);
        after(RunTime, [this, host, request, life = it.life] { end(host, request, life); });
        return true;
    }

    /// The backend server ends under all that run there.
    auto crash(std::size_t host) -> void
    {
        auto &it = m_hosts[host];
        const auto ran = std::vector<RequestFingerprint>(it.running.begin(), it.running.end());
        it.running.clear();
        it.onTrial.clear();
        it.isUp = false;
        ++it.life;
        for (const auto &request : ran)
            crashTimes[request].push_back(m_now);
        it.state->didCrash(ran, m_now);
        flush(host);
        after(RestartTime, [this, host] { m_hosts[host].isUp = true; });
        // Clients, or their entries, send on what was lost.
        for (const auto &request : ran)
            after(Duration{6'000}, [this, request] { offer(request); });
    }

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

    auto after(Duration time, std::function<void()> action) -> void
    {
        m_events.emplace(m_now + time, std::move(action));
    }

    [[nodiscard]] auto now() const -> TimePoint { return m_now; }
    auto random() -> Random & { return m_random; }
    auto state(std::size_t host) -> QuarantineState & { return *m_hosts[host].state; }
    [[nodiscard]] auto size() const -> std::size_t { return m_hosts.size(); }

    /// Hosts that refuse the request.
    auto refusing(const RequestFingerprint &request) -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &it) {
                    return it.state->judge(request, m_now).standing == Standing::Refused;
                }));
    }

    /// Sends after the third backend server had ended under the request.
    auto sendsAfterThirdCrash(const RequestFingerprint &request) -> std::size_t
    {
        const auto &crashes = crashTimes[request];
        if (crashes.size() < 3)
            return 0;
        const auto &times = sendTimes[request];
        return static_cast<std::size_t>(std::count_if(
                times.begin(), times.end(), [&](const auto &it) { return it > crashes[2]; }));
    }

    std::set<RequestFingerprint> deadly;
    std::map<RequestFingerprint, std::size_t> sends;
    std::map<RequestFingerprint, std::size_t> answers;
    std::map<RequestFingerprint, std::vector<TimePoint>> sendTimes;
    std::map<RequestFingerprint, std::vector<TimePoint>> crashTimes;
    double loss = 0.01; ///< Share of datagrams that never arrive.
    std::uint64_t bytes = 0;

private:
    struct Host
    {
        std::unique_ptr<QuarantineState> state;
        std::multiset<RequestFingerprint> running;
        std::set<RequestFingerprint> onTrial;
        bool isUp = true;
        int life = 0;
        TimePoint nextTick;
        int ticks = 0; ///< That were scheduled.
    };

    static auto nameOf(std::size_t host) -> NodeId { return std::to_string(host); }

    auto scheduleTick(std::size_t host, TimePoint due) -> void
    {
        auto &it = m_hosts[host];
        it.nextTick = due;
        after(std::max(Duration{1}, due - m_now),
              [this, host, number = ++it.ticks] { tick(host, number); });
    }

    /// Only the tick that was scheduled last is made.
    auto tick(std::size_t host, int number) -> void
    {
        if (m_hosts[host].ticks != number)
            return;
        state(host).tick(m_now);
        scheduleTick(host, m_now + TickTime);
        flush(host);
    }

    auto end(std::size_t host, const RequestFingerprint &request, int life) -> void
    {
        auto &it = m_hosts[host];
        if (it.life != life)
            return;
        if (deadly.contains(request))
            return crash(host);
        it.running.erase(it.running.find(request));
        it.onTrial.erase(request);
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
        const auto isCut = (from < m_border) != (to < m_border);
        if (isCut || randomUnit(m_random) < loss)
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
    std::size_t m_border = 0;
};

/// The `n`th of many requests.
inline auto requestOf(std::uint64_t n) -> RequestFingerprint
{
    const auto target = "/" + std::to_string(n);
    return fingerprintOf({.service = "menu", .caller = "c", .method = "GET", .target = target});
}

} // namespace stairspur::quarantine
