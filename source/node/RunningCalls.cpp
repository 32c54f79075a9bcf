#include "RunningCalls.h"

namespace stairspur::node {

auto RunningCalls::open(CallId id, RunningCall call, std::uint32_t budget, bool isRepeat) -> void
{
    const auto lock = std::scoped_lock(m_mutex);
    m_records.emplace(id, Record{.call = std::move(call)});
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

auto RunningCalls::addChild(CallId parent, CallId child, PathKey path, CancelChild cancel)
        -> ChildShare
{
    const auto lock = std::scoped_lock(m_mutex);
    const auto it = m_records.find(parent);
    if (it == m_records.end())
        return {Reason::ParentUnknown};
    const auto ordinal = ++it->second.callsMade[path];
    const auto share = m_ledger.takeShare(parent);
    if (!share)
        return {.refusal = Reason::RetryBudgetSpent, .ordinal = ordinal};
    it->second.children.emplace(child, std::move(cancel));
    return {Reason::None, *share, m_ledger.isRepeat(parent), ordinal};
}

auto RunningCalls::removeChild(CallId parent, CallId child, std::uint32_t unspent, bool isAnswered)
        -> void
{
    const auto lock = std::scoped_lock(m_mutex);
    const auto it = m_records.find(parent);
    if (it == m_records.end())
        return;
    it->second.children.erase(child);
    it->second.hasUnansweredChild = it->second.hasUnansweredChild || !isAnswered;
    m_ledger.returnUnspent(parent, unspent);
}

auto RunningCalls::close(CallId id) -> ClosedCall
{
    auto children = std::unordered_map<CallId, CancelChild>();
    auto closed = ClosedCall();
    {
        const auto lock = std::scoped_lock(m_mutex);
        const auto it = m_records.find(id);
        if (it == m_records.end())
            return closed;
        closed.hadUnansweredDeeperCall =
                it->second.hasUnansweredChild || !it->second.children.empty();
        children = std::move(it->second.children);
        m_records.erase(it);
        closed.unspentBudget = m_ledger.close(id);
    }
    for (const auto &[child, cancel] : children)
        cancel();
    return closed;
}

} // namespace stairspur::node
