#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/quarantine/RequestFingerprint.h>

namespace stairspur::quarantine {

/// Identifies one crash of one backend server; the gate that detected the crash draws it at random.
using CrashId = std::uint64_t;

/// The crashes during which one request was running, and for each whether a later complete response has cleared the request
/// of it. Both only grow, so that records can be merged in any order.
class CrashRecord
{
public:
    struct Crash
    {
        CrashId id = 0;
        bool isCleared = false;

        auto operator==(const Crash &) const -> bool = default;
    };

    /// Adds a crash, or merges it with the recorded crash of the same id. Returns whether the record changed. Once the record
    /// holds `maxCrashes` crashes, a new one is only added in place of a cleared one, and only if it is not cleared itself.
    auto add(const Crash &crash, std::size_t maxCrashes) -> bool;
    /// Clears the request of all recorded crashes, because it received a complete response. Returns whether the record
    /// changed.
    auto markCleared() -> bool;
    /// Records the time of a crash; an earlier time than that of the last crash has no effect.
    auto didCrashAt(TimePoint time) -> void { m_lastCrash = std::max(m_lastCrash, time); }

    /// Returns the number of crashes of which the request has not been cleared.
    [[nodiscard]] auto unclearedCount() const -> std::uint32_t;
    [[nodiscard]] auto lastCrash() const -> TimePoint { return m_lastCrash; }
    [[nodiscard]] auto crashes() const -> const std::vector<Crash> & { return m_crashes; }
    /// Returns a hash that is equal on all nodes whose records of the request have the same crashes.
    [[nodiscard]] auto hash(const RequestFingerprint &fingerprint) const -> std::uint64_t;

private:
    auto removeOneCleared() -> bool;

    std::vector<Crash> m_crashes; ///< Sorted by id.
    TimePoint m_lastCrash = TimePoint::min();
};

} // namespace stairspur::quarantine
