#pragma once

#include <cstdint>
#include <optional>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/Backoff.h>

namespace stairspur::distribution {

/// What a node has to do about its watch of the store's head.
enum class WatchStep {
    Open,
    Close,
};

/// When a node opens and closes its watch of the store's head, without I/O or clock. Relays alone watch.
class WatchSchedule
{
public:
    /// What is to be done now, if anything. To be called several times a second and after each didEnd().
    auto next(bool isRelay, TimePoint now) -> std::optional<WatchStep>
    {
        if (m_stage == Stage::Open && !isRelay) {
            m_stage = Stage::Closing;
            return WatchStep::Close;
        }
        if (m_stage != Stage::Closed || now < m_notBefore)
            return std::nullopt;
        if (!isRelay) {
            m_notBefore = now + m_backoff.next(m_random);
            return std::nullopt;
        }
        m_stage = Stage::Open;
        return WatchStep::Open;
    }

    /// The watch has ended, for whatever reason. Returns the pause before the next one.
    auto didEnd(TimePoint now) -> Duration
    {
        m_stage = Stage::Closed;
        const auto pause = m_backoff.next(m_random);
        m_notBefore = now + pause;
        return pause;
    }

    auto seed(std::uint64_t seed) -> void { m_random.seed(seed); }

private:
    enum class Stage {
        Closed,
        Open,    ///< Asked for, or waiting for messages.
        Closing, ///< Cancelled; its end is still to come.
    };

    static constexpr auto MinPause = Duration{100'000};
    static constexpr auto MaxPause = Duration{5'000'000};

    Random m_random;
    store::Backoff m_backoff{MinPause, MaxPause};
    Stage m_stage = Stage::Closed;
    TimePoint m_notBefore{};
};

} // namespace stairspur::distribution
