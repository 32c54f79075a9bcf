#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/quarantine/RequestFingerprint.h>

namespace stairspur::quarantine {

/// One end of one backend server, drawn at random by the gate that saw it.
using CrashId = std::uint64_t;

/// What is known of one request: the crashes under which it ran, and those of which a whole answer since has acquitted it. Both
/// only grow, so that records merge in any order.
class CrashRecord
{
public:
    struct Crash
    {
        CrashId id = 0;
        bool isAcquitted = false;

        auto operator==(const Crash &) const -> bool = default;
    };

    /// Whether anything was new. Beyond `most` crashes no more are told apart, but for those that take the place of an
    /// acquitted one.
    auto add(const Crash &crash, std::size_t most) -> bool;
    /// The request was answered whole. Whether anything was new.
    auto acquit() -> bool;
    auto didCrashAt(TimePoint time) -> void { m_lastCrash = std::max(m_lastCrash, time); }

    /// Crashes that still speak against the request.
    [[nodiscard]] auto count() const -> std::uint32_t;
    [[nodiscard]] auto lastCrash() const -> TimePoint { return m_lastCrash; }
    [[nodiscard]] auto crashes() const -> const std::vector<Crash> & { return m_crashes; }
    /// The same on all nodes that know the same.
    [[nodiscard]] auto hash(const RequestFingerprint &fingerprint) const -> std::uint64_t;

private:
    auto forgetOneAcquitted() -> bool;

    std::vector<Crash> m_crashes; ///< By id.
    TimePoint m_lastCrash = TimePoint::min();
};

} // namespace stairspur::quarantine
