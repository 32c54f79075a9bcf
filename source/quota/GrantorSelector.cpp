#include <stairspur/quota/GrantorSelector.h>

#include <algorithm>

#include <stairspur/core/Hash.h>

namespace stairspur::quota {

auto GrantorSelector::setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void
{
    m_nodes.setNodes(nodes, now);
    refresh(now);
}

auto GrantorSelector::didResume(const NodeId &node, TimePoint now) -> void
{
    m_nodes.didResume(node, now);
    refresh(now);
}

auto GrantorSelector::refresh(TimePoint now) -> void
{
    m_chosen.clear();
    m_candidates = m_nodes.mature(now);
    m_nextMaturity = m_nodes.nextMaturity(now);
}

auto GrantorSelector::grantorOf(const std::string &caller, TimePoint now) -> NodeId
{
    if (now >= m_nextMaturity)
        refresh(now);
    const auto cached = m_chosen.find(caller);
    if (cached != m_chosen.end())
        return cached->second;
    if (m_candidates.empty())
        return {};
    const auto seed = hash64(caller);
    const auto first = std::ranges::max_element(
            m_candidates, {}, [seed](const auto &it) { return hash64(it, seed); });
    return m_chosen.emplace(caller, *first).first->second;
}

} // namespace stairspur::quota
