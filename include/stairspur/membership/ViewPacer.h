#pragma once

#include <stairspur/core/Time.h>

namespace stairspur::membership {

/// Says when a new view of the members is due, so that one is not made for each of many changes: each costs a copy of
/// all members and whatever its readers make of it. The first change after a quiet time is due at once; those that
/// follow within the pause are due together at its end. One that should not wait, as that a member drains, may go
/// before, but once between two others: there are at most two views in each pause, whatever happens.
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

    /// Whether a view is to be made at `now`; if so, what has changed counts as shown.
    auto takeDue(TimePoint now) -> bool;

private:
    Duration m_pause;
    TimePoint m_mayGoAt; ///< The end of the pause after the latest view.
    bool m_hasChanged = false;
    bool m_isUrgent = false;
    bool m_wasEarly = false; ///< The latest view did not wait for the pause's end.
};

} // namespace stairspur::membership
