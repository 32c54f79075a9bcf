#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Clients.h"
#include "Deployment.h"
#include "Entry.h"
#include "EventQueue.h"
#include "Gates.h"
#include "Host.h"
#include "Policy.h"
#include "Results.h"

namespace stairspur::overload {

/// One run: what overloads the chain, and how much.
struct Scenario
{
    Deployment deployment;
    double overload =
            2.0; ///< Demand during the surge, as a multiple of the slowed deepest service's capacity.
    double slowdown = 1.5;         ///< Of the deepest service's work during the surge.
    double loadBefore = 0.7;       ///< Demand before and after, as a share of the capacity.
    std::uint32_t retryBudget = 3; ///< Extra dispatches of one root request.
    double reportedSlots =
            1.0; ///< What the deepest backend servers report, over the slots that they have.
    bool hasExactSlots = false; ///< Gates take the reported slots for their limit.
    bool entersAnywhere =
            false;            ///< Clients call any host; else the hosts of the first service only.
    PathKey path = NoPath;    ///< By which floors of deeper services are told; none: by class.
    Duration gateTick{5'000}; ///< How often a gate looks at its deadlines and deeper floors.
    std::uint64_t seed = 1;
    Phases phases;
    ClientSettings clients;

    /// Most dispatches of one root request: its calls and the retry budget.
    [[nodiscard]] auto dispatchBound() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(deployment.chain.size()) + retryBudget;
    }
};

/// One chain of services in virtual time, with a gate of kind `Gate` before each backend server.
template <AdmissionGate Gate>
class Simulation
{
public:
    Simulation(const Scenario &scenario, const PolicyTraits &traits)
        : m_scenario(scenario)
        , m_traits(traits)
        , m_random(scenario.seed)
        , m_results(scenario.phases, scenario.clients.classShares.size())
        , m_clients(clientSettings(), scenario.deployment.clientDistance, m_events, m_random,
                    m_results,
                    [this](const auto &root, auto done) { enter(root, std::move(done)); })
    {
        createHosts();
        connectHosts();
    }

    auto run() -> const Results &
    {
        const auto &phases = m_scenario.phases;
        const auto capacity = m_scenario.deployment.capacity(1.0);
        m_clients.setRate(m_scenario.loadBefore * capacity);
        m_events.at(phases.surgeStart(), [this] { startSurge(); });
        m_events.at(phases.surgeEnd(), [this] { endSurge(); });
        m_events.at(phases.end(), [this] { m_clients.stop(); });
        m_events.runUntil(phases.end() + 4 * m_scenario.clients.timeout);
        return m_results;
    }

private:
    using Node = Host<Gate>;
    using Hosts = std::vector<std::unique_ptr<Node>>;

    [[nodiscard]] auto clientSettings() const -> ClientSettings
    {
        auto settings = m_scenario.clients;
        settings.hasHashLevels = m_traits.hasHashLevels;
        settings.path = m_scenario.path;
        return settings;
    }

    auto createHosts() -> void
    {
        const auto &chain = m_scenario.deployment.chain;
        for (std::size_t service = 0; service < chain.size(); ++service) {
            m_hosts.emplace_back();
            for (std::uint32_t upstream = 0; upstream < chain[service].upstreams; ++upstream)
                createHost(service, upstream);
        }
    }

    auto createHost(std::size_t service, std::uint32_t upstream) -> void
    {
        auto settings = typename Node::Settings();
        settings.node =
                "10.0." + std::to_string(service) + "." + std::to_string(upstream + 1) + ":7100";
        settings.domain = "domain-" + std::to_string(upstream % m_scenario.deployment.domains);
        settings.hasFloors = m_traits.hasFloors;
        settings.classes = static_cast<std::uint32_t>(m_scenario.clients.classShares.size());
        const auto &model = m_scenario.deployment.chain[service];
        settings.reportedSlots = reportedSlotsOf(service);
        settings.followsReportedSlots = m_scenario.hasExactSlots;
        settings.path = m_scenario.path;
        settings.tickLength = m_scenario.gateTick;
        m_hosts[service].push_back(std::make_unique<Node>(settings, model, m_events, m_random));
    }

    [[nodiscard]] auto reportedSlotsOf(std::size_t service) const -> std::uint32_t
    {
        const auto &chain = m_scenario.deployment.chain;
        const auto factor = service + 1 == chain.size() ? m_scenario.reportedSlots : 1.0;
        return static_cast<std::uint32_t>(chain[service].slots * factor);
    }

    auto connectHosts() -> void
    {
        for (std::size_t service = 0; service + 1 < m_hosts.size(); ++service) {
            for (const auto &it : m_hosts[service])
                it->setDeeperEntry(createEntry(*it, service + 1, false));
        }
        for (const auto &service : m_hosts) {
            for (const auto &it : service)
                m_rootEntries.push_back(createEntry(*it, 0, true));
            if (!m_scenario.entersAnywhere)
                break;
        }
    }

    auto createEntry(const Node &host, std::size_t service, bool isRoot)
            -> std::unique_ptr<Entry<Node>>
    {
        const auto &model = m_scenario.deployment.chain[service];
        auto settings = typename Entry<Node>::Settings();
        settings.service = model.name;
        settings.ownNode = host.node();
        settings.ownDomain = host.domain();
        settings.traits = m_traits;
        settings.hasDeeperCalls = service + 1 < m_hosts.size();
        settings.isRoot = isRoot;
        const auto upstreams = upstreamsKnownTo(settings.ownNode, service);
        return std::make_unique<Entry<Node>>(settings, m_hosts[service], upstreams, m_events,
                                             m_random);
    }

    /// All upstreams of a service, or of a large one as many in a row as a host may call in a run: its choice sees a subset
    /// of them only, and thousands of whole lists would not fit into memory.
    [[nodiscard]] auto upstreamsKnownTo(const NodeId &node, std::size_t service) const
            -> std::vector<routing::Upstream>
    {
        static constexpr auto MostKnown = std::size_t{60};
        const auto &hosts = m_hosts[service];
        const auto first = hosts.size() > MostKnown ? std::hash<NodeId>()(node) : 0;
        auto upstreams = std::vector<routing::Upstream>();
        for (std::size_t n = 0; n < std::min(MostKnown, hosts.size()); ++n) {
            const auto &it = hosts[(first + n) % hosts.size()];
            upstreams.push_back({it->node(), it->domain(), 1, reportedSlotsOf(service), false});
        }
        return upstreams;
    }

    auto enter(const RootRequestPtr &root, ResultHandler done) -> void
    {
        auto &entry = *m_rootEntries[randomBelow(m_random, m_rootEntries.size())];
        const auto budget = m_traits.hasRetryBudget ? m_scenario.retryBudget : 0;
        entry.place(root, retry::CallBudget(budget, false), std::move(done));
    }

    auto startSurge() -> void
    {
        const auto capacity = m_scenario.deployment.capacity(m_scenario.slowdown);
        m_clients.setRate(m_scenario.overload * capacity);
        setSlowdown(m_scenario.slowdown);
    }

    auto endSurge() -> void
    {
        m_clients.setRate(m_scenario.loadBefore * m_scenario.deployment.capacity(1.0));
        setSlowdown(1.0);
    }

    auto setSlowdown(double slowdown) -> void
    {
        for (const auto &it : m_hosts.back())
            it->backend().setSlowdown(slowdown);
    }

    Scenario m_scenario;
    PolicyTraits m_traits;
    EventQueue m_events;
    Random m_random;
    Results m_results;
    std::vector<Hosts> m_hosts; ///< By service, in the order of the chain.
    std::vector<std::unique_ptr<Entry<Node>>> m_rootEntries;
    Clients m_clients;
};

/// Runs one scenario under one policy.
inline auto runScenario(const Scenario &scenario, Policy policy) -> Results
{
    const auto traits = traitsOf(policy);
    if (policy == Policy::Fifo)
        return Simulation<OpenGate>(scenario, traits).run();
    if (policy == Policy::FixedLimits)
        return Simulation<FixedGate>(scenario, traits).run();
    return Simulation<admission::AdmissionController>(scenario, traits).run();
}

} // namespace stairspur::overload
