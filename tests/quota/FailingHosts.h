#pragma once

#include <algorithm>
#include <vector>

#include "VirtualHosts.h"

namespace stairspur::quota {

/// Simulated hosts that are suspended and killed. Each host detects by itself, after a random time, that another one is dead or
/// alive again, as the membership protocol does.
template <typename Policy = GrantorPolicy>
class FailingHosts
{
public:
    FailingHosts(std::size_t n, std::uint64_t seed)
        : hosts(n, seed)
        , m_random(seed + 1)
        , m_hosts(n)
    {
        for (auto &it : m_hosts) {
            it.view.assign(n, true);
            it.changesAt.assign(n, hosts.now());
        }
    }

    /// Suspends a host for `time`, unless it is down already.
    auto suspend(std::size_t index, Duration time) -> void
    {
        if (!isUp(index))
            return;
        m_hosts[index].isSuspended = true;
        goDown(index, time);
        hosts.pause(index, true);
    }

    /// Kills the process of a host, and starts it again after `pause`.
    auto kill(std::size_t index, Duration pause) -> void
    {
        if (!isUp(index))
            return;
        m_hosts[index].isSuspended = false;
        goDown(index, pause);
        hosts.crash(index);
    }

    /// Runs for `time` while the faults take their course.
    auto run(Duration time) -> void
    {
        for (const auto end = hosts.now() + time; hosts.now() < end;) {
            hosts.run(Step);
            for (auto index = std::size_t{0}; index < m_hosts.size(); ++index) {
                if (!isUp(index) && hosts.now() >= *m_hosts[index].upAt)
                    comeUp(index);
            }
            for (auto index = std::size_t{0}; index < m_hosts.size(); ++index)
                updateView(index);
        }
    }

    VirtualHosts<Policy> hosts;

private:
    struct Host
    {
        std::optional<TimePoint> upAt; ///< Empty while the host is up.
        bool isSuspended = false;
        std::vector<bool> view; ///< Which hosts are alive in this host's view.
        /// When the view adopts the current state of each host.
        std::vector<TimePoint> changesAt;
    };

    static constexpr auto Step = Duration{50'000};
    static constexpr auto MinDetection = Duration{1'500'000};
    static constexpr auto MaxDetection = Duration{3'500'000};
    static constexpr auto MinReturn = Duration{100'000};
    static constexpr auto MaxReturn = Duration{1'200'000};

    [[nodiscard]] auto isUp(std::size_t index) const -> bool { return !m_hosts[index].upAt; }

    auto between(Duration least, Duration most) -> Duration
    {
        const auto range = static_cast<std::uint64_t>((most - least).count());
        return least + Duration(static_cast<Duration::rep>(randomBelow(m_random, range + 1)));
    }

    auto goDown(std::size_t index, Duration time) -> void
    {
        m_hosts[index].upAt = hosts.now() + time;
        for (auto &it : m_hosts)
            it.changesAt[index] = hosts.now() + between(MinDetection, MaxDetection);
    }

    auto comeUp(std::size_t index) -> void
    {
        auto &host = m_hosts[index];
        host.upAt.reset();
        if (host.isSuspended) {
            hosts.pause(index, false);
        } else {
            hosts.start(index);
            std::fill(host.view.begin(), host.view.end(), false);
            host.view[index] = true;
        }
        for (auto other = std::size_t{0}; other < m_hosts.size(); ++other) {
            m_hosts[other].changesAt[index] = hosts.now() + between(MinReturn, MaxReturn);
            // What this host has missed reaches it after its return.
            host.changesAt[other] =
                    std::max(host.changesAt[other], hosts.now() + between(MinReturn, MaxReturn));
        }
    }

    auto updateView(std::size_t index) -> void
    {
        auto &host = m_hosts[index];
        if (!isUp(index))
            return;
        auto hasChanged = false;
        for (auto other = std::size_t{0}; other < m_hosts.size(); ++other) {
            const auto isAlive = other == index || isUp(other);
            if (host.view[other] == isAlive || hosts.now() < host.changesAt[other])
                continue;
            host.view[other] = isAlive;
            hasChanged = true;
        }
        if (!hasChanged)
            return;
        auto alive = std::vector<std::size_t>();
        for (auto other = std::size_t{0}; other < m_hosts.size(); ++other) {
            if (host.view[other])
                alive.push_back(other);
        }
        hosts.setView(index, alive);
    }

    Random m_random;
    std::vector<Host> m_hosts;
};

} // namespace stairspur::quota
