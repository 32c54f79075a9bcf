#pragma once

#include <cstdint>

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// Limits the calls that run at once at the backend server, by additive increase and multiplicative decrease (Chiu & Jain,
/// 1989) with a slow start. The limit is always between 1 and the slots that the backend server reports.
class AdaptiveLimit
{
public:
    AdaptiveLimit(std::uint32_t initialLimit, std::uint32_t slots);

    /// Returns a limit that depends on the number of slots alone. It is a little below that number, see slotsToUse().
    static auto fixedFor(std::uint32_t slots) -> AdaptiveLimit;

    /// Returns the current limit, which is at least 1.
    [[nodiscard]] auto limit() const -> std::uint32_t;

    /// Sets the number of slots. A limit above it falls to it at once.
    auto setSlots(std::uint32_t slots) -> void;

    struct EndedCall
    {
        Completion completion = Completion::Succeeded;
        Duration latency{0};
        Duration serviceTime{0};    ///< Mean before this call.
        std::uint32_t inFlight = 0; ///< Running calls, including this one.
    };

    /// Records that a call ended, and adapts the limit.
    auto didComplete(const EndedCall &ended, TimePoint now) -> void;

private:
    /// Returns how many slots of a backend server are used at once. Some backend servers slow down when nearly all slots
    /// are in use, which costs more capacity than the last slots add.
    [[nodiscard]] static auto slotsToUse(std::uint32_t slots) -> std::uint32_t;

    auto grow(std::uint32_t inFlight) -> void;
    auto shrink(const EndedCall &ended, TimePoint now) -> void;
    [[nodiscard]] auto isOverload(const EndedCall &ended) -> bool;

    bool m_isFixed = false;
    double m_limit;
    double m_slots;
    double m_slowStartEnd; ///< Limit below which it doubles with each round of calls.
    double m_failureShare = 0;
    TimePoint m_nextDecreaseAllowedAt{};
};

} // namespace stairspur::admission
