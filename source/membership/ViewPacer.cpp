#include <stairspur/membership/ViewPacer.h>

namespace stairspur::membership {

auto ViewPacer::takeDue(TimePoint now) -> bool
{
    const auto isEarly = now < m_pauseEnd;
    if (!m_hasChanged)
        return false;
    if (isEarly && (!m_isUrgent || m_wasEarly))
        return false;
    m_hasChanged = false;
    m_isUrgent = false;
    m_wasEarly = isEarly;
    m_pauseEnd = now + m_pause;
    return true;
}

} // namespace stairspur::membership
