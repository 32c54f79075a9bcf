#pragma once

#include <cstdint>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// What is known when an attempt ended without a whole answer.
struct AttemptEnd
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// It may have reached a backend server, so another one counts as a retry.
    bool wasDispatched = false;
    bool isIdempotent = false;    ///< The call may run more than once.
    std::uint32_t budget = 0;     ///< Extra attempts left for this call.
    bool hasServiceToken = false; ///< The service's bucket has a token.
    Duration remaining{0};        ///< Until the deadline.
    Duration expectedLatency{0};  ///< Of another attempt.
    /// The backend server itself refused it, and counts the next attempt as one more arrival.
    bool didArrive = false;
};

enum class RetryDecision {
    Elsewhere, ///< Send to another upstream; costs nothing, since nothing was dispatched.
    Retry,     ///< Send again; costs one of the budget and one token.
    GiveUp,    ///< Answer the caller now.
};

/// Most upstreams that one call is sent to without having been dispatched, besides the first one. Each such try costs
/// a round trip of the caller's time (about 2 ms between the failure domains of one region), and its refusal tells the
/// upstream's floor to the calls that follow. Eight upstreams that refuse are half of a default subset.
inline constexpr std::uint32_t MaxElsewhereTries = 8;

/// Non-idempotent calls are sent again only after a proven `not-run`.
auto decideRetry(const AttemptEnd &end) -> RetryDecision;

} // namespace stairspur::retry

template <>
inline constexpr auto stairspur::enumNames<stairspur::retry::RetryDecision> =
        std::array<std::string_view, 3>{"elsewhere", "retry", "give-up"};
