#include "AdaptiveLimit.h"

#include <algorithm>

namespace stairspur::admission {

namespace {

constexpr auto DecreaseFactor = 0.8;

/// A limit that is not used says nothing about a greater one.
constexpr auto UsedShareForGrowth = 0.5;

/// Single errors are the application's own. From this share of the answers on they are taken for trouble.
constexpr auto FailureShareOfTrouble = 0.5;
constexpr auto FailureWeight = 0.05;

/// One slot in twenty stays free, rounded up. Measured on the users' platform: two overloaded backend servers of 20 slots
/// answered 1.12 and 1.26 times as many calls in the same two seconds with 19; one that does not slow down loses a twentieth.
constexpr auto SlotsPerFreeOne = 20U;
/// Below this, one slot is worth more than what a slowdown takes.
constexpr auto FewestSlotsToLeaveOneFree = 10U;

/// Between two decreases the effect of the first has to show: a round of calls, and no less than this.
constexpr auto ShortestRound = Duration(10'000);

} // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t coldLimit, std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_slowStartEnd(m_slots)
{
    m_limit = std::clamp(static_cast<double>(coldLimit), 1.0, m_slots);
}

auto AdaptiveLimit::fixedFor(std::uint32_t slots) -> AdaptiveLimit
{
    auto limit = AdaptiveLimit(slots, slots);
    limit.m_isFixed = true;
    limit.setSlots(slots);
    return limit;
}

auto AdaptiveLimit::slotsToUse(std::uint32_t slots) -> std::uint32_t
{
    if (slots < FewestSlotsToLeaveOneFree)
        return slots;
    return slots - (slots + SlotsPerFreeOne - 1) / SlotsPerFreeOne;
}

auto AdaptiveLimit::limit() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_limit);
}

auto AdaptiveLimit::setSlots(std::uint32_t slots) -> void
{
    const auto wasInSlowStart = m_slowStartEnd >= m_slots;
    m_slots = std::max(m_isFixed ? slotsToUse(slots) : slots, 1U);
    m_limit = m_isFixed ? m_slots : std::min(m_limit, m_slots);
    if (wasInSlowStart)
        m_slowStartEnd = m_slots;
}

auto AdaptiveLimit::didComplete(const Ended &ended, TimePoint now) -> void
{
    if (m_isFixed || ended.completion == Completion::Cancelled)
        return;
    if (isTrouble(ended)) {
        shrink(ended, now);
        return;
    }
    if (ended.completion == Completion::Succeeded)
        grow(ended.inFlight);
}

auto AdaptiveLimit::isTrouble(const Ended &ended) -> bool
{
    const auto failed = ended.completion == Completion::Failed ? 1.0 : 0.0;
    m_failureShare += (failed - m_failureShare) * FailureWeight;
    switch (ended.completion) {
    case Completion::Shed:
        return true;
    case Completion::TimedOut:
        // A call that came with next to no time left says nothing about the backend server.
        return ended.latency >= ended.serviceTime;
    case Completion::Failed:
        return m_failureShare >= FailureShareOfTrouble;
    case Completion::Succeeded:
    case Completion::Cancelled:
        break;
    }
    return false;
}

auto AdaptiveLimit::grow(std::uint32_t inFlight) -> void
{
    if (inFlight < m_limit * UsedShareForGrowth)
        return;
    const auto step = m_limit < m_slowStartEnd ? 1.0 : 1.0 / m_limit;
    m_limit = std::min(m_limit + step, m_slots);
}

auto AdaptiveLimit::shrink(const Ended &ended, TimePoint now) -> void
{
    if (now < m_mayShrinkFrom)
        return;
    m_limit = std::max(m_limit * DecreaseFactor, 1.0);
    m_slowStartEnd = m_limit;
    m_mayShrinkFrom = now + std::max(ended.serviceTime, ShortestRound);
}

} // namespace stairspur::admission
