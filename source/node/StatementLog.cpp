#include "StatementLog.h"

#include <array>
#include <cstdio>

#include <stairspur/log/Log.h>

namespace stairspur::node {

/// Minimum time between two lines about another value of the same statement.
static constexpr auto MinInterval = Duration{1'000'000};

static auto isDue(std::optional<TimePoint> last, TimePoint now) -> bool
{
    return !last || now - *last >= MinInterval;
}

static auto rateText(const std::optional<double> &rate) -> std::string
{
    if (!rate)
        return "-";
    auto buf = std::array<char, 32>();
    std::snprintf(buf.data(), buf.size(), "%g", *rate);
    return buf.data();
}

auto StatementLog::didChange(const std::string &instance,
                             const admission::BackendStatement &statement, StatementSource source,
                             TimePoint now) -> void
{
    const auto isNewKind = statement.rateLimit.has_value() != m_logged.rateLimit.has_value()
                           || statement.isLeaving != m_logged.isLeaving;
    if (!isNewKind && !isDue(m_changeLoggedAt, now))
        return;
    log::Line(log::Severity::Info, "backend-statement")
            .add("instance", instance)
            .add("rate_limit", rateText(statement.rateLimit))
            .add("former_rate_limit", rateText(m_logged.rateLimit))
            .add("leaving", statement.isLeaving)
            .add("source", source);
    m_logged = statement;
    m_changeLoggedAt = now;
}

auto StatementLog::didReceiveUnreadable(const std::string &instance, const std::string &value,
                                        TimePoint now) -> void
{
    if (!isDue(m_unreadableLoggedAt, now))
        return;
    m_unreadableLoggedAt = now;
    log::Line(log::Severity::Warning, "backend-statement-unreadable")
            .add("instance", instance)
            .add("rate_limit", value);
}

} // namespace stairspur::node
