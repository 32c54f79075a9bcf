#include "StatementMemory.h"

namespace stairspur::routing {

/// Time for which a statement is kept. A node that returns later than this has restarted with its host.
static constexpr auto Lifetime = std::chrono::minutes(10);

auto StatementMemory::keep(const NodeId &node, const admission::InstanceStatement &statement,
                           TimePoint now) -> void
{
    if (statement.statement.isEmpty())
        return;
    std::erase_if(m_kept, [&](const auto &it) { return now - it.second.since > Lifetime; });
    m_kept.insert_or_assign(node, Kept{statement, now});
}

auto StatementMemory::take(const NodeId &node) -> admission::InstanceStatement
{
    const auto found = m_kept.extract(node);
    return found ? found.mapped().statement : admission::InstanceStatement();
}

} // namespace stairspur::routing
