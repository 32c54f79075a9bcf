#pragma once

#include <cstdint>

namespace stairspur::retry {

/// The retry state that the request of one attempt carries.
struct AttemptBudget
{
    std::uint32_t retryBudget = 0; ///< Extra attempts for all calls below the attempt.
    bool isRepeat = false;         ///< An earlier attempt, here or above, may have run.
};

/// The extra attempts of one call, kept by the entry that sends the call.
///
/// The part of the budget that an attempt carries returns with the answer only. For this reason an attempt at a service
/// that calls no others carries nothing: its call can be sent again after a lost answer. An attempt at a service that
/// calls others carries the whole budget, since running it again would repeat its deeper calls as well
/// (docs/design/retries.md compares the alternatives).
class CallBudget
{
public:
    /// Creates the budget of one call.
    ///
    /// `share`: the result of RetryLedger::takeShare(), or the whole budget of a root request. `isRepeat`: the result
    /// of RetryLedger::isRepeat() for the parent.
    CallBudget(std::uint32_t share, bool isRepeat)
        : m_remaining(share)
        , m_isRepeat(isRepeat)
    {}

    /// Returns the budget that the next attempt carries. Only one attempt is in flight at a time.
    ///
    /// `hasDeeperCalls`: whether the called service calls others according to the configured call paths.
    auto startAttempt(bool hasDeeperCalls) -> AttemptBudget;

    /// Adds the extra attempts that the attempt's answer returns as `unspent`. An answer that claims more than the
    /// attempt carried is invalid and returns nothing. Must not be called when the answer is lost.
    auto didReceiveAnswer(std::uint32_t unspent) -> void;

    /// Spends one extra attempt to send the call again after an attempt that may have been dispatched. Returns false if
    /// no extra attempts remain.
    auto trySpend() -> bool;

    /// Returns the remaining extra attempts: an input of decideRetry(), and of RetryLedger::returnUnspent() once the
    /// call has ended.
    [[nodiscard]] auto remaining() const -> std::uint32_t { return m_remaining; }

private:
    std::uint32_t m_remaining;
    std::uint32_t m_sent = 0; ///< Carried by the attempt in flight.
    bool m_isRepeat;
};

} // namespace stairspur::retry
