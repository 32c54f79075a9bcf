#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "DistributionScenarios.h"

namespace stairspur::distribution {

/// A cluster whose nodes prove, each by its own clock, when their configuration was last the newest. The fleet records when
/// each version was acknowledged and checks the proofs against it.
template <typename Policy = DistributionPolicy>
class FreshnessFleet
{
public:
    /// Time within which a version that revokes a key must apply on every host that still serves keys.
    static constexpr auto RevocationBound = Duration{5'000'000};

    FreshnessFleet(int domains, int perDomain, std::uint64_t seed)
        : cluster(0, 0, seed)
    {
        cluster.settings.isProvingFreshness = true;
        for (auto domain = 0; domain < domains; ++domain) {
            const auto name = "d" + std::to_string(domain);
            for (auto index = 0; index < perDomain; ++index)
                cluster.addNode(name + "/" + std::to_string(index), name);
        }
        for (auto &[id, node] : cluster.nodes)
            node.clockOffset = Duration(
                    static_cast<Duration::rep>(randomBelow(cluster.random, 1'000'000'000'000ULL)));
        cluster.shareView();
        apply();
        cluster.run(std::chrono::seconds(8));
    }

    /// Applies an operator's change and records the time of its acknowledgement.
    auto apply() -> void
    {
        applyNext(cluster, ++m_mark);
        m_acknowledged.push_back(cluster.now);
    }

    /// Advances the time and inspects every node at short intervals.
    auto run(Duration time) -> void
    {
        static constexpr auto InspectionInterval = Duration{50'000};
        const auto end = cluster.now + time;
        while (cluster.now < end) {
            cluster.run(std::min(InspectionInterval,
                                 std::chrono::duration_cast<Duration>(end - cluster.now)));
            for (const auto &[id, node] : cluster.nodes) {
                if (node.isAlive && !node.isPaused)
                    inspect(id);
            }
        }
    }

    /// Returns the age of a node's proof, or nothing if it has none.
    [[nodiscard]] auto ageOf(const NodeId &id) const -> std::optional<Duration>
    {
        const auto provenAt = cluster.nodes.at(id).state->provenAt();
        if (!provenAt)
            return std::nullopt;
        return std::chrono::duration_cast<Duration>(cluster.clockOf(id) - *provenAt);
    }

    [[nodiscard]] auto servesKeys(const NodeId &id) const -> bool
    {
        const auto age = ageOf(id);
        return age && *age < RevocationBound;
    }

    /// Returns the relays of a domain by the current views of its nodes.
    [[nodiscard]] auto relaysIn(const std::string &domain) const -> std::vector<NodeId>
    {
        auto relays = std::vector<NodeId>();
        for (const auto &[id, node] : cluster.nodes) {
            if (node.domain == domain && node.state->isRelay())
                relays.push_back(id);
        }
        return relays;
    }

    FakeCluster<Policy> cluster;
    Duration oldest{0};    ///< Age of the oldest proof of any inspected node since the last reset.
    Violations violations; ///< Cases in which a node served keys with a version that was too old.
    std::uint64_t refused = 0; ///< Inspections of nodes that could not serve keys.
    std::uint64_t inspections = 0;

private:
    auto inspect(const NodeId &id) -> void
    {
        ++inspections;
        const auto age = ageOf(id);
        oldest = std::max(oldest, age.value_or(Duration::max()));
        if (!servesKeys(id)) {
            ++refused;
            return;
        }
        const auto version = cluster.nodes.at(id).state->current().version();
        // Versions are numbered from 1 in the order in which they were applied.
        for (auto later = version; later < m_acknowledged.size(); ++later) {
            if (m_acknowledged[later] + RevocationBound <= cluster.now)
                violations.push_back(id + " serves keys with version " + std::to_string(version)
                                     + ", and version " + std::to_string(later + 1)
                                     + " was acknowledged too long ago");
        }
    }

    int m_mark = 0;
    std::vector<TimePoint> m_acknowledged;
};

} // namespace stairspur::distribution
