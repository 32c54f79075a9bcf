#pragma once

#include <cstdint>

#include <stairspur/routing/UpstreamPool.h>

#include "FloorView.h"
#include "OutcomeView.h"
#include "OutlierEjection.h"
#include "ReportView.h"

namespace stairspur::routing {

/// Everything that this entry knows of one upstream.
class UpstreamView
{
public:
    UpstreamView(Upstream upstream, TimePoint now)
        : m_upstream(std::move(upstream))
        , m_newSince(now)
    {}

    /// Membership tells of the upstream again. A greater incarnation starts anew, a smaller one
    /// is late news; calls under way stay counted.
    auto update(const Upstream &upstream, TimePoint now) -> void;

    [[nodiscard]] auto upstream() const -> const Upstream & { return m_upstream; }
    [[nodiscard]] auto isInSubset() const -> bool { return m_isInSubset; }
    auto setInSubset(bool isInSubset) -> void { m_isInSubset = isInSubset; }

    /// Whether calls can be sent there, as far as our link tells.
    [[nodiscard]] auto isReachable() const -> bool { return m_isReachable; }
    auto setReachable(bool isReachable) -> void { m_isReachable = isReachable; }

    auto didSend(TimePoint now) -> void
    {
        ++m_inFlight;
        m_lastSentAt = now;
    }

    /// The attempt ended; takes its report first, then what the outcome itself proves.
    auto didEnd(const AttemptResult &result, TimePoint now, Duration halfLife) -> void;

    /// Takes a report unless it is late.
    auto didReport(const admission::LoadReport &report, TimePoint now, Duration halfLife) -> void;

    /// Leaves the upstream out for a while; it then starts slowly, with its failures forgotten.
    auto eject(TimePoint now, Duration base) -> void;

    [[nodiscard]] auto isEjected(TimePoint now) const -> bool { return m_ejection.isEjected(now); }
    [[nodiscard]] auto isDraining(TimePoint now, Duration halfLife) const -> bool;

    /// When a call of ours last went there.
    [[nodiscard]] auto lastSentAt() const -> TimePoint { return m_lastSentAt; }

    /// Our own calls under way.
    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }

    /// Calls that the upstream is believed to let run at once.
    [[nodiscard]] auto limit() const -> std::uint32_t;

    /// When the upstream was last new, or came back.
    [[nodiscard]] auto newSince() const -> TimePoint { return m_newSince; }

    [[nodiscard]] auto reports() const -> const ReportView & { return m_reports; }
    [[nodiscard]] auto floors() const -> const FloorView & { return m_floors; }
    [[nodiscard]] auto outcomes() const -> const OutcomeView & { return m_outcomes; }

private:
    auto didRefuse(const AttemptResult &result, TimePoint now) -> void;

    /// What was learnt of the backend server does not hold for the one that stands there now.
    auto startAnew(TimePoint now) -> void;

    Upstream m_upstream;
    std::uint32_t m_backendIncarnation = 0; ///< As last reported.
    ReportView m_reports;
    FloorView m_floors;
    OutcomeView m_outcomes;
    OutlierEjection m_ejection;
    TimePoint m_newSince;
    TimePoint m_lastSentAt{};
    std::uint32_t m_inFlight = 0;
    bool m_isInSubset = false;
    bool m_isReachable = true;
};

} // namespace stairspur::routing
