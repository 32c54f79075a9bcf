#pragma once

#include <cstdint>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// The inputs of decideRetry() after an attempt that ended without a complete response.
struct EndedAttempt
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// The attempt may have reached a backend server, so another attempt counts as a retry.
    bool wasDispatched = false;
    bool isIdempotent = false;    ///< The call may run more than once.
    std::uint32_t budget = 0;     ///< Remaining extra attempts of the call.
    bool hasServiceToken = false; ///< The retry bucket of the service has a token.
    Duration remaining{0};        ///< Time until the deadline.
    Duration expectedLatency{0};  ///< Expected latency of another attempt.
    /// The backend server itself refused the attempt and counts the next attempt as another arrival.
    bool wasRefusedByBackend = false;
};

enum class RetryDecision {
    Elsewhere, ///< Send to another upstream. This costs nothing, since nothing was dispatched.
    Retry,     ///< Send again. This costs one extra attempt and one token.
    GiveUp,    ///< Answer the caller without another attempt.
};

/// Maximum number of further upstreams, after the first one, that one call is sent to while it is not dispatched. Each
/// such try adds one round trip to the latency of the call (about 2 ms between the failure domains of one region), and
/// its refusal reports the upstream's floor, which later calls use. Eight upstreams are half of a default subset.
inline constexpr std::uint32_t MaxElsewhereTries = 8;

/// Returns what to do after an attempt. A call that is not idempotent is sent again only after a proven `not-run`.
auto decideRetry(const EndedAttempt &attempt) -> RetryDecision;

} // namespace stairspur::retry

template <>
inline constexpr auto stairspur::enumNames<stairspur::retry::RetryDecision> =
        std::array<std::string_view, 3>{"elsewhere", "retry", "give-up"};
