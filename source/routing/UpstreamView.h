#pragma once

#include <cstdint>

#include <stairspur/routing/UpstreamPool.h>

#include "FloorView.h"
#include "OutcomeView.h"
#include "OutlierEjection.h"
#include "ReportView.h"

namespace stairspur::routing {

/// All state that this entry records of one upstream.
class UpstreamView
{
public:
    UpstreamView(Upstream upstream, TimePoint now)
        : m_upstream(std::move(upstream))
        , m_slowStartAt(now)
    {}

    /// Updates the upstream from the membership table. A greater incarnation resets the recorded
    /// state, a smaller one is ignored as late. Running calls stay counted.
    auto update(const Upstream &upstream, TimePoint now) -> void;

    [[nodiscard]] auto upstream() const -> const Upstream & { return m_upstream; }
    [[nodiscard]] auto isInSubset() const -> bool { return m_isInSubset; }
    auto setInSubset(bool isInSubset) -> void { m_isInSubset = isInSubset; }

    /// Returns whether calls can be sent to the upstream, by the state of this entry's link.
    [[nodiscard]] auto isReachable() const -> bool { return m_isReachable; }
    auto setReachable(bool isReachable) -> void { m_isReachable = isReachable; }

    /// Records that an attempt is sent.
    auto didSend(TimePoint now) -> void
    {
        ++m_inFlight;
        m_lastSentAt = now;
    }

    /// Records the outcome of an attempt: first the report in it, then the outcome itself, which takes precedence.
    auto didEnd(const AttemptResult &result, TimePoint now, Duration halfLife) -> void;

    /// Records a report, unless it is late.
    auto didReceiveReport(const admission::LoadReport &report, TimePoint now, Duration halfLife)
            -> void;

    /// Ejects the upstream for a while. It then returns by slow start, with its failures reset.
    auto eject(TimePoint now, Duration base) -> void;

    [[nodiscard]] auto isEjected(TimePoint now) const -> bool { return m_ejection.isEjected(now); }
    [[nodiscard]] auto isDraining(TimePoint now, Duration halfLife) const -> bool;

    /// Returns when this entry last sent a call to the upstream.
    [[nodiscard]] auto lastSentAt() const -> TimePoint { return m_lastSentAt; }

    /// Returns the number of this entry's own running calls.
    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }

    /// Returns how many calls the upstream lets run at once: the reported limit, or its slots without a report that still
    /// counts.
    [[nodiscard]] auto limit(TimePoint now, Duration halfLife) const -> std::uint32_t;

    /// Returns whether this entry has sent no call to the upstream for so long that its latency may be another by now. It
    /// may then be measured again, with one call at a time.
    [[nodiscard]] auto isLatencyUnconfirmed(TimePoint now, Duration halfLife) const -> bool;

    /// Returns when the slow start of the upstream last began: when it was new, reset or cold, or its ejection ended.
    [[nodiscard]] auto slowStartAt() const -> TimePoint { return m_slowStartAt; }

    /// Returns what the backend server states, as last reported. It outlasts a restart of the upstream's node.
    [[nodiscard]] auto statement() const -> const admission::InstanceStatement &
    {
        return m_statement;
    }
    auto setStatement(const admission::InstanceStatement &statement) -> void
    {
        m_statement = statement;
    }

    [[nodiscard]] auto reports() const -> const ReportView & { return m_reports; }
    [[nodiscard]] auto floors() const -> const FloorView & { return m_floors; }
    [[nodiscard]] auto outcomes() const -> const OutcomeView & { return m_outcomes; }

private:
    auto didRefuse(const AttemptResult &result, TimePoint now) -> void;

    /// Resets the recorded state, which doesn't apply to the backend server that runs there now.
    auto reset(TimePoint now) -> void;

    Upstream m_upstream;
    std::uint32_t m_backendIncarnation = 0; ///< From the last report.
    admission::InstanceStatement m_statement;
    ReportView m_reports;
    FloorView m_floors;
    OutcomeView m_outcomes;
    OutlierEjection m_ejection;
    TimePoint m_slowStartAt;
    TimePoint m_lastSentAt{};
    std::uint32_t m_inFlight = 0;
    bool m_isInSubset = false;
    bool m_isReachable = true;
};

} // namespace stairspur::routing
