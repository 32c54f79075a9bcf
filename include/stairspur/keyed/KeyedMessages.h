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

/// What entries, primaries and witnesses tell each other, over the peer links' topic `keyed`.
namespace stairspur::keyed {

/// Primary to witness: a record in its newest state.
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

/// Witness to primary: not recorded, since the epoch is over, sealed or unknown here.
struct RecordRefusal
{
    UpdateId update{};
    SlotPlacement placement; ///< The newest one known to the witness.
};

/// Tells a placement that has been written to the store.
struct PlacementNotice
{
    SlotPlacement placement;
};

/// The records of a slot, sent to those who shall hold it in `proposed.epoch`, before that epoch is written.
struct SnapshotOffer
{
    SlotPlacement proposed;
    /// Of two offers for one epoch from one source, the greater is newer.
    std::uint64_t sequence = 0;
    WallMilliseconds lowWater = 0;
    WallMilliseconds lostAt = 0;
    WallMilliseconds homesChangedAt = 0;
    std::vector<KeyRecord> records{};
};

/// The offer with this epoch and sequence is held whole.
struct SnapshotAccept
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// A former primary to the present one: how a call ended that it had dispatched in an earlier epoch; `not-run` when that
/// is proven, so that the key may be bound again.
struct LateOutcome
{
    std::string key{};
    UpdateId bind{};
    RecordedAnswer answer{};
};

struct LateAccept
{
    std::string key{};
    UpdateId bind{};
};

/// Entry to witness: what is recorded under the key? Changes nothing.
struct Lookup
{
    std::uint64_t waiter = 0;
    std::string key{};
    std::uint64_t fingerprint = 0;
};

/// Entry to primary: run the call under this key, at most once; or, with `isQuery`, promise that no earlier attempt
/// will run it, or tell what became of it.
struct Submit
{
    std::uint64_t waiter = 0; ///< The entry's own number of this attempt.
    std::string key{};
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0;
    std::uint64_t ticket = 0;
    bool isQuery = false;
    bool isHomeExplicit = false;
};

enum class ReplyKind {
    Settled,   ///< `answer` is what became of the key.
    Challenge, ///< A `not-run` was said of this key: repeat with `ticket` if the caller still waits.
    Moved,     ///< Not this node, or not this epoch; `placement` is the newest one known here.
};

/// To an entry.
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

/// Entry to any node of a service: which table do you know?
struct TableRequest
{};

/// The newest table that the sender knows.
struct TableNotice
{
    PlacementTable table;
};

using MessageBody = std::variant<RecordUpdate, RecordAck, RecordRefusal, PlacementNotice,
                                 SnapshotOffer, SnapshotAccept, LateOutcome, LateAccept, Lookup,
                                 Submit, Reply, TableRequest, TableNotice>;

/// A message and whom it concerns.
struct Message
{
    std::string service;
    std::string domain;
    std::uint32_t slot = 0;
    Replica from;
    Replica to; ///< A session of 0 means whichever session lives.
    MessageBody body;
};

/// Compact CBOR: an array of fields in their order.
auto encodeMessage(const Message &message) -> std::string;

/// Throws InputError when `bytes` is not a message.
auto decodeMessage(std::string_view bytes) -> Message;

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::ReplyKind> =
        std::array<std::string_view, 3>{"settled", "challenge", "moved"};
