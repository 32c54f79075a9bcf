#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// Counts requests and retries of a service over time and computes how many retries are allowed, so that the retries in
/// any span of one window length stay within a share of the requests.
///
/// The share refers to the requests of the same span, of the span right before it or of the span half a window earlier,
/// whichever are most: when a fault begins and requests decrease, the earlier traffic sets the limit. Time is divided
/// into slots. The span in which retries are counted is one slot longer than the window, so that rounding to slots
/// never allows too many retries.
class RetryWindow
{
public:
    /// Creates a window that covers the given time.
    explicit RetryWindow(Duration length);

    /// Records a request to the service.
    auto didRequest(TimePoint now) -> void;
    /// Records a retry.
    auto didRetry(TimePoint now) -> void;

    /// Returns the number of retries that are allowed now: the minimum over all spans that contain `now`. It is
    /// negative if there were too many retries.
    ///
    /// `share`: allowed retries per request. `slack`: retries that are allowed in addition, in each span.
    [[nodiscard]] auto allowance(double share, double slack, TimePoint now) -> double;

private:
    /// The resolution of the window: a slot is a twentieth of it, which is half a second for a window of ten seconds.
    static constexpr auto SlotsPerWindow = std::int64_t{20};
    /// Slots of the current span and of the one before it.
    static constexpr auto SlotCount = 2 * SlotsPerWindow + 1;

    struct Slot
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    /// Makes the slot of `now` the current one and clears the slots that became current since the last call.
    auto advanceTo(TimePoint now) -> void;
    [[nodiscard]] auto at(std::int64_t slot) -> Slot &;
    [[nodiscard]] auto sumOf(std::uint32_t Slot::*count, std::int64_t first,
                             std::int64_t last) const -> double;
    /// Return the sums over the slots after `first`, up to and including `last`. Slots that are no longer kept count as
    /// 0.
    [[nodiscard]] auto requestsIn(std::int64_t first, std::int64_t last) const -> double;
    [[nodiscard]] auto retriesIn(std::int64_t first, std::int64_t last) const -> double;

    std::int64_t m_slotLength; ///< In microseconds.
    std::int64_t m_current = 0;
    std::array<Slot, SlotCount> m_slots{};
};

} // namespace stairspur::retry
