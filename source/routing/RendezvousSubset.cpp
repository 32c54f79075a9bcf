#include "RendezvousSubset.h"

#include <algorithm>
#include <map>

#include <stairspur/core/Hash.h>

namespace stairspur::routing {

namespace {

/// A member and its rendezvous weight.
struct RankedMember
{
    std::uint64_t weight = 0;
    const SubsetMember *member = nullptr;
};

using RankedMembers = std::vector<RankedMember>;

/// The members of one failure domain, by descending weight.
struct DomainMembers
{
    std::uint64_t weight = 0;
    RankedMembers members;
    std::size_t taken = 0;

    [[nodiscard]] auto hasMore() const -> bool { return taken < members.size(); }
};

auto isHeavier(const RankedMember &a, const RankedMember &b) -> bool
{
    return a.weight != b.weight ? a.weight > b.weight : a.member->node < b.member->node;
}

auto groupByDomain(std::uint64_t seed, const SubsetOwner &owner,
                   const std::vector<SubsetMember> &members) -> std::map<std::string, DomainMembers>
{
    auto domains = std::map<std::string, DomainMembers>();
    for (const auto &it : members) {
        if (it.node != owner.node)
            domains[it.domain].members.push_back({hash64(it.node, seed), &it});
    }
    for (auto &[name, domain] : domains) {
        domain.weight = hash64(name, seed);
        std::sort(domain.members.begin(), domain.members.end(), isHeavier);
    }
    return domains;
}

/// Takes one member of each domain in turn, until `limit` members are taken or none is left. Returns how many are missing
/// from `limit`.
auto takeRoundRobin(const std::vector<DomainMembers *> &domains, std::size_t limit,
                    std::vector<NodeId> &subset) -> std::size_t
{
    auto hasTaken = true;
    while (limit > 0 && hasTaken) {
        hasTaken = false;
        for (auto *it : domains) {
            if (limit == 0 || !it->hasMore())
                continue;
            subset.push_back(it->members[it->taken++].member->node);
            --limit;
            hasTaken = true;
        }
    }
    return limit;
}

} // namespace

auto rendezvousSubset(const SubsetOwner &owner, const std::vector<SubsetMember> &members)
        -> std::vector<NodeId>
{
    const auto seed = hash64(owner.service, hash64(owner.node));
    auto domains = groupByDomain(seed, owner, members);
    auto own = std::vector<DomainMembers *>();
    auto others = std::vector<DomainMembers *>();
    for (auto &[name, domain] : domains)
        (name == owner.domain ? own : others).push_back(&domain);
    std::sort(others.begin(), others.end(),
              [](const auto *a, const auto *b) { return a->weight > b->weight; });

    auto subset = std::vector<NodeId>();
    const auto isOwner = [&](const auto &it) { return it.node == owner.node; };
    if (std::any_of(members.begin(), members.end(), isOwner))
        subset.push_back(owner.node);
    const auto ownLimit = std::size_t{owner.size} - owner.size / 2;
    const auto missingOwn = takeRoundRobin(own, ownLimit, subset);
    const auto missing = takeRoundRobin(others, owner.size / 2 + missingOwn, subset);
    takeRoundRobin(own, missing, subset);
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace stairspur::routing
