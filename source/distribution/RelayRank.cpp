#include <stairspur/distribution/RelayRank.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <stairspur/core/Hash.h>

namespace stairspur::distribution {

auto rankedMembers(const std::string &domain, const std::vector<Peer> &alive) -> std::vector<NodeId>
{
    auto ranked = std::vector<std::pair<std::uint64_t, NodeId>>();
    for (const auto &it : alive) {
        if (it.domain == domain)
            ranked.emplace_back(hash64(it.node, hash64(domain)), it.node);
    }
    std::ranges::sort(ranked, std::greater<>());
    auto members = std::vector<NodeId>();
    members.reserve(ranked.size());
    for (auto &it : ranked)
        members.push_back(std::move(it.second));
    return members;
}

} // namespace stairspur::distribution
