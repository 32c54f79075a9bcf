#include "FleetDay.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/keyed/PlacementPlan.h>

namespace stairspur::keyed::measure {

// The users' target size: 14,000 upstreams of 520 services in 13 failure domains, with 3,600 restarts or replacements
// and 49 failed hosts on an ordinary day.
static constexpr auto domainCount = 13;
static constexpr auto upstreamsPerDomain = 14'000 / domainCount;
static constexpr auto serviceCount = 520;
static constexpr auto restartsPerDay = 3'600 / domainCount;
static constexpr auto failuresPerDay = 49 / domainCount + 1;
static constexpr auto secondsPerDay = 86'400.0;
static constexpr auto hostsPerRack = 30;

namespace {

/// The hosts and placement tables of one failure domain.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (int n = 0; n < upstreamsPerDomain; ++n)
            addHost(n < serviceCount ? n : int(randomBelow(m_random, serviceCount)));
        for (int service = 0; service < serviceCount; ++service)
            settle(service);
        m_firstWrites = std::exchange(m_writes, 0);
    }

    auto run() -> void
    {
        const auto before = std::clock();
        for (int n = 0; n < restartsPerDay; ++n)
            restart(randomBelow(m_random, m_members.size()));
        for (int n = 0; n < failuresPerDay; ++n)
            replace(randomBelow(m_random, m_members.size()));
        m_seconds = double(std::clock() - before) / CLOCKS_PER_SEC;
    }

    auto print(std::uint64_t seed) const -> void
    {
        const auto writes = m_writes * domainCount;
        std::printf("day, seed %llu: %d upstreams, %d tables; first placement %d writes; "
                    "day: %d writes in all %d domains = %.3f/s, %d slots moved, %d blocked; "
                    "%.0f us per plan (%d plans)\n",
                    static_cast<unsigned long long>(seed), upstreamsPerDomain, serviceCount,
                    m_firstWrites, writes, domainCount, writes / secondsPerDay,
                    m_moves * domainCount, m_blocked, m_seconds / m_plans * 1e6, m_plans);
    }

private:
    auto addHost(int service) -> void
    {
        const auto n = int(m_members.size()) + m_replaced;
        const auto node = "10." + std::to_string(n / hostsPerRack / 256) + "."
                          + std::to_string(n / hostsPerRack % 256) + "."
                          + std::to_string(n % hostsPerRack) + ":7100";
        m_members.push_back({{node, 1}, rackOf(node)});
        m_services.push_back(service);
    }

    auto membersFor(int service) -> std::vector<PlacementMember>
    {
        auto members = m_members;
        for (std::size_t n = 0; n < members.size(); ++n)
            members[n].isOfService = m_services[n] == service;
        return members;
    }

    /// Plans and applies changes until the plan is empty. Each proposer counts as one write for all its slots.
    auto settle(int service) -> void
    {
        auto &table = m_tables[service];
        for (int round = 0; round < 8; ++round) {
            const auto plan = planPlacement(table, membersFor(service), 1, m_settings);
            ++m_plans;
            m_blocked += round == 0 ? int(plan.blocked.size()) : 0;
            if (plan.changes.empty())
                return;
            auto proposers = std::set<Replica>();
            for (const auto &it : plan.changes) {
                if (table.slots.size() <= it.slot)
                    table.slots.resize(it.slot + 1);
                table.slots[it.slot] = it.proposed;
                proposers.insert(it.proposer);
                ++m_moves;
            }
            m_writes += int(proposers.size());
        }
    }

    /// Settles all tables that name the host, and the table of its service.
    auto settleAround(std::size_t host) -> void
    {
        const auto node = m_members[host].replica.node;
        for (auto &[service, table] : m_tables) {
            const auto isNamed = std::any_of(table.slots.begin(), table.slots.end(), [&](auto &it) {
                return it.primary.node == node || it.witness.node == node;
            });
            if (isNamed || m_services[host] == service)
                settle(service);
        }
    }

    /// Restarts a host. Half of the restarts start with a drain. The host is down for long enough to be declared
    /// dead.
    auto restart(std::size_t host) -> void
    {
        if (randomBelow(m_random, 2) == 0) {
            m_members[host].isLeaving = true;
            settleAround(host);
            m_members[host].isLeaving = false;
        }
        m_members[host].isAlive = false;
        settleAround(host);
        m_members[host].isAlive = true;
        ++m_members[host].replica.session;
        settleAround(host);
    }

    /// Replaces a host that doesn't return by a new one with another address.
    auto replace(std::size_t host) -> void
    {
        m_members[host].isAlive = false;
        settleAround(host);
        ++m_replaced;
        addHost(m_services[host]);
        settleAround(m_members.size() - 1);
    }

    Random m_random;
    PlacementSettings m_settings;
    std::vector<PlacementMember> m_members;
    std::vector<int> m_services;
    std::map<int, PlacementTable> m_tables;
    int m_replaced = 0;
    int m_firstWrites = 0;
    int m_writes = 0;
    int m_moves = 0;
    int m_blocked = 0;
    int m_plans = 0;
    double m_seconds = 0;
};

} // namespace

auto measureFleetDay(std::uint64_t seed) -> void
{
    auto fleet = Fleet(seed);
    fleet.run();
    fleet.print(seed);
}

} // namespace stairspur::keyed::measure
