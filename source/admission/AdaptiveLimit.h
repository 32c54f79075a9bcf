#pragma once

#include <cstdint>

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// How many calls may run at once at the backend server: additive increase, multiplicative decrease (Chiu & Jain, 1989)
/// with a slow start, always within 1 and the slots that the backend server reports.
class AdaptiveLimit
{
public:
    AdaptiveLimit(std::uint32_t coldLimit, std::uint32_t slots);

    /// A limit that follows the number of slots and nothing else. It stays a little below, see slotsToUse().
    static auto fixedFor(std::uint32_t slots) -> AdaptiveLimit;

    /// The limit now, at least 1.
    [[nodiscard]] auto limit() const -> std::uint32_t;

    /// Another number of slots. The limit falls at once when it is above.
    auto setSlots(std::uint32_t slots) -> void;

    struct Ended
    {
        Completion completion = Completion::Succeeded;
        Duration latency{0};
        Duration serviceTime{0};    ///< The mean before this call.
        std::uint32_t inFlight = 0; ///< With this call.
    };

    /// A call ended.
    auto didComplete(const Ended &ended, TimePoint now) -> void;

private:
    /// The slots of a backend server that are used at once. Some backend servers work slower when nearly all are taken,
    /// by more than the last slots bring.
    [[nodiscard]] static auto slotsToUse(std::uint32_t slots) -> std::uint32_t;

    auto grow(std::uint32_t inFlight) -> void;
    auto shrink(const Ended &ended, TimePoint now) -> void;
    [[nodiscard]] auto isTrouble(const Ended &ended) -> bool;

    bool m_isFixed = false;
    double m_limit;
    double m_slots;
    double m_slowStartEnd; ///< Below this the limit doubles with each round of calls.
    double m_failureShare = 0;
    TimePoint m_mayShrinkFrom{};
};

} // namespace stairspur::admission
