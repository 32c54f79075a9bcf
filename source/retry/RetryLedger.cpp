#include <stairspur/retry/RetryLedger.h>

#include <cassert>

namespace stairspur::retry {

auto RetryLedger::open(CallId call, std::uint32_t budget, bool isRepeat) -> void
{
    const auto [it, isNew] = m_accounts.try_emplace(call, Account{budget, 0, isRepeat});
    assert(isNew && "a call is opened once");
    static_cast<void>(it);
    static_cast<void>(isNew);
}

auto RetryLedger::isOpen(CallId call) const -> bool
{
    return m_accounts.contains(call);
}

auto RetryLedger::isRepeat(CallId call) const -> bool
{
    const auto it = m_accounts.find(call);
    return it != m_accounts.end() && it->second.isRepeat;
}

auto RetryLedger::remaining(CallId call) const -> std::uint32_t
{
    const auto it = m_accounts.find(call);
    return it == m_accounts.end() ? 0 : it->second.remaining;
}

auto RetryLedger::takeShare(CallId parent) -> std::optional<std::uint32_t>
{
    const auto it = m_accounts.find(parent);
    if (it == m_accounts.end())
        return std::nullopt;
    auto &account = it->second;
    if (account.isRepeat) {
        if (account.remaining == 0)
            return std::nullopt;
        --account.remaining;
    }
    const auto share = account.remaining - account.remaining / 2; // Half, rounded up.
    account.remaining -= share;
    account.taken += share;
    return share;
}

auto RetryLedger::returnUnspent(CallId parent, std::uint32_t unspent) -> void
{
    const auto it = m_accounts.find(parent);
    if (it == m_accounts.end())
        return;
    auto &account = it->second;
    if (unspent > account.taken)
        return;
    account.taken -= unspent;
    account.remaining += unspent;
}

auto RetryLedger::close(CallId call) -> std::uint32_t
{
    const auto it = m_accounts.find(call);
    if (it == m_accounts.end())
        return 0;
    const auto remaining = it->second.remaining;
    m_accounts.erase(it);
    return remaining;
}

} // namespace stairspur::retry
