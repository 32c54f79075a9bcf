#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/keyed/PlacementPlan.h>
#include <stairspur/keyed/SlotReplica.h>

namespace stairspur::keyed {

/// Settings of a PlacementKeeper.
struct KeeperSettings
{
    SlotSettings slot;
    PlacementSettings placement;
    Duration batchWindow{
            300'000}; ///< Maximum delay of a change, so that one write can include several changes.
    Duration offerTimeout{500'000}; ///< Time in which new members have to accept the records.
    /// Maximum delay after one failed store call. Each further one doubles it, up to 16 times this value.
    Duration storeBackoff{1'000'000};
    Duration planInterval{
            200'000}; ///< Between two checks of the members while no change is in progress.
    Duration expiryInterval{10'000'000}; ///< Between two removals of expired records.
};

/// The result of a read of the store.
struct TableRead
{
    bool hasSucceeded = false;  ///< False when there was no answer or the value is damaged.
    std::uint64_t revision = 0; ///< Of the store's key; 0 when the key doesn't exist.
    PlacementTable table;       ///< Empty when the key doesn't exist.
};

/// The result of a compare-and-swap of the table.
enum class WriteResult {
    Written,
    Conflict, ///< The store has another revision; the table was not written.
    Failed,   ///< No answer; the table may have been written, or may still be.
};

/// A compare-and-swap against the revision that was read last.
struct TableWrite
{
    std::uint64_t revision = 0;
    PlacementTable table;
};

/// How far a placement decision got.
enum class DecisionStage {
    Proposed,
    Written,
    Conflict,
    Uncertain,
    Dropped, ///< The new members did not accept the records in time.
    Blocked, ///< Neither member responds, and neither is proven to have ended.
};

/// A placement decision for the log, which has one line for each.
struct PlacementDecision
{
    DecisionStage stage = DecisionStage::Proposed;
    PlacementChange change;
};

/// A dispatch order and the slot that issued it.
struct SlotDispatch
{
    std::uint32_t slot = 0;
    DispatchOrder order;
};

/// The actions that a keeper requests of its caller.
struct KeeperEffects
{
    std::vector<Message> messages;
    std::vector<SlotDispatch> dispatches;
    std::vector<Delivery> replies;
    bool shouldRead =
            false; ///< The table has to be read from the store; didRead reports the result.
    std::optional<TableWrite> write; ///< A write to the store; didWrite reports the result.
    std::vector<PlacementDecision> decisions;
};

/// Manages the slots of one service in one failure domain on one node: dispatches messages to the slots, and carries
/// out the changes of placement that this node has to propose. It reads the table, seals the slots that will change,
/// offers the records to the new members, and writes the table by compare-and-swap only after they have accepted the
/// records.
template <typename Guards = StandardGuards>
class PlacementKeeper
{
public:
    PlacementKeeper(Replica own, std::string service, std::string domain, KeeperSettings settings,
                    std::uint64_t seed);

    /// Advances timeouts and plans changes. Has to be called several times a second.
    auto tick(Instant now, const std::vector<PlacementMember> &members, KeeperEffects &effects)
            -> void;
    /// Reports the result of a read that KeeperEffects::shouldRead requested.
    auto didRead(const TableRead &read, Instant now, const std::vector<PlacementMember> &members,
                 KeeperEffects &effects) -> void;
    /// Reports the result of a write that KeeperEffects::write requested. `revision` is used only when Written.
    auto didWrite(WriteResult result, std::uint64_t revision, Instant now, KeeperEffects &effects)
            -> void;
    /// Handles a message whose `to` names this node. Drops a message for an earlier session.
    auto didReceive(const Message &message, Instant now, KeeperEffects &effects) -> void;

    /// Passes a call or query of an entry to the primary part of `slot`.
    auto submit(std::uint32_t slot, const Waiter &waiter, const Submit &submit, Instant now,
                KeeperEffects &effects) -> void;
    /// Replies that the key's home is in another failure domain by the configuration in force on this node. The
    /// sender of the call has another configuration.
    auto replyMoved(const Waiter &waiter, KeeperEffects &effects) -> void;
    /// Records that `waiter` no longer waits. A binding for it that has not been dispatched is dropped.
    auto cancel(std::uint32_t slot, const Waiter &waiter) -> void;
    /// Reports the result of the dispatch of `key` that the update `bind` recorded.
    auto didEnd(std::uint32_t slot, const std::string &key, UpdateId bind,
                const DispatchResult &end, Instant now, KeeperEffects &effects) -> void;

    /// Records that a new configuration gives some keys another home.
    auto recordHomeChange(Instant now) -> void;

    /// Returns the current table; it has no slots until it has been read.
    [[nodiscard]] auto table() const -> const PlacementTable & { return m_table; }
    /// Returns whether a slot names this node, or has running calls or unaccepted late outcomes here.
    [[nodiscard]] auto isNeeded() const -> bool;
    /// Returns the number of records in all slots.
    [[nodiscard]] auto records() const -> std::size_t;
    /// Returns slot `number`, which is created if this node doesn't have it.
    [[nodiscard]] auto slot(std::uint32_t number) -> SlotReplica<Guards> &;

private:
    enum class Phase {
        Idle,
        Batching, ///< Waits for the batch window to end.
        Reading,
        Offering,
        Writing,
    };

    struct Proposal
    {
        PlacementChange change;
        std::uint64_t offerSequence = 0;
        std::set<Replica> awaited; ///< New members that have not accepted the records yet.
    };

    auto plan(Instant now, const std::vector<PlacementMember> &members, KeeperEffects &effects)
            -> std::vector<PlacementChange>;
    auto addRenewals(std::vector<PlacementChange> &changes) const -> void;
    auto startProposal(const PlacementChange &change, KeeperEffects &effects) -> void;
    auto startWriting(KeeperEffects &effects) -> void;
    auto finish(Instant now, Duration pause) -> void;
    auto backOff(Instant now) -> void;
    auto resendOffers(Instant now, KeeperEffects &effects) -> void;
    auto offerTo(Proposal &proposal, KeeperEffects &effects) -> void;
    auto didReceiveAccept(const Message &message, KeeperEffects &effects) -> void;
    auto adoptTable(const PlacementTable &table, Instant now, KeeperEffects &effects) -> void;
    auto adoptSlot(std::uint32_t number, const SlotPlacement &placement, Instant now,
                   KeeperEffects &effects) -> void;
    auto recordSlotPlacement(std::uint32_t number) -> void;
    auto notifyMembers(const PlacementChange &change, const SlotPlacement &former,
                       KeeperEffects &effects) -> void;
    auto notifyPeers(KeeperEffects &effects) -> void;
    auto send(std::uint32_t slot, const Replica &to, MessageBody body, KeeperEffects &effects)
            -> void;
    auto mergeEffects(std::uint32_t slot, Effects &&from, KeeperEffects &effects) -> void;

    Replica m_own;
    KeeperSettings m_settings;
    Random m_random;
    PlacementTable m_table;
    std::uint64_t m_revision = 0;
    std::map<std::uint32_t, std::unique_ptr<SlotReplica<Guards>>> m_slots;
    WallMilliseconds m_homesChangedAt = 0;
    /// The service's other alive nodes, which get each new table because entries request it from any of them.
    std::vector<Replica> m_peers;

    Phase m_phase = Phase::Idle;
    TimePoint m_nextStep;
    TimePoint m_nextOffer;
    TimePoint m_nextExpiry;
    std::uint32_t m_failures = 0;
    std::vector<Proposal> m_proposals;
    std::set<std::uint32_t> m_blocked;
    bool m_shouldRefresh = true; ///< The table may be outdated.
};

extern template class PlacementKeeper<StandardGuards>;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::DecisionStage> =
        std::array<std::string_view, 6>{"proposed",  "written", "conflict",
                                        "uncertain", "dropped", "blocked"};
