#include "AdaptiveLimit.h"

#include <algorithm>

namespace stairspur::admission {

namespace {

constexpr auto DecreaseFactor = 0.8;

/// Share of the limit that must be in use before the limit grows. While less is in use, a successful call doesn't show
/// that the backend server can run more calls than the limit.
constexpr auto UsedShareForGrowth = 0.5;

/// Share of failed answers from which on failures count as overload. Single errors are those of the application itself.
constexpr auto FailureShareAtOverload = 0.5;
/// Weight of one call in the share of failed answers.
constexpr auto FailureWeight = 0.05;

/// One slot in twenty stays free, rounded up. Two overloaded backend servers of 20 slots answered 1.12 and 1.26 times as
/// many calls in the same two seconds with 19 slots in use. A backend server that doesn't slow down loses a twentieth of
/// its capacity.
constexpr auto SlotsPerFreeSlot = 20U;
/// Number of slots below which no slot stays free: one slot is then a larger share than a slowdown costs.
constexpr auto MinSlotsForFreeSlot = 10U;

/// Minimum time between two decreases. The effect of the first becomes visible after one round of calls.
constexpr auto MinDecreaseInterval = Duration(10'000);

} // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t initialLimit, std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_slowStartEnd(m_slots)
{
    m_limit = std::clamp(static_cast<double>(initialLimit), 1.0, m_slots);
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
    if (slots < MinSlotsForFreeSlot)
        return slots;
    return slots - (slots + SlotsPerFreeSlot - 1) / SlotsPerFreeSlot;
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

auto AdaptiveLimit::didComplete(const EndedCall &ended, TimePoint now) -> void
{
    if (m_isFixed || ended.completion == Completion::Cancelled)
        return;
    if (isOverload(ended)) {
        shrink(ended, now);
        return;
    }
    if (ended.completion == Completion::Succeeded)
        grow(ended.inFlight);
}

auto AdaptiveLimit::isOverload(const EndedCall &ended) -> bool
{
    const auto failed = ended.completion == Completion::Failed ? 1.0 : 0.0;
    m_failureShare += (failed - m_failureShare) * FailureWeight;
    switch (ended.completion) {
    case Completion::Shed:
        return true;
    case Completion::TimedOut:
        // The deadline of a call may leave less time than a call usually takes. Its timeout shows no overload.
        return ended.latency >= ended.serviceTime;
    case Completion::Failed:
        return m_failureShare >= FailureShareAtOverload;
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

auto AdaptiveLimit::shrink(const EndedCall &ended, TimePoint now) -> void
{
    if (now < m_nextDecreaseAllowedAt)
        return;
    m_limit = std::max(m_limit * DecreaseFactor, 1.0);
    m_slowStartEnd = m_limit;
    m_nextDecreaseAllowedAt = now + std::max(ended.serviceTime, MinDecreaseInterval);
}

} // namespace stairspur::admission
