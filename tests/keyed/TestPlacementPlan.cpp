#include <criterion/criterion.h>

#include <map>

#include <stairspur/keyed/PlacementPlan.h>

using namespace stairspur;
using namespace stairspur::keyed;

static constexpr auto settings = PlacementSettings();
static constexpr auto now = WallMilliseconds{5'000};

static auto member(int rack, int host, Incarnation session = 1) -> PlacementMember
{
    const auto node = "10.0." + std::to_string(rack) + "." + std::to_string(host) + ":7100";
    return {{node, session}, rackOf(node)};
}

static auto apply(PlacementTable &table, const PlacementPlan &plan) -> void
{
    for (const auto &it : plan.changes) {
        if (it.slot >= table.slots.size())
            table.slots.resize(it.slot + 1);
        cr_assert_eq(it.proposed.epoch, table.slots[it.slot].epoch + 1);
        cr_assert_neq(it.proposed.primary.node, it.proposed.witness.node);
        table.slots[it.slot] = it.proposed;
    }
}

static auto firstTable(const std::vector<PlacementMember> &members) -> PlacementTable
{
    auto table = PlacementTable{"order-intake", "centre", {}};
    apply(table, planPlacement(table, members, now, settings));
    return table;
}

static auto primaries(const PlacementTable &table) -> std::map<NodeId, int>
{
    auto counts = std::map<NodeId, int>();
    for (const auto &it : table.slots)
        ++counts[it.primary.node];
    return counts;
}

Test(PlacementPlan, firstPlacementIsBalancedAcrossRacks)
{
    const auto members = std::vector{member(1, 1), member(1, 2), member(2, 1), member(2, 2)};
    const auto table = firstTable(members);
    cr_assert_eq(table.slots.size(), 16);
    for (const auto &[node, n] : primaries(table))
        cr_assert_eq(n, 4, "%s has %d", node.c_str(), n);
    for (const auto &it : table.slots)
        cr_assert_neq(rackOf(it.primary.node), rackOf(it.witness.node));
    cr_assert(planPlacement(table, members, now, settings).changes.empty(),
              "the plan of the placed table should be empty");
}

Test(PlacementPlan, singleNodeGetsNoSlots)
{
    cr_assert(firstTable({member(1, 1)}).slots.empty());
}

Test(PlacementPlan, nodeOfAnotherServiceIsWitnessWhenTheServiceHasTooFewNodes)
{
    auto otherService = member(2, 1);
    otherService.isOfService = false;
    const auto table = firstTable({member(1, 1), otherService});
    cr_assert_eq(table.slots.size(), 4);
    for (const auto &it : table.slots)
        cr_assert_eq(it.witness.node, otherService.replica.node);
}

Test(PlacementPlan, witnessMovesToTheOwnServiceOnceItHasEnoughNodes)
{
    auto otherService = member(2, 1);
    otherService.isOfService = false;
    auto table = firstTable({member(1, 1), otherService});
    apply(table, planPlacement(table, {member(1, 1), member(3, 1), otherService}, now, settings));
    apply(table, planPlacement(table, {member(1, 1), member(3, 1), otherService}, now, settings));
    for (const auto &it : table.slots)
        cr_assert_neq(it.witness.node, otherService.replica.node);
}

Test(PlacementPlan, onlySlotsOfTheLostNodeMove)
{
    const auto members = std::vector{member(1, 1), member(2, 1), member(3, 1), member(4, 1)};
    const auto before = firstTable(members);
    auto after = before;
    auto dead = members;
    dead[0].isAlive = false;
    const auto plan = planPlacement(before, dead, now, settings);
    apply(after, plan);
    for (std::size_t slot = 0; slot < before.slots.size(); ++slot) {
        const auto &was = before.slots[slot];
        const auto wasOnLostNode = was.primary.node == members[0].replica.node
                                   || was.witness.node == members[0].replica.node;
        cr_assert(wasOnLostNode || after.slots[slot] == was, "slot %zu moved", slot);
        cr_assert_neq(after.slots[slot].primary.node, members[0].replica.node);
        cr_assert_neq(after.slots[slot].witness.node, members[0].replica.node);
    }
    for (const auto &it : plan.changes) {
        cr_assert(it.proposed.source == it.proposer, "the survivor proposes");
        cr_assert_eq(it.proposed.lostAt, 0);
    }
    for (const auto &[node, n] : primaries(after))
        cr_assert(n <= 7, "%s is primary of %d", node.c_str(), n);
}

Test(PlacementPlan, restartedNodeIsNotAMemberOfItsFormerSlots)
{
    const auto table = firstTable({member(1, 1), member(2, 1)});
    const auto plan = planPlacement(table, {member(1, 1, 2), member(2, 1)}, now, settings);
    cr_assert_eq(plan.changes.size(), table.slots.size());
    for (const auto &it : plan.changes)
        cr_assert(it.proposer == member(2, 1).replica && it.proposed.source == it.proposer);
}

Test(PlacementPlan, slotsOfADrainingPrimaryMove)
{
    const auto members = std::vector{member(1, 1), member(2, 1), member(3, 1)};
    auto table = firstTable(members);
    auto leaving = members;
    leaving[0].isLeaving = true;
    const auto plan = planPlacement(table, leaving, now, settings);
    for (const auto &it : plan.changes) {
        const auto &was = table.slots[it.slot];
        cr_assert(it.proposer == was.primary, "slot %u: the primary proposes", it.slot);
        if (it.cause == PlacementCause::PrimaryLeaving)
            cr_assert(it.proposed.primary == was.witness, "the witness has the records");
    }
    apply(table, plan);
    for (const auto &it : table.slots)
        cr_assert(it.primary != leaving[0].replica && it.witness != leaving[0].replica);
}

Test(PlacementPlan, replacingBothMembersNeedsProofThatOneHasEnded)
{
    struct Case
    {
        const char *name;
        bool isFirstRestarted;
        bool isSecondConfirmed;
        bool shouldBeBlocked;
    };
    const Case cases[] = {
            {"both silent", false, false, true},
            {"one restarted", true, false, false},
            {"an operator confirmed that one has ended", false, true, false},
    };
    for (const auto &it : cases) {
        auto members = std::vector{member(1, 1), member(2, 1)};
        const auto table = firstTable(members);
        members[0].isAlive = it.isFirstRestarted;
        members[0].replica.session = it.isFirstRestarted ? 2 : 1;
        members[1].isAlive = false;
        members[1].isConfirmedGone = it.isSecondConfirmed;
        members.push_back(member(3, 1));
        members.push_back(member(4, 1));
        const auto plan = planPlacement(table, members, now, settings);
        cr_assert_eq(plan.blocked.empty(), !it.shouldBeBlocked, "%s", it.name);
        cr_assert_eq(plan.changes.empty(), it.shouldBeBlocked, "%s", it.name);
        for (const auto &change : plan.changes) {
            cr_assert(change.proposed.source.isNone() && change.proposed.lostAt == now);
            cr_assert(change.cause == PlacementCause::BothLost);
        }
    }
}

Test(PlacementPlan, newNodeGetsAShareOfTheSlots)
{
    auto table = firstTable({member(1, 1), member(2, 1)});
    const auto members = std::vector{member(1, 1), member(2, 1), member(3, 1)};
    const auto plan = planPlacement(table, members, now, settings);
    cr_assert(plan.changes.size() <= 3, "%zu moves", plan.changes.size());
    apply(table, plan);
    cr_assert(primaries(table)[member(3, 1).replica.node] >= 1);
    cr_assert(planPlacement(table, members, now, settings).changes.empty());
}
