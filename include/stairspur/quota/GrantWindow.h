#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include <stairspur/core/Time.h>

namespace stairspur::quota {

/// Counts the tokens granted within a sliding window, in slots of a tenth of a second. A slot counts until all of it lies
/// outside the window, so that at most sum() tokens were granted in any window of that length.
class GrantWindow
{
public:
    /// The five seconds that the quota guarantee covers, and the 0.3 s for which a token is valid before it is spent.
    static constexpr auto Length = Duration{5'300'000};

    /// Number of parts of a window in a history.
    static constexpr auto HistoryParts = std::size_t{9};
    /// Tokens by the time at which they were granted, in equal parts of the window, the latest first.
    using History = std::array<std::uint32_t, HistoryParts>;

    /// Records that `tokens` were granted.
    auto add(double tokens, TimePoint now) -> void
    {
        advance(now);
        m_slots[m_newest % Slots] += static_cast<float>(tokens);
    }

    /// Adds tokens that another grantor granted within the window. Each counts as granted at the end of its part.
    auto add(const History &history, TimePoint now) -> void
    {
        advance(now);
        for (auto part = std::size_t{0}; part < HistoryParts; ++part)
            m_slots[slotBefore(part * SlotsPerPart)] += static_cast<float>(history[part]);
    }

    /// Returns the tokens granted within the window, rounded up in each part.
    [[nodiscard]] auto history(TimePoint now) -> History
    {
        advance(now);
        auto history = History();
        for (auto part = std::size_t{0}; part < HistoryParts; ++part) {
            auto tokens = 0.0F;
            for (auto it = std::size_t{0}; it < SlotsPerPart; ++it)
                tokens += m_slots[slotBefore(part * SlotsPerPart + it)];
            history[part] = static_cast<std::uint32_t>(std::ceil(tokens));
        }
        return history;
    }

    /// Removes tokens that were returned unspent, from the latest slots first: returned tokens are among the latest granted.
    auto remove(double tokens, TimePoint now) -> void
    {
        advance(now);
        for (auto back = std::uint64_t{0}; back < Slots && tokens > 0; ++back) {
            auto &slot = m_slots[slotBefore(back)];
            const auto taken = std::min(static_cast<double>(slot), tokens);
            slot -= static_cast<float>(taken);
            tokens -= taken;
        }
    }

    /// Returns the number of tokens granted within the window.
    [[nodiscard]] auto sum(TimePoint now) -> double
    {
        advance(now);
        return std::accumulate(m_slots.begin(), m_slots.end(), 0.0);
    }

    /// Returns the time until the oldest tokens cease to count; Length if no slot but the newest has any.
    [[nodiscard]] auto timeUntilExpiry(TimePoint now) -> Duration
    {
        advance(now);
        for (auto age = std::uint64_t{Slots - 1}; age > 0; --age) {
            if (m_slots[slotBefore(age)] > 0)
                return SlotTime * static_cast<Duration::rep>(Slots - age);
        }
        return Length;
    }

private:
    static constexpr auto SlotTime = Duration{100'000};
    /// The slots of the window, and one more for the slot that is being filled.
    static constexpr auto Slots = static_cast<std::size_t>(Length / SlotTime) + 1;

    static constexpr auto SlotsPerPart = Slots / HistoryParts;
    static_assert(Slots % HistoryParts == 0);

    /// Returns the index of the slot that is `back` slots older than the newest one.
    [[nodiscard]] auto slotBefore(std::size_t back) const -> std::size_t
    {
        return (m_newest + Slots - back) % Slots;
    }

    /// Clears the slots that have left the window.
    auto advance(TimePoint now) -> void
    {
        const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / SlotTime);
        if (slot >= m_newest + Slots)
            m_slots.fill(0);
        else
            for (auto it = m_newest + 1; it <= slot; ++it)
                m_slots[it % Slots] = 0;
        m_newest = std::max(m_newest, slot);
    }

    std::array<float, Slots> m_slots{};
    std::uint64_t m_newest = 0;
};

} // namespace stairspur::quota
