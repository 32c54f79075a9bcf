#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

#include "AdaptiveLimit.h"
#include "DeeperFloors.h"
#include "FloorEstimator.h"
#include "RateLimit.h"
#include "RequestCosts.h"
#include "RetryAfter.h"
#include "ServiceTime.h"
#include "WaitingQueue.h"

namespace stairspur::admission {

/// Implementation of the AdmissionController. The order of the queue alone decides which calls are served and which are
/// refused; limit, service time and floor decide only how many.
class AdmissionController::State
{
public:
    explicit State(const AdmissionSettings &settings);

    auto offer(const CallOffer &offer, TimePoint now, Random &random) -> AdmissionActions;
    auto didComplete(CallId id, Completion completion, Duration latency, TimePoint now,
                     Random &random) -> AdmissionActions;
    auto cancel(CallId id, TimePoint now, Random &random) -> AdmissionActions;
    auto advanceTo(TimePoint now, Random &random) -> AdmissionActions;
    auto refuseWaiting(Reason reason, TimePoint now, Random &random) -> AdmissionActions;
    auto startDraining(TimePoint now, Random &random) -> AdmissionActions;
    auto report(TimePoint now) -> LoadReport;

    auto didReplaceBackend() -> void;
    auto setMaxQueue(std::uint32_t maxQueue) -> void { m_settings.maxQueue = maxQueue; }
    auto setReportedSlots(std::uint32_t slots) -> void
    {
        m_settings.reportedSlots = slots;
        m_limit.setSlots(slots);
    }
    auto setRateLimit(std::optional<double> perSecond, TimePoint now) -> void
    {
        m_rate.set(perSecond, now);
    }
    auto didNotSend() -> void { m_rate.giveBack(); }
    auto setDeeperFloors(std::vector<Level> floors, std::vector<PathFloor> pathFloors) -> void
    {
        m_deeper.set(std::move(floors), std::move(pathFloors));
    }

    [[nodiscard]] auto inFlight() const -> std::uint32_t;
    [[nodiscard]] auto queued() const -> std::uint32_t { return m_queue.size(); }

private:
    /// Returns why a call is refused before it enters the queue; Reason::None when it may enter.
    [[nodiscard]] auto refusalOf(const QueuedCall &call, TimePoint now) const -> Reason;

    /// Processes the queue after any change: dispatches calls, refuses those that are too late, and bounds the length.
    /// `newCall` is the call that was just offered.
    auto processQueue(std::optional<CallId> newCall, TimePoint now, Random &random,
                      AdmissionActions &actions) -> void;
    auto refuseBelowDeeperFloors(Random &random, AdmissionActions &actions) -> void;
    auto dispatchFree(TimePoint now, Random &random, AdmissionActions &actions) -> void;
    /// Refuses the calls that are expected to end after their deadlines.
    auto refuseTooLate(TimePoint now, Random &random, AdmissionActions &actions) -> void;
    /// Refuses the calls that a full queue of greater ones has overtaken, and all calls of lower order.
    auto refuseOvertaken(Random &random, AdmissionActions &actions) -> void;
    auto boundQueue(std::optional<CallId> newCall, Random &random, AdmissionActions &actions)
            -> void;
    /// Raises the floor above a refused call if a running call makes it.
    auto raiseFloorIfDeeper(const CallOffer &offer) -> void;
    auto refuse(CallId id, Reason reason, Random &random, AdmissionActions &actions) -> void;

    /// Returns whether a call may be dispatched now: there is a free slot and a token.
    [[nodiscard]] auto hasRoom() const -> bool;
    /// Returns how many calls run at once on average when the backend server gets as many as it takes: the concurrency
    /// limit, or the rate limit times the service time (Little, 1961) if that is less.
    [[nodiscard]] auto capacity() const -> double;
    /// Returns whether the rate limit leaves less room than the concurrency limit.
    [[nodiscard]] auto isBoundByRate() const -> bool;
    /// Returns the wait that the queue is to have under overload.
    [[nodiscard]] auto targetWait() const -> Duration;
    /// Returns the time until a waiting call with `ahead` calls before it is dispatched, while there is no room.
    [[nodiscard]] auto waitBehind(std::uint32_t ahead) const -> Duration;
    /// Returns the expected wait of a call at the floor.
    [[nodiscard]] auto waitAtFloor() const -> Duration;
    /// Returns the time for which a call of this kind occupies a slot.
    [[nodiscard]] auto serviceTimeOf(FloorKey kind) const -> Duration;
    [[nodiscard]] auto orderOf(const CallOffer &offer) const -> ServingOrder;
    /// Adds the floors to a report: by class, and by path for deeper services and for paths with yielding levels.
    auto addFloors(LoadReport &report) const -> void;
    [[nodiscard]] auto isBelowDeeperFloor(const CallOffer &call) const -> bool;
    [[nodiscard]] auto queueBound() const -> std::uint32_t;

    /// Updates everything that depends on time. Must be called before any change.
    auto observe(TimePoint now) -> void;

    /// Lowers the enforced floor as far as possible, since a call has left.
    auto didReduceLoad() -> void;

    AdmissionSettings m_settings;
    AdaptiveLimit m_limit;
    RateLimit m_rate;
    ServiceTime m_serviceTime; ///< Service time over all calls.
    RequestCosts m_costs;
    WaitingQueue m_queue;
    FloorEstimator m_floor;
    /// Floor below which arriving calls are refused while no slot is free, unless they are served before a waiting call.
    /// It follows the floors that entries may still use, but doesn't fall while load only grows: a level that was refused
    /// to some callers must not be admitted from others.
    ServingOrder m_enforcedFloor = LowestOrder;
    DeeperFloors m_deeper;
    RetryAfter m_retryAfter;
    std::unordered_map<CallId, FloorKey> m_running; ///< Kind of each running call.
    std::uint64_t m_sequence = 0;
    bool m_isDraining = false;
};

} // namespace stairspur::admission
