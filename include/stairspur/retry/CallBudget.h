#pragma once

#include <cstdint>

namespace stairspur::retry {

/// What one attempt carries in its request.
struct AttemptBudget
{
    std::uint32_t retryBudget = 0; ///< Extra attempts for everything below the attempt.
    bool isRepeat = false;         ///< An earlier attempt, here or above, may have run.
};

/// The extra attempts of one call at the entry that places it.
///
/// What went with an attempt comes back with its answer only. So a service that calls no others
/// gets nothing, and its call can be sent again after a lost answer; one that calls others gets
/// all, since to run it again would cost its deeper calls as well (docs/design/retries.md has the
/// ways that were measured).
class CallBudget
{
public:
    /// `share` from RetryLedger::takeShare(), or the whole budget of a root request. `isRepeat`
    /// from RetryLedger::isRepeat() of the parent.
    CallBudget(std::uint32_t share, bool isRepeat)
        : m_left(share)
        , m_isRepeat(isRepeat)
    {}

    /// An attempt goes out. One attempt is under way at a time. `hasDeeperCalls`: whether the
    /// service that is called calls others, as far as the configured call paths tell.
    auto startAttempt(bool hasDeeperCalls) -> AttemptBudget;

    /// The attempt's answer came and returns `unspent`. A claim of more than went with it is false
    /// and returns nothing. Not called when the answer is lost.
    auto didAnswer(std::uint32_t unspent) -> void;

    /// Pays for the next attempt after one that may have been dispatched. False when nothing is
    /// left.
    auto trySpend() -> bool;

    /// What is left: for decideRetry(), and for RetryLedger::giveBack() once the call has ended.
    [[nodiscard]] auto left() const -> std::uint32_t { return m_left; }

private:
    std::uint32_t m_left;
    std::uint32_t m_sent = 0; ///< Went with the attempt under way.
    bool m_isRepeat;
};

} // namespace stairspur::retry
