#pragma once

#include <cstdint>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// The load that one gate last reported, bounded to what can be true, and how far it is still believed.
class ReportView
{
public:
    /// Whether `report` is newer than the one held. One with a smaller sequence is late, unless the one held is so old
    /// that the gate must have started anew.
    [[nodiscard]] auto isNewer(const admission::LoadReport &report, TimePoint now,
                               Duration halfLife) const -> bool;

    /// Takes a report. `slots` bounds its limit; `ownInFlight` are our own calls there, which the report includes.
    auto take(const admission::LoadReport &report, std::uint32_t slots, std::uint32_t ownInFlight,
              TimePoint now) -> void;

    /// 1 for a report of this moment, half of it after each half-life, 0 without any report.
    [[nodiscard]] auto confidence(TimePoint now, Duration halfLife) const -> double;

    /// (in flight + queued) / limit of everybody's calls but ours, when the report came.
    [[nodiscard]] auto othersLoad() const -> double { return m_othersLoad; }

    /// Calls that the gate lets run at once; 0 before the first report.
    [[nodiscard]] auto limit() const -> std::uint32_t { return m_limit; }

    [[nodiscard]] auto estimatedWait() const -> Duration { return m_estimatedWait; }

    /// Whether the gate reported that it drains. Believed for a bounded time, as a restarted one reports anew.
    [[nodiscard]] auto isDraining(TimePoint now, Duration halfLife) const -> bool;

    /// The gate refused a call because it drains.
    auto didRefuseDraining(TimePoint now) -> void;

private:
    std::uint64_t m_sequence = 0;
    TimePoint m_takenAt{};
    TimePoint m_drainingSince{};
    Duration m_estimatedWait{0};
    float m_othersLoad = 0;
    std::uint32_t m_limit = 0;
    bool m_isKnown = false;
    bool m_isDraining = false;
};

} // namespace stairspur::routing
