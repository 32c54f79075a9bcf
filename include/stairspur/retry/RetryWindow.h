#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// Requests and retries of a service over time, and how many retries may still be made so that no span of one window's
/// length holds more than a share of the requests.
///
/// The requests that count for a span are those of the same span, of the one right before it, or of the one half a window
/// before it, whichever are most: when trouble begins, retries may go by the traffic that there was. Time is cut into
/// slots; a span of retries is counted a slot longer than it is, so that what falls between two slots is on the safe side.
class RetryWindow
{
public:
    explicit RetryWindow(Duration length);

    auto didRequest(TimePoint now) -> void;
    auto didRetry(TimePoint now) -> void;

    /// Retries that may be made now: the least that is left over all spans that hold this moment. Less than zero when
    /// there were too many.
    [[nodiscard]] auto allowance(double share, double slack, TimePoint now) -> double;

private:
    /// The resolution of the window: a twentieth, half a second of ten.
    static constexpr auto SlotsPerWindow = std::int64_t{20};
    /// The current span, and the one before it.
    static constexpr auto SlotsKept = 2 * SlotsPerWindow + 1;

    struct Slot
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    /// Empties the slots that have come up since the last call.
    auto moveTo(TimePoint now) -> void;
    [[nodiscard]] auto at(std::int64_t slot) -> Slot &;
    [[nodiscard]] auto sumOf(std::uint32_t Slot::*count, std::int64_t first,
                             std::int64_t last) const -> double;
    /// Sums over the slots after `first` up to and including `last`, as far as they are kept.
    [[nodiscard]] auto requestsIn(std::int64_t first, std::int64_t last) const -> double;
    [[nodiscard]] auto retriesIn(std::int64_t first, std::int64_t last) const -> double;

    std::int64_t m_slotLength; ///< Microseconds.
    std::int64_t m_current = 0;
    std::array<Slot, SlotsKept> m_slots{};
};

} // namespace stairspur::retry
