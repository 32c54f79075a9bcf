#pragma once

#include <stairspur/core/Time.h>

namespace stairspur::membership {

/// Limits how often a new view of the members is published: each view costs a copy of all members and the work of its
/// readers. The first change after a quiet time is due at once; changes within the following pause are due together
/// at its end. An urgent change, such as that a member drains, may be published early, but only once between two
/// regular views, so that there are at most two views in each pause.
class ViewPacer
{
public:
    explicit ViewPacer(Duration pause)
        : m_pause(pause)
    {}

    auto didChange() -> void { m_hasChanged = true; }
    auto didChangeUrgently() -> void
    {
        m_hasChanged = true;
        m_isUrgent = true;
    }

    /// Returns whether a view is due at `now`. If so, all changes so far count as published.
    auto takeDue(TimePoint now) -> bool;

private:
    Duration m_pause;
    TimePoint m_pauseEnd; ///< End of the pause after the latest view.
    bool m_hasChanged = false;
    bool m_isUrgent = false;
    bool m_wasEarly = false; ///< Whether the latest view was published before the end of the pause.
};

} // namespace stairspur::membership
