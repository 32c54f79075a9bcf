#include "StatementTracker.h"

namespace stairspur::node {

using admission::InstanceStatement;

auto StatementTracker::didReplaceBackend(const membership::BackendIncarnation &incarnation) -> void
{
    *this = StatementTracker();
    m_current.instance = membership::instanceIdOf(incarnation);
}

auto StatementTracker::didRespond(const ResponseStatement &read, Outcome outcome, TimePoint sentAt,
                                  TimePoint now) -> bool
{
    const auto former = m_current.statement;
    if (read.statement.isLeaving) {
        m_current.statement.isLeaving = true;
        m_isKnown = true;
    }
    if (!read.unreadableRate.empty())
        return m_current.statement != former;
    if (read.statement.rateLimit) {
        m_current.statement.rateLimit = read.statement.rateLimit;
        m_rateStatedAt = now;
        m_isKnown = true;
    } else if (outcome == Outcome::Answered && sentAt > m_rateStatedAt) {
        m_current.statement.rateLimit.reset();
        m_isKnown = true;
    }
    return m_current.statement != former;
}

auto StatementTracker::didAnnounceLeaving() -> void
{
    m_current.statement.isLeaving = true;
    m_isKnown = true;
}

auto StatementTracker::adopt(const InstanceStatement &known, TimePoint now) -> bool
{
    const auto isSameInstance = known.instance != 0 && known.instance == m_current.instance;
    if (!isSameInstance || known.statement.isEmpty())
        return false;
    const auto former = m_current.statement;
    m_current.statement.isLeaving |= known.statement.isLeaving;
    if (!m_isKnown) {
        m_current.statement.rateLimit = known.statement.rateLimit;
        m_rateStatedAt = now;
    }
    m_isKnown = true;
    return m_current.statement != former;
}

auto StatementTracker::known() const -> std::optional<InstanceStatement>
{
    return m_isKnown ? std::optional(m_current) : std::nullopt;
}

} // namespace stairspur::node
