#include <stairspur/distribution/RelayRank.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <stairspur/core/Hash.h>

namespace stairspur::distribution {

auto relaysOf(const std::string &domain, const std::vector<Peer> &alive) -> std::vector<NodeId>
{
    auto ranked = std::vector<std::pair<std::uint64_t, NodeId>>();
    for (const auto &it : alive) {
        if (it.domain == domain)
            ranked.emplace_back(hash64(it.node, hash64(domain)), it.node);
    }
    const auto n = std::min(RelaysPerDomain, ranked.size());
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(n);
    std::ranges::partial_sort(ranked, middle, std::greater<>());
    auto relays = std::vector<NodeId>();
    for (auto it = ranked.begin(); it != middle; ++it)
        relays.push_back(std::move(it->second));
    return relays;
}

} // namespace stairspur::distribution
