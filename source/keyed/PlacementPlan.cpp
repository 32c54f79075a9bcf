#include <stairspur/keyed/PlacementPlan.h>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

#include <stairspur/core/Hash.h>

namespace stairspur::keyed {

static constexpr auto PrimaryLoad = std::uint32_t{2};
static constexpr auto WitnessLoad = std::uint32_t{1};

/// The status of a replica that a table names.
enum class ReplicaStatus {
    Usable,
    Leaving,      ///< Running, but its slots have to move to other nodes.
    Unresponsive, ///< Dead, unreachable or not a member, without proof that its process has ended.
    Ended, ///< Its process is proven to have ended: the node has a new session, or an operator confirmed it.
};

static auto statusOf(const Replica &replica, const std::vector<PlacementMember> &members)
        -> ReplicaStatus
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.replica.node == replica.node;
    });
    if (it == members.end())
        return ReplicaStatus::Unresponsive;
    if (it->isConfirmedGone || it->replica.session > replica.session)
        return ReplicaStatus::Ended;
    if (!it->isAlive)
        return ReplicaStatus::Unresponsive;
    return it->isLeaving ? ReplicaStatus::Leaving : ReplicaStatus::Usable;
}

namespace {

/// Builds one plan and tracks the load of each node while it assigns slots.
class Planner
{
public:
    Planner(const PlacementTable &table, const std::vector<PlacementMember> &members,
            WallMilliseconds now, const PlacementSettings &settings);

    auto run() -> PlacementPlan;

private:
    struct Load
    {
        std::uint32_t primaries = 0;
        std::uint32_t witnesses = 0;
        [[nodiscard]] auto total() const -> std::uint32_t
        {
            return PrimaryLoad * primaries + WitnessLoad * witnesses;
        }
    };

    auto placeInitially() -> void;
    auto repair(std::uint32_t slot) -> void;
    auto repairFromSurvivor(std::uint32_t slot, const Replica &survivor, bool isSurvivorLeaving,
                            PlacementCause cause) -> void;
    auto replaceBoth(std::uint32_t slot) -> void;
    auto balance() -> void;
    auto moveOnePrimary() -> bool;
    /// Replaces witnesses of other services by nodes of this service where possible.
    auto moveWitnessesToOwnService() -> void;
    auto propose(std::uint32_t slot, PlacementCause cause, const Replica &primary,
                 const Replica &witness, const Replica &source, const Replica &proposer) -> void;

    [[nodiscard]] auto memberOf(const Replica &replica) const -> const PlacementMember *;
    /// Returns the usable node of the service with the lowest id; nullptr when there is none.
    [[nodiscard]] auto pickProposer() const -> const PlacementMember *;
    [[nodiscard]] auto pickPrimary(std::uint32_t slot, const Replica &excluded) const
            -> const PlacementMember *;
    [[nodiscard]] auto pickWitness(std::uint32_t slot, const Replica &primary) const
            -> const PlacementMember *;
    [[nodiscard]] auto loadOf(const Replica &replica) const -> Load;
    auto addLoad(const SlotPlacement &placement) -> void;
    auto removeLoad(const SlotPlacement &placement) -> void;

    const std::vector<PlacementMember> &m_members;
    WallMilliseconds m_now;
    const PlacementSettings &m_settings;
    std::vector<const PlacementMember *> m_usable; ///< Sorted by id.
    std::vector<SlotPlacement> m_slots;            ///< With the planned changes applied.
    std::vector<bool> m_isChanged;
    std::map<Replica, Load> m_load;
    PlacementPlan m_plan;
};

} // namespace

Planner::Planner(const PlacementTable &table, const std::vector<PlacementMember> &members,
                 WallMilliseconds now, const PlacementSettings &settings)
    : m_members(members)
    , m_now(now)
    , m_settings(settings)
    , m_slots(table.slots)
    , m_isChanged(table.slots.size(), false)
{
    for (const auto &it : members) {
        if (it.isAlive && !it.isLeaving && !it.isConfirmedGone)
            m_usable.push_back(&it);
    }
    std::sort(m_usable.begin(), m_usable.end(),
              [](const auto *a, const auto *b) { return a->replica < b->replica; });
    for (const auto &it : m_slots)
        addLoad(it);
}

auto Planner::run() -> PlacementPlan
{
    if (m_slots.empty()) {
        placeInitially();
        return std::move(m_plan);
    }
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot)
        repair(slot);
    balance();
    return std::move(m_plan);
}

auto Planner::placeInitially() -> void
{
    const auto nodes = static_cast<std::uint32_t>(std::count_if(
            m_usable.begin(), m_usable.end(), [](const auto *it) { return it->isOfService; }));
    if (nodes == 0 || m_usable.size() < 2)
        return;
    const auto n = std::min(nodes * m_settings.slotsPerNode, m_settings.maxSlots);
    m_slots.resize(n);
    m_isChanged.resize(n, false);
    for (std::uint32_t slot = 0; slot < n; ++slot) {
        const auto *primary = pickPrimary(slot, {});
        const auto *witness = pickWitness(slot, primary->replica);
        propose(slot, PlacementCause::FirstPlacement, primary->replica, witness->replica, {},
                pickProposer()->replica);
    }
}

auto Planner::repair(std::uint32_t slot) -> void
{
    const auto placement = m_slots[slot];
    const auto primary = statusOf(placement.primary, m_members);
    const auto witness = statusOf(placement.witness, m_members);
    const auto isRunning = [](ReplicaStatus it) {
        return it == ReplicaStatus::Usable || it == ReplicaStatus::Leaving;
    };

    if (primary == ReplicaStatus::Usable && witness == ReplicaStatus::Usable)
        return;
    if (isRunning(primary)) {
        const auto cause = primary == ReplicaStatus::Leaving   ? PlacementCause::PrimaryLeaving
                           : witness == ReplicaStatus::Leaving ? PlacementCause::WitnessLeaving
                                                               : PlacementCause::WitnessLost;
        const auto isOnlyPrimaryLeaving =
                primary == ReplicaStatus::Leaving && witness == ReplicaStatus::Usable;
        if (!isOnlyPrimaryLeaving)
            return repairFromSurvivor(slot, placement.primary, primary == ReplicaStatus::Leaving,
                                      cause);
        // The witness has the records, so it becomes the primary and gets a new witness.
        removeLoad(placement);
        const auto *successor = memberOf(placement.witness);
        const auto *other = successor->isOfService ? pickWitness(slot, placement.witness)
                                                   : pickPrimary(slot, placement.witness);
        if (!other)
            return addLoad(placement);
        const auto &newPrimary = successor->isOfService ? placement.witness : other->replica;
        const auto &newWitness = successor->isOfService ? other->replica : placement.witness;
        return propose(slot, cause, newPrimary, newWitness, placement.primary, placement.primary);
    }
    if (isRunning(witness))
        return repairFromSurvivor(slot, placement.witness, witness == ReplicaStatus::Leaving,
                                  PlacementCause::PrimaryLost);
    if (primary == ReplicaStatus::Ended || witness == ReplicaStatus::Ended)
        return replaceBoth(slot);
    m_plan.blocked.push_back(slot);
}

auto Planner::repairFromSurvivor(std::uint32_t slot, const Replica &survivor,
                                 bool isSurvivorLeaving, PlacementCause cause) -> void
{
    const auto placement = m_slots[slot];
    removeLoad(placement);
    const auto *member = memberOf(survivor);
    const auto canStayPrimary = !isSurvivorLeaving && member && member->isOfService;
    if (!canStayPrimary) {
        const auto *primary = pickPrimary(slot, survivor);
        const auto *witness = !primary            ? nullptr
                              : isSurvivorLeaving ? pickWitness(slot, primary->replica)
                                                  : member;
        if (!witness)
            return addLoad(placement);
        return propose(slot, cause, primary->replica, witness->replica, survivor, survivor);
    }
    const auto *other = pickWitness(slot, survivor);
    if (!other)
        return addLoad(placement);
    // Both get the records, so the one that is the primary of fewer slots can be the primary.
    const auto hasOtherLessLoad =
            other->isOfService && loadOf(other->replica).primaries < loadOf(survivor).primaries;
    const auto &primary = hasOtherLessLoad ? other->replica : survivor;
    const auto &witness = hasOtherLessLoad ? survivor : other->replica;
    propose(slot, cause, primary, witness, survivor, survivor);
}

auto Planner::replaceBoth(std::uint32_t slot) -> void
{
    const auto placement = m_slots[slot];
    removeLoad(placement);
    const auto *proposer = pickProposer();
    const auto *primary = pickPrimary(slot, {});
    const auto *witness = primary ? pickWitness(slot, primary->replica) : nullptr;
    if (!proposer || !witness)
        return addLoad(placement);
    propose(slot, PlacementCause::BothLost, primary->replica, witness->replica, {},
            proposer->replica);
}

auto Planner::balance() -> void
{
    for (std::size_t moves = 0; moves < m_slots.size(); ++moves) {
        if (!moveOnePrimary())
            break;
    }
    moveWitnessesToOwnService();
}

auto Planner::moveOnePrimary() -> bool
{
    const PlacementMember *leastLoaded = nullptr;
    const PlacementMember *mostLoaded = nullptr;
    for (const auto *it : m_usable) {
        if (!it->isOfService)
            continue;
        const auto n = loadOf(it->replica).primaries;
        if (!leastLoaded || n < loadOf(leastLoaded->replica).primaries)
            leastLoaded = it;
        if (!mostLoaded || n > loadOf(mostLoaded->replica).primaries)
            mostLoaded = it;
    }
    if (!leastLoaded
        || loadOf(mostLoaded->replica).primaries
                   < loadOf(leastLoaded->replica).primaries + m_settings.balanceThreshold)
        return false;
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        const auto placement = m_slots[slot];
        const auto isMovable = !m_isChanged[slot] && placement.primary == mostLoaded->replica
                               && statusOf(placement.witness, m_members) == ReplicaStatus::Usable;
        if (!isMovable)
            continue;
        removeLoad(placement);
        propose(slot, PlacementCause::Balance, leastLoaded->replica, placement.primary,
                placement.primary, placement.primary);
        return true;
    }
    return false;
}

auto Planner::moveWitnessesToOwnService() -> void
{
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        const auto placement = m_slots[slot];
        const auto *witness = memberOf(placement.witness);
        const auto isCandidate = !m_isChanged[slot] && witness && !witness->isOfService
                                 && statusOf(placement.primary, m_members) == ReplicaStatus::Usable;
        if (!isCandidate)
            continue;
        removeLoad(placement);
        const auto *candidate = pickWitness(slot, placement.primary);
        if (!candidate || !candidate->isOfService) {
            addLoad(placement);
            continue;
        }
        propose(slot, PlacementCause::Balance, placement.primary, candidate->replica,
                placement.primary, placement.primary);
    }
}

auto Planner::propose(std::uint32_t slot, PlacementCause cause, const Replica &primary,
                      const Replica &witness, const Replica &source, const Replica &proposer)
        -> void
{
    auto proposed = m_slots[slot];
    ++proposed.epoch;
    proposed.primary = primary;
    proposed.witness = witness;
    proposed.source = source;
    if (cause == PlacementCause::BothLost)
        proposed.lostAt = m_now;
    addLoad(proposed);
    m_slots[slot] = proposed;
    m_isChanged[slot] = true;
    m_plan.changes.push_back({slot, cause, std::move(proposed), proposer});
}

auto Planner::memberOf(const Replica &replica) const -> const PlacementMember *
{
    const auto it = std::find_if(m_usable.begin(), m_usable.end(),
                                 [&](const auto *member) { return member->replica == replica; });
    return it == m_usable.end() ? nullptr : *it;
}

auto Planner::pickProposer() const -> const PlacementMember *
{
    const auto it = std::find_if(m_usable.begin(), m_usable.end(),
                                 [](const auto *member) { return member->isOfService; });
    return it == m_usable.end() ? nullptr : *it;
}

static auto rankHash(std::uint32_t slot, const Replica &replica) -> std::uint64_t
{
    return hash64(replica.node, slot);
}

auto Planner::pickPrimary(std::uint32_t slot, const Replica &excluded) const
        -> const PlacementMember *
{
    const PlacementMember *best = nullptr;
    const auto cost = [&](const PlacementMember &it) {
        const auto load = loadOf(it.replica);
        return std::tuple(load.primaries, load.total(), rankHash(slot, it.replica));
    };
    for (const auto *it : m_usable) {
        if (!it->isOfService || it->replica == excluded)
            continue;
        if (!best || cost(*it) < cost(*best))
            best = it;
    }
    return best;
}

auto Planner::pickWitness(std::uint32_t slot, const Replica &primary) const
        -> const PlacementMember *
{
    const auto *primaryMember = memberOf(primary);
    const auto rack = primaryMember ? primaryMember->rack : rackOf(primary.node);
    const PlacementMember *best = nullptr;
    const auto cost = [&](const PlacementMember &it) {
        return std::tuple(it.rack == rack, !it.isOfService, loadOf(it.replica).total(),
                          rankHash(slot, it.replica));
    };
    for (const auto *it : m_usable) {
        if (it->replica == primary)
            continue;
        if (!best || cost(*it) < cost(*best))
            best = it;
    }
    return best;
}

auto Planner::loadOf(const Replica &replica) const -> Load
{
    const auto it = m_load.find(replica);
    return it == m_load.end() ? Load() : it->second;
}

auto Planner::addLoad(const SlotPlacement &placement) -> void
{
    ++m_load[placement.primary].primaries;
    ++m_load[placement.witness].witnesses;
}

auto Planner::removeLoad(const SlotPlacement &placement) -> void
{
    --m_load[placement.primary].primaries;
    --m_load[placement.witness].witnesses;
}

auto planPlacement(const PlacementTable &table, const std::vector<PlacementMember> &members,
                   WallMilliseconds now, const PlacementSettings &settings) -> PlacementPlan
{
    return Planner(table, members, now, settings).run();
}

auto rackOf(const NodeId &node) -> std::string
{
    return node.substr(0, node.rfind('.'));
}

} // namespace stairspur::keyed
