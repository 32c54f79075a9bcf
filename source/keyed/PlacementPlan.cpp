#include <stairspur/keyed/PlacementPlan.h>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

#include <stairspur/core/Hash.h>

namespace stairspur::keyed {

static constexpr auto PrimaryLoad = std::uint32_t{2};
static constexpr auto WitnessLoad = std::uint32_t{1};

/// What has become of a replica that a table names.
enum class Fate {
    Usable,
    Leaving, ///< Still there, but to be relieved.
    Silent,  ///< Taken for dead, without a proof.
    Ended, ///< Its process is proven to have ended: the node has a new session, or an operator vouches for it.
};

static auto fateOf(const Replica &replica, const std::vector<PlacementMember> &members) -> Fate
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.replica.node == replica.node;
    });
    if (it == members.end())
        return Fate::Silent;
    if (it->isConfirmedGone || it->replica.session > replica.session)
        return Fate::Ended;
    if (!it->isAlive)
        return Fate::Silent;
    return it->isLeaving ? Fate::Leaving : Fate::Usable;
}

namespace {

/// Builds one plan: keeps count of the load as it hands out slots.
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

    auto placeFirst() -> void;
    auto repair(std::uint32_t slot) -> void;
    auto repairFromSurvivor(std::uint32_t slot, const Replica &survivor, bool isSurvivorLeaving,
                            PlacementCause cause) -> void;
    auto replaceBoth(std::uint32_t slot) -> void;
    auto balance() -> void;
    auto moveOnePrimary() -> bool;
    auto bringWitnessesHome() -> void;
    auto propose(std::uint32_t slot, PlacementCause cause, const Replica &primary,
                 const Replica &witness, const Replica &source, const Replica &proposer) -> void;

    [[nodiscard]] auto memberOf(const Replica &replica) const -> const PlacementMember *;
    [[nodiscard]] auto lowestRanked() const -> const PlacementMember *;
    [[nodiscard]] auto pickPrimary(std::uint32_t slot, const Replica &except) const
            -> const PlacementMember *;
    [[nodiscard]] auto pickWitness(std::uint32_t slot, const Replica &primary) const
            -> const PlacementMember *;
    [[nodiscard]] auto loadOf(const Replica &replica) const -> Load;
    auto countPair(const SlotPlacement &placement) -> void;
    auto discountPair(const SlotPlacement &placement) -> void;

    const std::vector<PlacementMember> &m_members;
    WallMilliseconds m_now;
    const PlacementSettings &m_settings;
    std::vector<const PlacementMember *> m_usable; ///< In the order of their ids.
    std::vector<SlotPlacement> m_slots;            ///< As they will be.
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
        countPair(it);
}

auto Planner::run() -> PlacementPlan
{
    if (m_slots.empty()) {
        placeFirst();
        return std::move(m_plan);
    }
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot)
        repair(slot);
    balance();
    return std::move(m_plan);
}

auto Planner::placeFirst() -> void
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
                lowestRanked()->replica);
    }
}

auto Planner::repair(std::uint32_t slot) -> void
{
    const auto placement = m_slots[slot];
    const auto primary = fateOf(placement.primary, m_members);
    const auto witness = fateOf(placement.witness, m_members);
    const auto isHere = [](Fate it) { return it == Fate::Usable || it == Fate::Leaving; };

    if (primary == Fate::Usable && witness == Fate::Usable)
        return;
    if (isHere(primary)) {
        const auto cause = primary == Fate::Leaving   ? PlacementCause::PrimaryLeaving
                           : witness == Fate::Leaving ? PlacementCause::WitnessLeaving
                                                      : PlacementCause::WitnessLost;
        const auto isOnlyPrimaryLeaving = primary == Fate::Leaving && witness == Fate::Usable;
        if (!isOnlyPrimaryLeaving)
            return repairFromSurvivor(slot, placement.primary, primary == Fate::Leaving, cause);
        // The witness has the records: it becomes the primary, with a witness of its own.
        discountPair(placement);
        const auto *heir = memberOf(placement.witness);
        const auto *other = heir->isOfService ? pickWitness(slot, placement.witness)
                                              : pickPrimary(slot, placement.witness);
        if (!other)
            return countPair(placement);
        const auto &newPrimary = heir->isOfService ? placement.witness : other->replica;
        const auto &newWitness = heir->isOfService ? other->replica : placement.witness;
        return propose(slot, cause, newPrimary, newWitness, placement.primary, placement.primary);
    }
    if (isHere(witness))
        return repairFromSurvivor(slot, placement.witness, witness == Fate::Leaving,
                                  PlacementCause::PrimaryLost);
    if (primary == Fate::Ended || witness == Fate::Ended)
        return replaceBoth(slot);
    m_plan.blocked.push_back(slot);
}

auto Planner::repairFromSurvivor(std::uint32_t slot, const Replica &survivor,
                                 bool isSurvivorLeaving, PlacementCause cause) -> void
{
    const auto placement = m_slots[slot];
    discountPair(placement);
    const auto *member = memberOf(survivor);
    const auto staysPrimary = !isSurvivorLeaving && member && member->isOfService;
    if (!staysPrimary) {
        const auto *primary = pickPrimary(slot, survivor);
        const auto *witness = !primary            ? nullptr
                              : isSurvivorLeaving ? pickWitness(slot, primary->replica)
                                                  : member;
        if (!witness)
            return countPair(placement);
        return propose(slot, cause, primary->replica, witness->replica, survivor, survivor);
    }
    const auto *other = pickWitness(slot, survivor);
    if (!other)
        return countPair(placement);
    // Both get the records, so the one that is primary of fewer slots may be it.
    const auto isOtherLighter =
            other->isOfService && loadOf(other->replica).primaries < loadOf(survivor).primaries;
    const auto &primary = isOtherLighter ? other->replica : survivor;
    const auto &witness = isOtherLighter ? survivor : other->replica;
    propose(slot, cause, primary, witness, survivor, survivor);
}

auto Planner::replaceBoth(std::uint32_t slot) -> void
{
    const auto placement = m_slots[slot];
    discountPair(placement);
    const auto *proposer = lowestRanked();
    const auto *primary = pickPrimary(slot, {});
    const auto *witness = primary ? pickWitness(slot, primary->replica) : nullptr;
    if (!proposer || !witness)
        return countPair(placement);
    propose(slot, PlacementCause::BothLost, primary->replica, witness->replica, {},
            proposer->replica);
}

auto Planner::balance() -> void
{
    for (std::size_t moves = 0; moves < m_slots.size(); ++moves) {
        if (!moveOnePrimary())
            break;
    }
    bringWitnessesHome();
}

auto Planner::moveOnePrimary() -> bool
{
    const PlacementMember *lightest = nullptr;
    const PlacementMember *heaviest = nullptr;
    for (const auto *it : m_usable) {
        if (!it->isOfService)
            continue;
        const auto n = loadOf(it->replica).primaries;
        if (!lightest || n < loadOf(lightest->replica).primaries)
            lightest = it;
        if (!heaviest || n > loadOf(heaviest->replica).primaries)
            heaviest = it;
    }
    if (!lightest
        || loadOf(heaviest->replica).primaries
                   < loadOf(lightest->replica).primaries + m_settings.balanceThreshold)
        return false;
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        const auto placement = m_slots[slot];
        const auto isMovable = !m_isChanged[slot] && placement.primary == heaviest->replica
                               && fateOf(placement.witness, m_members) == Fate::Usable;
        if (!isMovable)
            continue;
        discountPair(placement);
        propose(slot, PlacementCause::Balance, lightest->replica, placement.primary,
                placement.primary, placement.primary);
        return true;
    }
    return false;
}

auto Planner::bringWitnessesHome() -> void
{
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        const auto placement = m_slots[slot];
        const auto *witness = memberOf(placement.witness);
        const auto isCandidate = !m_isChanged[slot] && witness && !witness->isOfService
                                 && fateOf(placement.primary, m_members) == Fate::Usable;
        if (!isCandidate)
            continue;
        discountPair(placement);
        const auto *better = pickWitness(slot, placement.primary);
        if (!better || !better->isOfService) {
            countPair(placement);
            continue;
        }
        propose(slot, PlacementCause::Balance, placement.primary, better->replica,
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
    countPair(proposed);
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

auto Planner::lowestRanked() const -> const PlacementMember *
{
    const auto it = std::find_if(m_usable.begin(), m_usable.end(),
                                 [](const auto *member) { return member->isOfService; });
    return it == m_usable.end() ? nullptr : *it;
}

static auto rankHash(std::uint32_t slot, const Replica &replica) -> std::uint64_t
{
    return hash64(replica.node, slot);
}

auto Planner::pickPrimary(std::uint32_t slot, const Replica &except) const
        -> const PlacementMember *
{
    const PlacementMember *best = nullptr;
    const auto cost = [&](const PlacementMember &it) {
        const auto load = loadOf(it.replica);
        return std::tuple(load.primaries, load.total(), rankHash(slot, it.replica));
    };
    for (const auto *it : m_usable) {
        if (!it->isOfService || it->replica == except)
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

auto Planner::countPair(const SlotPlacement &placement) -> void
{
    ++m_load[placement.primary].primaries;
    ++m_load[placement.witness].witnesses;
}

auto Planner::discountPair(const SlotPlacement &placement) -> void
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
