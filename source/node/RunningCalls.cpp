#include "RunningCalls.h"

namespace stairspur::node {

auto RunningCalls::open(CallId id, RunningCall call, std::uint32_t budget, bool isRepeat) -> void
{
    const auto lock = std::scoped_lock(m_mutex);
    m_records.emplace(id, Record{std::move(call), {}});
    m_ledger.open(id, budget, isRepeat);
}

auto RunningCalls::find(CallId id) const -> std::optional<RunningCall>
{
    const auto lock = std::scoped_lock(m_mutex);
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return std::nullopt;
    return it->second.call;
}

auto RunningCalls::addChild(CallId parent, CallId child, CancelChild cancel) -> ChildShare
{
    const auto lock = std::scoped_lock(m_mutex);
    const auto it = m_records.find(parent);
    if (it == m_records.end())
        return {Reason::ParentUnknown};
    const auto share = m_ledger.takeShare(parent);
    if (!share)
        return {Reason::RetryBudgetSpent};
    it->second.children.emplace(child, std::move(cancel));
    return {Reason::None, *share, m_ledger.isRepeat(parent)};
}

auto RunningCalls::removeChild(CallId parent, CallId child, std::uint32_t unspent) -> void
{
    const auto lock = std::scoped_lock(m_mutex);
    const auto it = m_records.find(parent);
    if (it == m_records.end())
        return;
    it->second.children.erase(child);
    m_ledger.giveBack(parent, unspent);
}

auto RunningCalls::close(CallId id) -> std::uint32_t
{
    auto children = std::unordered_map<CallId, CancelChild>();
    auto left = std::uint32_t{0};
    {
        const auto lock = std::scoped_lock(m_mutex);
        const auto it = m_records.find(id);
        if (it == m_records.end())
            return 0;
        children = std::move(it->second.children);
        m_records.erase(it);
        left = m_ledger.close(id);
    }
    for (const auto &[child, cancel] : children)
        cancel();
    return left;
}

} // namespace stairspur::node
