#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "Machine.h"

namespace review {

/// Exit codes of a case.
inline constexpr auto RuleHeld = 0;
inline constexpr auto RuleBroken = 1;
inline constexpr auto CouldNotRun = 2;

/// Three machines, one in each zone, a store, and the upstream of each machine.
class Deployment
{
public:
    struct Machine
    {
        std::unique_ptr<Upstream> upstream;
        std::unique_ptr<Node> node;
        std::unique_ptr<Heartbeats> heartbeats;
    };

    /// `services`: the service of each machine. `directory`: for settings files and logs. `behaviours`: of the upstreams, by service.
    Deployment(Record &record, const std::string &root, const std::string &directory,
               const std::vector<std::string> &services, const std::vector<Route> &routes,
               const std::map<std::string, Upstream::Behaviour> &behaviours = {})
    {
        static const auto Zones =
                std::vector<std::string>{"ljubljana-center", "ljubljana-bezigrad", "domzale"};
        m_store.put("op/config", configuration(routes));
        // A loopback network of this process, so that no other run has the nodes' fixed ports.
        const auto network = "127." + std::to_string(20 + getpid() % 200) + "."
                             + std::to_string(1 + getpid() / 200 % 250) + ".";
        for (auto n = std::size_t{0}; n < services.size(); ++n) {
            const auto ip = network + std::to_string(n + 1);
            auto &it = machines.emplace_back();
            const auto behaviour = behaviours.find(services[n]);
            it.upstream = std::make_unique<Upstream>(record, ip, services[n],
                                                     "i-" + std::string(1, static_cast<char>('a' + n)),
                                                     behaviour == behaviours.end()
                                                             ? Upstream::Behaviour()
                                                             : behaviour->second);
            it.node = std::make_unique<Node>(
                    Node::Settings{root, directory, "sidecar-" + Zones[n] + "-1", ip, Zones[n], Zones,
                                   services[n], it.upstream->address(), m_store.address()});
        }
    }

    /// Starts all nodes and heartbeats. Returns whether all nodes are ready.
    auto start() -> bool
    {
        for (auto &it : machines)
            it.node->start();
        const auto areReady = waitUntil(
                [this] {
                    return std::ranges::all_of(machines,
                                               [](const auto &it) { return it.node->isReady(); });
                },
                Milliseconds(20'000));
        for (auto &it : machines)
            it.heartbeats = std::make_unique<Heartbeats>(*it.upstream, *it.node);
        return areReady;
    }

    /// Ends everything that was started.
    auto end() -> void
    {
        for (auto &it : machines) {
            it.heartbeats.reset();
            it.node->kill();
        }
    }

    std::vector<Machine> machines;

private:
    Store m_store;
};

} // namespace review
