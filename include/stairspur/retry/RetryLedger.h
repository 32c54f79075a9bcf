#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include <stairspur/core/Identifiers.h>

/// Retries: one budget per root request, kept where its calls run, and a token bucket per service.
namespace stairspur::retry {

/// The extra attempts that a running call and its deeper calls may still make. The gate that dispatched the call keeps
/// it, since every deeper call comes back to the entry of the same host.
///
/// Over the whole chain: dispatches <= calls of the graph + budget of the root. For this every dispatch but a call's
/// first one costs one of the budget, also the deeper calls that a repeated run makes anew.
class RetryLedger
{
public:
    /// A call was dispatched with `budget` extra attempts left for it and everything below. `isRepeat`: an earlier
    /// attempt at it, or at a call above it, may have run, so that its deeper calls may have been dispatched already.
    auto open(CallId call, std::uint32_t budget, bool isRepeat = false) -> void;

    /// Whether the call still runs here.
    [[nodiscard]] auto isOpen(CallId call) const -> bool;

    /// Whether the call was opened as a repeat. False for a call that is not open.
    [[nodiscard]] auto isRepeat(CallId call) const -> bool;

    /// Extra attempts that the call has left. None for a call that is not open.
    [[nodiscard]] auto left(CallId call) const -> std::uint32_t;

    /// A deeper call starts: takes its share of what is left, so that siblings have some too. Nothing when the parent is
    /// not open, or when it is a repeat that has nothing left: below a repeat, the dispatch itself costs one.
    auto takeShare(CallId parent) -> std::optional<std::uint32_t>;

    /// The deeper call ended and did not spend `unspent` of its share. A lost answer returns nothing, and
    /// neither does one that claims more than was taken.
    auto giveBack(CallId parent, std::uint32_t unspent) -> void;

    /// The call ended. What is left goes back with its answer.
    auto close(CallId call) -> std::uint32_t;

    /// Calls that run here now.
    [[nodiscard]] auto size() const -> std::size_t { return m_accounts.size(); }

private:
    struct Account
    {
        std::uint32_t left = 0;
        std::uint32_t taken = 0; ///< Shares that did not come back. left + taken never grows.
        bool isRepeat = false;
    };

    std::unordered_map<CallId, Account> m_accounts;
};

} // namespace stairspur::retry
