#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/KeyRecord.h>
#include <stairspur/keyed/PlacementTable.h>

/// Messages between entries, primaries and witnesses, sent over the peer links with the topic `keyed`.
namespace stairspur::keyed {

/// Primary to witness: the current state of a record.
struct RecordUpdate
{
    std::uint64_t epoch = 0;
    KeyRecord record;
};

/// Witness to primary: the update is recorded.
struct RecordAck
{
    UpdateId update{};
    std::string key{};
};

/// Witness to primary: the update is not recorded, since the witness has left, sealed or not reached the epoch.
struct RecordRefusal
{
    UpdateId update{};
    SlotPlacement placement; ///< The newest placement that the witness has received.
};

/// Announces a placement that has been written to the store.
struct PlacementNotice
{
    SlotPlacement placement;
};

/// The records of a slot, sent to its members in `proposed.epoch` before that epoch is written.
struct SnapshotOffer
{
    SlotPlacement proposed;
    /// Orders the offers of one source for one epoch; the greater number is newer.
    std::uint64_t sequence = 0;
    WallMilliseconds lowWater = 0;
    WallMilliseconds lostAt = 0;
    WallMilliseconds homesChangedAt = 0;
    std::vector<KeyRecord> records{};
};

/// Acknowledges that the offer with this epoch and sequence number is stored completely.
struct SnapshotAccept
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Former primary to current primary: the outcome of a call that it dispatched in an earlier epoch. The outcome is
/// `not-run` if that is proven, so that the key may be bound again.
struct LateOutcome
{
    std::string key{};
    UpdateId bind{};
    RecordedAnswer answer{};
};

/// Current primary to former primary: the late outcome is received.
struct LateAccept
{
    std::string key{};
    UpdateId bind{};
};

/// Entry to witness: requests the record of the key without changing it.
struct Lookup
{
    std::uint64_t waiter = 0;
    std::string key{};
    std::uint64_t fingerprint = 0;
};

/// Entry to primary: requests that the call with this key is run at most once. With `isQuery` it requests the outcome
/// of the key, or a guarantee that no earlier attempt will run it.
struct Submit
{
    std::uint64_t waiter = 0; ///< Number that the entry gave this attempt.
    std::string key{};
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0;
    std::uint64_t ticket = 0;
    bool isQuery = false;
    bool isHomeExplicit = false;
};

enum class ReplyKind {
    Settled, ///< `answer` is the outcome of the key.
    Challenge, ///< `not-run` was reported for this key; repeat with `ticket` if the caller still waits.
    Moved,     ///< Wrong node or epoch; `placement` is the newest one that the sender has received.
};

/// Primary or witness to entry: the reply to a Submit or a Lookup.
struct Reply
{
    std::uint64_t waiter = 0;
    ReplyKind kind = ReplyKind::Settled;
    RecordedAnswer answer{};
    bool isReplay = false;
    std::uint64_t ticket = 0;
    Duration retryAfter{0};
    std::optional<SlotPlacement> placement{};
};

/// Entry to any node of a service: requests the newest placement table of that node.
struct TableRequest
{};

/// The newest placement table that the sender has received.
struct TableNotice
{
    PlacementTable table;
};

using MessageBody = std::variant<RecordUpdate, RecordAck, RecordRefusal, PlacementNotice,
                                 SnapshotOffer, SnapshotAccept, LateOutcome, LateAccept, Lookup,
                                 Submit, Reply, TableRequest, TableNotice>;

/// A message with its slot, sender and recipient.
struct Message
{
    std::string service;
    std::string domain;
    std::uint32_t slot = 0;
    Replica from;
    Replica to; ///< A session of 0 addresses the current process instance.
    MessageBody body;
};

/// Encodes a message as a CBOR array of its fields in their declared order.
auto encodeMessage(const Message &message) -> std::string;

/// Returns the message encoded in `bytes`. Throws InputError if `bytes` is not a message.
auto decodeMessage(std::string_view bytes) -> Message;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::ReplyKind> =
        std::array<std::string_view, 3>{"settled", "challenge", "moved"};
