#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include <stairspur/core/Identifiers.h>

/// Limits on retries: one retry budget per root request, divided among its calls on the hosts where they run, and one
/// token bucket per service at each entry.
namespace stairspur::retry {

/// The extra attempts that each running call and its deeper calls may still make. It is kept by the gate that
/// dispatched the call, since the entry of the same host receives every deeper call.
///
/// Over the whole call graph: dispatches <= calls of the graph + budget of the root. To guarantee this, every dispatch
/// of a call after its first one costs one extra attempt, including the deeper calls that a repeated run makes again.
class RetryLedger
{
public:
    /// Records that a call was dispatched with `budget` extra attempts for its deeper calls.
    ///
    /// `isRepeat`: an earlier attempt at the call, or at a call above it, may have run, so its deeper calls may have
    /// been dispatched already.
    auto open(CallId call, std::uint32_t budget, bool isRepeat = false) -> void;

    /// Returns whether the call is still running here.
    [[nodiscard]] auto isOpen(CallId call) const -> bool;

    /// Returns whether the call was opened as a repeat. Returns false for a call that is not open.
    [[nodiscard]] auto isRepeat(CallId call) const -> bool;

    /// Returns the remaining extra attempts of the call. Returns 0 for a call that is not open.
    [[nodiscard]] auto remaining(CallId call) const -> std::uint32_t;

    /// Takes the share of a new deeper call from the remaining extra attempts of its parent: half of them, so that
    /// later siblings get some too.
    ///
    /// Returns nothing if the parent is not open, or if it is a repeat without remaining extra attempts: each dispatch
    /// below a repeat costs one.
    auto takeShare(CallId parent) -> std::optional<std::uint32_t>;

    /// Returns the `unspent` part of the share of an ended deeper call to its parent. The part that an attempt
    /// with a lost answer carried is not returned, and a claim of more than was taken returns nothing.
    auto returnUnspent(CallId parent, std::uint32_t unspent) -> void;

    /// Removes an ended call and returns its remaining extra attempts, which are sent with its answer.
    auto close(CallId call) -> std::uint32_t;

    /// Returns the number of calls that are running here.
    [[nodiscard]] auto size() const -> std::size_t { return m_accounts.size(); }

private:
    struct Account
    {
        std::uint32_t remaining = 0;
        std::uint32_t taken = 0; ///< Shares that were not returned. remaining + taken never grows.
        bool isRepeat = false;
    };

    std::unordered_map<CallId, Account> m_accounts;
};

} // namespace stairspur::retry
