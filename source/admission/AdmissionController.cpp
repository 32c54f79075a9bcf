#include <stairspur/admission/AdmissionController.h>

#include <utility>

#include "State.h"

namespace stairspur::admission {

AdmissionController::AdmissionController(const AdmissionSettings &settings)
    : m_state(std::make_unique<State>(settings))
{}

AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController &&) noexcept = default;
auto AdmissionController::operator=(AdmissionController &&) noexcept
        -> AdmissionController & = default;

auto AdmissionController::offer(const CallOffer &offer, TimePoint now, Random &random)
        -> AdmissionActions
{
    return m_state->offer(offer, now, random);
}

auto AdmissionController::didComplete(CallId id, Completion completion, Duration latency,
                                      TimePoint now, Random &random) -> AdmissionActions
{
    return m_state->didComplete(id, completion, latency, now, random);
}

auto AdmissionController::cancel(CallId id, TimePoint now, Random &random) -> AdmissionActions
{
    return m_state->cancel(id, now, random);
}

auto AdmissionController::advanceTo(TimePoint now, Random &random) -> AdmissionActions
{
    return m_state->advanceTo(now, random);
}

auto AdmissionController::setReportedSlots(std::uint32_t slots) -> void
{
    m_state->setReportedSlots(slots);
}

auto AdmissionController::setRateLimit(std::optional<double> perSecond, TimePoint now) -> void
{
    m_state->setRateLimit(perSecond, now);
}

auto AdmissionController::didNotSend() -> void
{
    m_state->didNotSend();
}

auto AdmissionController::setMaxQueue(std::uint32_t maxQueue) -> void
{
    m_state->setMaxQueue(maxQueue);
}

auto AdmissionController::didReplaceBackend() -> void
{
    m_state->didReplaceBackend();
}

auto AdmissionController::setDeeperFloors(std::vector<Level> floors,
                                          std::vector<PathFloor> pathFloors) -> void
{
    m_state->setDeeperFloors(std::move(floors), std::move(pathFloors));
}

auto AdmissionController::refuseWaiting(Reason reason, TimePoint now, Random &random)
        -> AdmissionActions
{
    return m_state->refuseWaiting(reason, now, random);
}

auto AdmissionController::startDraining(TimePoint now, Random &random) -> AdmissionActions
{
    return m_state->startDraining(now, random);
}

auto AdmissionController::inFlight() const -> std::uint32_t
{
    return m_state->inFlight();
}

auto AdmissionController::queued() const -> std::uint32_t
{
    return m_state->queued();
}

auto AdmissionController::report(TimePoint now) -> LoadReport
{
    return m_state->report(now);
}

} // namespace stairspur::admission
