#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "DistributionScenarios.h"

namespace stairspur::distribution {

/// A cluster whose nodes prove how lately their configuration was the newest, each by a clock of its own, and a witness that
/// knows when each version was acknowledged.
template <typename Policy = DistributionPolicy>
class FreshnessFleet
{
public:
    /// Within it a version that takes a key away must bind every host that still serves keys.
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

    /// An operator's change, acknowledged now.
    auto apply() -> void
    {
        applyNext(cluster, ++m_mark);
        m_acknowledged.push_back(cluster.now);
    }

    /// Lets time pass and looks at every node all the while.
    auto run(Duration time) -> void
    {
        static constexpr auto LookInterval = Duration{50'000};
        const auto end = cluster.now + time;
        while (cluster.now < end) {
            cluster.run(std::min(LookInterval,
                                 std::chrono::duration_cast<Duration>(end - cluster.now)));
            for (const auto &[id, node] : cluster.nodes) {
                if (node.isAlive && !node.isPaused)
                    look(id);
            }
        }
    }

    /// How old a node's proof is; nothing: it has none.
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

    /// The relays of a domain, as its nodes see them now.
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
    Duration oldest{0};    ///< The oldest proof of any node that was looked at since it was reset.
    Violations violations; ///< A node served keys by a version that was too old.
    std::uint64_t refused = 0; ///< Looks at nodes that could not serve keys.
    std::uint64_t looks = 0;

private:
    auto look(const NodeId &id) -> void
    {
        ++looks;
        const auto age = ageOf(id);
        oldest = std::max(oldest, age.value_or(Duration::max()));
        if (!servesKeys(id)) {
            ++refused;
            return;
        }
        const auto version = cluster.nodes.at(id).state->current().version();
        // Versions count from 1 in the order in which they were applied.
        for (auto later = version; later < m_acknowledged.size(); ++later) {
            if (m_acknowledged[later] + RevocationBound <= cluster.now)
                violations.push_back(id + " serves keys by version " + std::to_string(version)
                                     + ", and version " + std::to_string(later + 1)
                                     + " was acknowledged too long ago");
        }
    }

    int m_mark = 0;
    std::vector<TimePoint> m_acknowledged;
};

} // namespace stairspur::distribution
