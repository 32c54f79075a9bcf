#include <criterion/criterion.h>

#include <algorithm>
#include <iterator>
#include <map>

#include "../../source/routing/RendezvousSubset.h"

using namespace stairspur;
using namespace stairspur::routing;

static auto makeMembers(std::initializer_list<std::pair<const char *, int>> domains)
        -> std::vector<SubsetMember>
{
    auto members = std::vector<SubsetMember>();
    for (const auto &[domain, n] : domains) {
        for (auto index = 0; index < n; ++index)
            members.push_back({std::string(domain) + std::to_string(index), domain});
    }
    return members;
}

static auto ownedBy(const NodeId &node, std::uint32_t size = 16) -> SubsetOwner
{
    return {"menu", node, "a", size};
}

static auto countByDomain(const std::vector<NodeId> &subset) -> std::map<char, int>
{
    auto counts = std::map<char, int>();
    for (const auto &it : subset)
        ++counts[it.front()];
    return counts;
}

Test(RendezvousSubset, halfIsInTheOwnDomainAndTheRestIsSpread)
{
    struct
    {
        std::vector<SubsetMember> members;
        std::map<char, int> counts;
    } cases[] = {
            {makeMembers({{"a", 100}, {"b", 100}, {"c", 100}}), {{'a', 8}, {'b', 4}, {'c', 4}}},
            {makeMembers({{"a", 2}, {"b", 100}, {"c", 100}}), {{'a', 2}, {'b', 7}, {'c', 7}}},
            {makeMembers({{"a", 100}, {"b", 1}}), {{'a', 15}, {'b', 1}}},
            {makeMembers({{"a", 3}, {"b", 2}}), {{'a', 3}, {'b', 2}}},
            {makeMembers({{"b", 100}}), {{'b', 16}}},
            {{}, {}},
    };
    for (const auto &it : cases)
        cr_assert(countByDomain(rendezvousSubset(ownedBy("x"), it.members)) == it.counts);
}

Test(RendezvousSubset, theOwnerIsAlwaysAMember)
{
    const auto members = makeMembers({{"a", 200}, {"b", 200}});
    for (const auto size : {0U, 1U, 16U}) {
        const auto subset = rendezvousSubset(ownedBy("a7", size), members);
        cr_assert(std::count(subset.begin(), subset.end(), "a7") == 1);
        cr_assert_eq(subset.size(), size + 1);
    }
}

Test(RendezvousSubset, removingAMemberReplacesAtMostOneMember)
{
    const auto all = makeMembers({{"a", 60}, {"b", 60}, {"c", 60}});
    const auto before = rendezvousSubset(ownedBy("x"), all);
    auto moved = std::size_t{0};
    for (std::size_t index = 0; index < all.size(); ++index) {
        auto members = all;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
        const auto after = rendezvousSubset(ownedBy("x"), members);
        auto fresh = std::vector<NodeId>();
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                            std::back_inserter(fresh));
        cr_assert_leq(fresh.size(), 1, "without %s", all[index].node.c_str());
        moved += fresh.size();
    }
    cr_assert_eq(moved, before.size(),
                 "only the removal of a member of the subset adds another one");
}

Test(RendezvousSubset, entriesSpreadOverThePool)
{
    const auto members = makeMembers({{"a", 50}, {"b", 50}});
    auto counts = std::map<NodeId, int>();
    constexpr auto Entries = 500;
    for (auto entry = 0; entry < Entries; ++entry) {
        for (const auto &it : rendezvousSubset(ownedBy("entry" + std::to_string(entry)), members))
            ++counts[it];
    }
    cr_assert_eq(counts.size(), members.size());
    const auto mean = Entries * 16 / static_cast<int>(members.size());
    for (const auto &[node, n] : counts) {
        cr_assert_gt(n, mean / 2, "%s has %d of a mean of %d", node.c_str(), n, mean);
        cr_assert_lt(n, mean * 2, "%s has %d of a mean of %d", node.c_str(), n, mean);
    }
}
