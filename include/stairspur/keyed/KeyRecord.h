#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/keyed/Replica.h>

namespace stairspur::keyed {

/// The position of an update in the history of a slot. An update of a greater epoch, or of a greater sequence number in
/// the same epoch, is newer. Late and duplicate messages are recognised by it, as NFS version 4 does for locks with its
/// sequence numbers (paper section 9.4).
struct UpdateId
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const UpdateId &) const = default;
};

/// The recorded state of a key.
enum class KeyState {
    Bound,   ///< The call may be running or about to run.
    NotRun,  ///< No attempt so far has reached a backend server. The key may be bound again.
    Settled, ///< The call ran, and its answer is recorded.
    Unknown, ///< The call may have run, which can't be determined. It is never run again.
};

/// The recorded outcome of a dispatched call.
struct RecordedAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::uint32_t status = 0; ///< The backend server's HTTP status.
    std::string payload{};    ///< The encoded answer, used for replay.
    /// False if the answer exceeded RecordSettings::maxPayloadBytes; `payload` is then empty.
    bool isPayloadKept = true;

    auto operator==(const RecordedAnswer &) const -> bool = default;
};

/// The record of one key, which both the primary and the witness store.
struct KeyRecord
{
    std::string key;
    std::uint64_t fingerprint = 0; ///< Hash of the first request with this key.
    KeyState state = KeyState::Bound;
    UpdateId bind{};          ///< The binding under which the call may be running.
    UpdateId update{};        ///< The newest update that is included in this record.
    std::uint64_t ticket = 0; ///< Number of times that `not-run` was recorded for the key.
    WallMilliseconds recordedAt = 0;
    RecordedAnswer answer{};
};

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::KeyState> =
        std::array<std::string_view, 4>{"bound", "not-run", "settled", "unknown"};
