#pragma once

#include <cstdint>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// The last reported load of one gate, limited to plausible values, and the confidence in it.
class ReportView
{
public:
    /// Returns whether `report` is newer than the current one. A report with a smaller sequence is late, unless the current
    /// one is so old that the gate must have restarted.
    [[nodiscard]] auto isNewer(const admission::LoadReport &report, TimePoint now,
                               Duration halfLife) const -> bool;

    /// Replaces the current report. `slots` bounds its limit. `ownInFlight` is the number of this entry's own running
    /// calls there, which the report includes.
    auto update(const admission::LoadReport &report, std::uint32_t slots, std::uint32_t ownInFlight,
                TimePoint now) -> void;

    /// Returns the confidence in the report: 1 when it has just been received, half as much after each half-life, and 0
    /// without any report or after 8 half-lives.
    [[nodiscard]] auto confidence(TimePoint now, Duration halfLife) const -> double;

    /// Returns (in flight + queued) / limit for all calls but this entry's own, at the time of the report.
    [[nodiscard]] auto othersLoad() const -> double { return m_othersLoad; }

    /// Returns how many calls the gate lets run at once, or 0 before the first report.
    [[nodiscard]] auto limit() const -> std::uint32_t { return m_limit; }

    /// Returns the wait that the gate reported, limited to 0 to 60 s.
    [[nodiscard]] auto estimatedWait() const -> Duration { return m_estimatedWait; }

    /// Returns whether the gate has reported that it is draining. The state lapses after 8 half-lives without a new report,
    /// because a restarted gate reports from scratch.
    [[nodiscard]] auto isDraining(TimePoint now, Duration halfLife) const -> bool;

    /// Records that the gate refused a call because it is draining.
    auto didRefuseDraining(TimePoint now) -> void;

private:
    std::uint64_t m_sequence = 0;
    TimePoint m_receivedAt{};
    TimePoint m_drainingSince{};
    Duration m_estimatedWait{0};
    float m_othersLoad = 0;
    std::uint32_t m_limit = 0;
    bool m_hasReport = false;
    bool m_isDraining = false;
};

} // namespace stairspur::routing
