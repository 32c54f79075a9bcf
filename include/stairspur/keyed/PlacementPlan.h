#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/keyed/PlacementTable.h>

namespace stairspur::keyed {

/// A node as the planner sees it.
struct PlacementMember
{
    Replica replica;
    std::string rack; ///< Nodes of one rack are likely to fail together.
    /// May be a primary. Others serve as witnesses where the service has too few nodes.
    bool isOfService = true;
    bool isAlive = true;          ///< Not taken for dead.
    bool isLeaving = false;       ///< Draining or left: gets no slots and gives up those it has.
    bool isConfirmedGone = false; ///< An operator vouches that the process is gone for good.
};

/// Why a slot's placement is to change.
enum class PlacementCause {
    FirstPlacement,
    PrimaryLost,
    WitnessLost,
    PrimaryLeaving,
    WitnessLeaving,
    BothLost,
    Balance,
    Renewal, ///< A member sealed the epoch for a change that was not written; the pair goes on in a new one.
};

/// One change of the table, and who has to carry it out.
struct PlacementChange
{
    std::uint32_t slot = 0;
    PlacementCause cause = PlacementCause::FirstPlacement;
    SlotPlacement proposed;
    Replica proposer;
};

struct PlacementPlan
{
    std::vector<PlacementChange> changes;
    /// Slots whose members are both silent, with no proof that either process has ended: placing them anew could run a
    /// key twice, so they wait for one of the two to come back, restarted or not, or for an operator's word.
    std::vector<std::uint32_t> blocked;
};

struct PlacementSettings
{
    std::uint32_t slotsPerNode = 4; ///< When the table is first written.
    std::uint32_t maxSlots = 256;
    /// A slot is moved when one node is primary of this many slots more than another.
    std::uint32_t balanceThreshold = 3;
};

/// What has to change in `table` now that `members` are what they are: as few moves as possible, the load spread evenly,
/// witnesses outside their primary's rack where that can be had. Every node that calls this with the same arguments gets
/// the same plan. `now` becomes the time of a loss.
auto planPlacement(const PlacementTable &table, const std::vector<PlacementMember> &members,
                   WallMilliseconds now, const PlacementSettings &settings) -> PlacementPlan;

/// The rack of an address of the form "192.0.2.7:7100": its first 24 bits.
auto rackOf(const NodeId &node) -> std::string;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::PlacementCause> =
        std::array<std::string_view, 8>{"first-placement", "primary-lost",    "witness-lost",
                                        "primary-leaving", "witness-leaving", "both-lost",
                                        "balance",         "renewal"};
