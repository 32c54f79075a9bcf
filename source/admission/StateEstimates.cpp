#include <algorithm>
#include <cmath>

#include "State.h"

/// How much fits, and how long calls wait.
namespace stairspur::admission {

namespace {

/// The queue is bounded by the calls that can be dispatched within this many service times, but no less than
/// MinQueueBoundTime. In a longer queue, calls only wait for longer, and occupy slots of the services that made them
/// meanwhile.
constexpr auto QueueBoundInServiceTimes = 2;
constexpr auto MinQueueBoundTime = Duration(100'000);

/// Minimum of the queue bound, however slow the backend server is.
constexpr auto MinQueueBound = std::uint32_t{4};

/// Target wait under overload, as a share of the service time. It is long enough that no slot becomes idle until the
/// entries have received a new floor.
constexpr auto TargetShareOfServiceTime = 0.5;
constexpr auto MinTargetWait = Duration(5'000);
/// Calls that wait under overload at least where a rate limit is the bound, so that no token stays unused.
constexpr auto TargetCallsAtRateLimit = 2.0;

/// Maximum time for which the shortest queue lasts at a rate limit. A call that would wait for longer is better sent to
/// another upstream.
constexpr auto MaxShortQueueSeconds = 1.0;

/// Minimum share of the slots that remains for a waiting call beside later and more important ones. Their demand is an
/// estimate.
constexpr auto MinRemainingShare = 0.2;

} // namespace

auto AdmissionController::State::hasRoom() const -> bool
{
    return inFlight() < m_limit.limit() && m_rate.hasToken();
}

auto AdmissionController::State::capacity() const -> double
{
    const auto limit = static_cast<double>(m_limit.limit());
    const auto serviceTime = std::chrono::duration<double>(m_serviceTime.mean()).count();
    if (!m_rate.isSet() || serviceTime <= 0)
        return limit;
    return std::min(limit, m_rate.perSecond() * serviceTime);
}

auto AdmissionController::State::isBoundByRate() const -> bool
{
    return m_rate.isSet() && (capacity() < m_limit.limit() || !m_rate.hasToken());
}

auto AdmissionController::State::targetWait() const -> Duration
{
    const auto serviceTime = static_cast<double>(m_serviceTime.mean().count());
    const auto share = Duration(std::llround(TargetShareOfServiceTime * serviceTime));
    const auto target = std::max(MinTargetWait, share);
    if (!m_rate.isSet())
        return target;
    const auto ofCalls = std::chrono::duration<double>(TargetCallsAtRateLimit / m_rate.perSecond());
    return std::max(target, std::chrono::duration_cast<Duration>(ofCalls));
}

auto AdmissionController::State::waitBehind(std::uint32_t ahead) const -> Duration
{
    const auto untilSlot = m_serviceTime.mean() * (ahead + 1) / m_limit.limit();
    return std::max(untilSlot, m_rate.timeUntil(ahead + 1));
}

auto AdmissionController::State::waitAtFloor() const -> Duration
{
    // A call at the floor is overtaken by all calls that arrive while it waits.
    const auto overtakingShare = m_floor.slotsAboveFloor() / capacity();
    const auto remainingShare = std::max(1.0 - overtakingShare, MinRemainingShare);
    const auto wait = static_cast<double>(waitBehind(queued()).count()) / remainingShare;
    return Duration(static_cast<Duration::rep>(wait));
}

auto AdmissionController::State::queueBound() const -> std::uint32_t
{
    const auto serviceTime = m_serviceTime.mean();
    if (serviceTime <= Duration(0) && !m_rate.isSet())
        return m_settings.maxQueue;
    const auto maxWait = std::max(serviceTime * QueueBoundInServiceTimes, MinQueueBoundTime);
    auto calls = static_cast<double>(m_settings.maxQueue);
    if (serviceTime > Duration(0))
        calls = static_cast<double>(maxWait.count()) * m_limit.limit()
                / static_cast<double>(serviceTime.count());
    auto minCalls = static_cast<double>(MinQueueBound);
    if (m_rate.isSet()) {
        const auto perSecond = m_rate.perSecond();
        calls = std::min(calls, std::chrono::duration<double>(maxWait).count() * perSecond);
        minCalls = std::clamp(MaxShortQueueSeconds * perSecond, 1.0, minCalls);
    }
    const auto maxCalls = static_cast<double>(m_settings.maxQueue);
    return static_cast<std::uint32_t>(std::clamp(calls, std::min(minCalls, maxCalls), maxCalls));
}

} // namespace stairspur::admission
