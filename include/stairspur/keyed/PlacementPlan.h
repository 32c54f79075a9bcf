#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/keyed/PlacementTable.h>

namespace stairspur::keyed {

/// The properties of a node that the plan depends on.
struct PlacementMember
{
    Replica replica;
    std::string rack; ///< Nodes of one rack are likely to fail together.
    /// Whether the node belongs to the service and may be a primary. A node of another service can be a witness when
    /// the service has too few nodes.
    bool isOfService = true;
    bool isAlive = true;    ///< Neither dead by membership nor unreachable.
    bool isLeaving = false; ///< Draining or left: its slots move to other nodes.
    bool isConfirmedGone =
            false; ///< An operator confirmed that the process has ended and won't return.
};

/// The reason for a change of a slot's placement.
enum class PlacementCause {
    FirstPlacement,
    PrimaryLost,
    WitnessLost,
    PrimaryLeaving,
    WitnessLeaving,
    BothLost,
    Balance,
    Renewal, ///< A member sealed the epoch for a change that was not written; the pair continues in a new epoch.
};

/// One change of the table, and the replica that carries it out.
struct PlacementChange
{
    std::uint32_t slot = 0;
    PlacementCause cause = PlacementCause::FirstPlacement;
    SlotPlacement proposed;
    Replica proposer;
};

/// The changes that the table needs, and the slots that can't be changed yet.
struct PlacementPlan
{
    std::vector<PlacementChange> changes;
    /// Slots whose members both don't respond, with no proof that either process has ended. Replacing both could run
    /// a key twice, so these slots wait until a member returns, restarted or not, or an operator confirms that one
    /// has ended.
    std::vector<std::uint32_t> blocked;
};

struct PlacementSettings
{
    std::uint32_t slotsPerNode = 4; ///< At the first write of the table.
    /// Maximum number of slots of a table.
    std::uint32_t maxSlots = 256;
    /// A slot moves when one node is the primary of at least this many slots more than another.
    std::uint32_t balanceThreshold = 3;
};

/// Returns the changes that `table` needs for the current `members`: as few moves as possible, an even load, and
/// witnesses outside their primary's rack where possible. Every node that calls this with the same arguments gets the
/// same plan. `now` is recorded as the time of a loss.
auto planPlacement(const PlacementTable &table, const std::vector<PlacementMember> &members,
                   WallMilliseconds now, const PlacementSettings &settings) -> PlacementPlan;

/// Returns the rack of an address of the form "192.0.2.7:7100": its first 24 bits.
auto rackOf(const NodeId &node) -> std::string;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::PlacementCause> =
        std::array<std::string_view, 8>{"first-placement", "primary-lost",    "witness-lost",
                                        "primary-leaving", "witness-leaving", "both-lost",
                                        "balance",         "renewal"};
