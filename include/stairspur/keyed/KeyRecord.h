#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/keyed/Replica.h>

namespace stairspur::keyed {

/// The place of an update in the history of a slot: updates of a greater epoch, or of a greater sequence number in the
/// same epoch, are newer. What arrives late or twice is told by it (the sequence numbers of NFS version 4, paper section
/// 9.4, do the same for locks).
struct UpdateId
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const UpdateId &) const = default;
};

/// What is known of a key.
enum class KeyState {
    Bound,   ///< It may be running, or about to.
    NotRun,  ///< No attempt so far has reached a backend server; it may be bound again.
    Settled, ///< It ran, and its answer is recorded.
    Unknown, ///< It may have run; nobody can say, and it never runs again.
};

/// How a dispatched call ended.
struct RecordedAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::uint32_t status = 0; ///< The backend server's HTTP status.
    std::string payload{};    ///< The encoded answer, for replay.
    /// False: it was larger than records may hold, and `payload` is empty.
    bool isPayloadKept = true;

    auto operator==(const RecordedAnswer &) const -> bool = default;
};

/// One key, as both members of a pair hold it.
struct KeyRecord
{
    std::string key;
    std::uint64_t fingerprint = 0; ///< Hash of the request that first came under the key.
    KeyState state = KeyState::Bound;
    UpdateId bind{};          ///< The binding under which it may be running.
    UpdateId update{};        ///< The newest update that this record holds.
    std::uint64_t ticket = 0; ///< Counts the `not-run` statements made of the key.
    WallMilliseconds recordedAt = 0;
    RecordedAnswer answer{};
};

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::KeyState> =
        std::array<std::string_view, 4>{"bound", "not-run", "settled", "unknown"};
