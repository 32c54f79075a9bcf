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

struct KeeperSettings
{
    SlotSettings slot;
    PlacementSettings placement;
    Duration batchWindow{
            300'000}; ///< Changes that fall into this time go into one write, if they can.
    Duration offerTimeout{500'000}; ///< For new members to take the records.
    Duration storeBackoff{
            1'000'000}; ///< After a store call that failed, doubled with each up to 16 times.
    Duration planInterval{200'000}; ///< Between two looks at the members while nothing is going on.
    Duration expiryInterval{10'000'000};
};

/// What a read of the store gave.
struct TableRead
{
    bool hasSucceeded = false;        ///< False: no answer.
    std::uint64_t revision = 0; ///< Of the store's key; 0: there is none yet.
    PlacementTable table;       ///< Empty when there is none.
};

enum class WriteResult {
    Written,
    Conflict, ///< Another revision is in force: certainly not written.
    Failed,   ///< No answer: written, or not, or later.
};

/// A compare-and-swap upon the revision that was read last.
struct TableWrite
{
    std::uint64_t revision = 0;
    PlacementTable table;
};

enum class DecisionStage {
    Proposed,
    Written,
    Conflict,
    Uncertain,
    Dropped, ///< The new members didn't take the records in time.
    Blocked, ///< Both members are silent and neither is proven to have ended.
};

/// For the log: one line for each placement decision.
struct PlacementDecision
{
    DecisionStage stage = DecisionStage::Proposed;
    PlacementChange change;
};

/// A dispatch order and the slot it comes from.
struct SlotDispatch
{
    std::uint32_t slot = 0;
    DispatchOrder order;
};

/// What a keeper wants done.
struct KeeperEffects
{
    std::vector<Message> messages;
    std::vector<SlotDispatch> dispatches;
    std::vector<Delivery> replies;
    bool shouldRead = false;         ///< Read the table from the store; report with didRead.
    std::optional<TableWrite> write; ///< Compare and swap; report with didWrite.
    std::vector<PlacementDecision> decisions;
};

/// Keeps one service's slots of one failure domain on one node: hands messages to the slots, and carries out the
/// changes of placement that this node has to propose. In order: read the table, seal the slots that will change, offer
/// the records to the new members, and only when they hold them, compare and swap.
template <typename Guards = StandardGuards>
class PlacementKeeper
{
public:
    PlacementKeeper(Replica own, std::string service, std::string domain, KeeperSettings settings,
                    std::uint64_t seed);

    /// To be called several times a second.
    auto tick(Instant now, const std::vector<PlacementMember> &members, KeeperEffects &effects)
            -> void;
    auto didRead(const TableRead &read, Instant now, const std::vector<PlacementMember> &members,
                 KeeperEffects &effects) -> void;
    /// `revision` counts when Written.
    auto didWrite(WriteResult result, std::uint64_t revision, Instant now, KeeperEffects &effects)
            -> void;
    /// A message whose `to` names this node. One for an earlier session is dropped.
    auto didReceive(const Message &message, Instant now, KeeperEffects &effects) -> void;

    auto submit(std::uint32_t slot, const Waiter &waiter, const Submit &submit, Instant now,
                KeeperEffects &effects) -> void;
    /// The key's home is elsewhere by the configuration in force here: whoever sent it has another one.
    auto replyMoved(const Waiter &waiter, KeeperEffects &effects) -> void;
    auto cancel(std::uint32_t slot, const Waiter &waiter) -> void;
    auto didEnd(std::uint32_t slot, const std::string &key, UpdateId bind, const DispatchEnd &end,
                Instant now, KeeperEffects &effects) -> void;

    /// The operators' configuration gives some keys another home than before.
    auto noteHomeChange(Instant now) -> void;

    /// The newest table known here; without slots until it has been read.
    [[nodiscard]] auto table() const -> const PlacementTable & { return m_table; }
    /// Whether some slot names this node, or still has work or reports to finish here.
    [[nodiscard]] auto isNeeded() const -> bool;
    [[nodiscard]] auto records() const -> std::size_t;
    [[nodiscard]] auto slot(std::uint32_t number) -> SlotReplica<Guards> &;

private:
    enum class Phase {
        Idle,
        Gathering, ///< Waits for the batch window to end.
        Reading,
        Offering,
        Writing,
    };

    struct Proposal
    {
        PlacementChange change;
        std::uint64_t offerSequence = 0;
        std::set<Replica> awaited; ///< New members that have not taken the records yet.
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
    auto noteSlot(std::uint32_t number) -> void;
    auto noticeMembers(const PlacementChange &change, const SlotPlacement &former,
                       KeeperEffects &effects) -> void;
    auto noticePeers(KeeperEffects &effects) -> void;
    auto send(std::uint32_t slot, const Replica &to, MessageBody body, KeeperEffects &effects)
            -> void;
    auto pass(std::uint32_t slot, Effects &&from, KeeperEffects &effects) -> void;

    Replica m_own;
    KeeperSettings m_settings;
    Random m_random;
    PlacementTable m_table;
    std::uint64_t m_revision = 0;
    std::map<std::uint32_t, std::unique_ptr<SlotReplica<Guards>>> m_slots;
    WallMilliseconds m_homesChangedAt = 0;
    /// The service's other nodes; entries ask any of them for the table.
    std::vector<Replica> m_peers;

    Phase m_phase = Phase::Idle;
    TimePoint m_nextStep;
    TimePoint m_nextOffer;
    TimePoint m_nextForget;
    std::uint32_t m_failures = 0;
    std::vector<Proposal> m_proposals;
    std::set<std::uint32_t> m_blocked;
    bool m_shouldRefresh = true; ///< The table may be behind.
};

extern template class PlacementKeeper<StandardGuards>;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::DecisionStage> =
        std::array<std::string_view, 6>{"proposed",  "written", "conflict",
                                        "uncertain", "dropped", "blocked"};
