#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/Backoff.h>

namespace stairspur::distribution {

/// What a node has to do about its watch of the store's head.
enum class WatchStep {
    Open,
    Close,
};

/// Why a watch has ended, as far as it decides when the next one begins.
enum class WatchEnding {
    HistoryLost, ///< The store no longer knows what came after the last message.
    Other,       ///< Cut, refused, cancelled, or the store was not reached.
};

/// How long a node must have been a relay before its first watch. Each node that starts takes itself for the only one of its
/// failure domain until it has heard of others, so that all hosts that start at once would open watches and give them up.
/// Until then its reads in turn tell it of versions.
inline constexpr auto WatchSettling = Duration{1'000'000};

/// When a node opens and closes its watch of the store's head, without I/O or clock. Relays alone watch.
///
/// A relay without a watch hears of a new version only by its reads, so its pauses count towards the time within which a
/// version has to be in force (2 s on the smallest deployments): they start anew after each watch that held for a while,
/// and a lost history is answered at once.
class WatchSchedule
{
public:
    /// `settling`: how long a node must be a relay before its first watch.
    explicit WatchSchedule(std::uint64_t seed, Duration settling = Duration::zero())
        : m_random(seed)
        , m_settling(settling)
    {}

    /// What is to be done now, if anything. To be called several times a second and after each didEnd().
    auto next(bool isRelay, TimePoint now) -> std::optional<WatchStep>
    {
        if (m_stage == Stage::Open && !isRelay) {
            m_stage = Stage::Closing;
            return WatchStep::Close;
        }
        if (!isRelay)
            m_relaySince.reset();
        else if (!m_relaySince)
            m_relaySince = now;
        if (m_stage != Stage::Closed || !isRelay || now < m_notBefore)
            return std::nullopt;
        if (now - *m_relaySince < m_settling)
            return std::nullopt;
        m_settling = Duration::zero();
        m_stage = Stage::Open;
        m_openedAt = now;
        return WatchStep::Open;
    }

    /// A connection to the store had fallen silent by `time`, so that a watch that was open then may have too. True: it is to
    /// be closed, and next() opens another as soon as it has ended.
    auto didFindSilence(TimePoint time) -> bool
    {
        if (m_stage != Stage::Open || m_openedAt >= time)
            return false;
        m_stage = Stage::Closing;
        m_isRenewing = true;
        return true;
    }

    /// The watch has ended. Returns the pause before the next one.
    auto didEnd(WatchEnding ending, TimePoint now) -> Duration
    {
        m_stage = Stage::Closed;
        if (now - m_openedAt >= SteadyAfter) {
            m_backoff.reset();
            m_didRepeatAtOnce = false;
        }
        const auto pause = pauseAfter(ending);
        m_notBefore = now + pause;
        return pause;
    }

private:
    enum class Stage {
        Closed,
        Open,    ///< Asked for, or waiting for messages.
        Closing, ///< Cancelled; its end is still to come.
    };

    /// The watch after a lost history begins with the present head, so there is nothing to wait for; but a store that
    /// loses it again and again is not asked without a pause.
    auto pauseAfter(WatchEnding ending) -> Duration
    {
        if (std::exchange(m_isRenewing, false))
            return Duration{0};
        if (ending == WatchEnding::HistoryLost && !m_didRepeatAtOnce) {
            m_didRepeatAtOnce = true;
            return Duration{0};
        }
        return m_backoff.next(m_random);
    }

    static constexpr auto MinPause = Duration{100'000};
    /// A quarter of the 2 s within which a version has to be in force. While the store refuses, 39 relays (three in each of
    /// 13 failure domains) make some 180 calls a second (worked out, each of three attempts), of the 2,000 that it answers.
    static constexpr auto MaxPause = Duration{500'000};
    /// A watch that held for so long was no refusal.
    static constexpr auto SteadyAfter = Duration{1'000'000};

    Random m_random;
    Duration m_settling; ///< Nothing after the first watch.
    std::optional<TimePoint> m_relaySince;
    store::Backoff m_backoff{MinPause, MaxPause};
    Stage m_stage = Stage::Closed;
    TimePoint m_notBefore{};
    TimePoint m_openedAt{};
    bool m_isRenewing = false;      ///< It was closed in order to be opened anew.
    bool m_didRepeatAtOnce = false; ///< Since a watch last held for a while.
};

} // namespace stairspur::distribution
