#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/Backoff.h>

namespace stairspur::distribution {

/// Next step for a node's watch of the store's head.
enum class WatchStep {
    Open,
    Close,
};

/// Why a watch has ended, as far as it determines when the next one starts.
enum class WatchEnding {
    HistoryLost, ///< The store has discarded the changes after the last message.
    Other,       ///< The watch was cut, refused or cancelled, or the store was not reached.
};

/// Time for which a node must have been a relay before its first watch. A starting node is the only member of its failure
/// domain until it receives others from membership, so without this time all hosts that start together would open watches
/// and close them again. Until the first watch a relay finds new versions by its reads in turn.
inline constexpr auto WatchSettling = Duration{1'000'000};

/// Schedules a node's watch of the store's head without I/O or clock. Only relays watch.
///
/// A relay without a watch finds a new version only by its reads, so the pauses between watches count towards the time within
/// which a version has to be in force (2 s on the smallest deployments). The pauses are therefore reset after each watch that
/// lasted for a while, and a watch that ended by lost history is opened again at once.
class WatchSchedule
{
public:
    /// Creates a schedule; `settling` is the time for which a node must have been a relay before its first watch.
    explicit WatchSchedule(std::uint64_t seed, Duration settling = Duration::zero())
        : m_random(seed)
        , m_settling(settling)
    {}

    /// Returns the step that is due now, if any. To be called several times a second and after each didEnd().
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

    /// Records that a connection to the store was silent at `time`, so that the connection of a watch that was open then may
    /// be silent too. Returns true if the watch is to be closed; next() opens another one as soon as it has ended.
    auto didFindSilence(TimePoint time) -> bool
    {
        if (m_stage != Stage::Open || m_openedAt >= time)
            return false;
        m_stage = Stage::Closing;
        m_isRenewing = true;
        return true;
    }

    /// Records that the watch has ended and returns the pause before the next one.
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
        Open,    ///< The watch is requested or receives messages.
        Closing, ///< The watch is cancelled but has not ended yet.
    };

    /// Returns the pause before the next watch. The watch after a lost history starts with the current head and needs no pause,
    /// but a store that loses its history repeatedly is queried with pauses.
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
    /// Longest pause, a quarter of the 2 s within which a version has to be in force. While the store refuses, 39 relays (three
    /// in each of 13 failure domains, three attempts for each call) make about 180 of the 2,000 calls a second that it answers.
    static constexpr auto MaxPause = Duration{500'000};
    /// Time after which a watch counts as accepted rather than refused.
    static constexpr auto SteadyAfter = Duration{1'000'000};

    Random m_random;
    Duration m_settling; ///< Settling time; zero after the first watch.
    std::optional<TimePoint> m_relaySince;
    store::Backoff m_backoff{MinPause, MaxPause};
    Stage m_stage = Stage::Closed;
    TimePoint m_notBefore{};
    TimePoint m_openedAt{};
    bool m_isRenewing = false; ///< Whether the watch was closed in order to be opened again.
    bool m_didRepeatAtOnce =
            false; ///< Whether a watch was opened without a pause since one last lasted for a while.
};

} // namespace stairspur::distribution
