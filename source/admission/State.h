#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

#include "AdaptiveLimit.h"
#include "DeeperFloors.h"
#include "FloorEstimator.h"
#include "RequestCosts.h"
#include "RetryAfter.h"
#include "ServiceTime.h"
#include "WaitingQueue.h"

namespace stairspur::admission {

/// The parts of the decision at work together. The order of the queue alone decides who is served and who is refused;
/// limit, service time and floor only say how many.
class AdmissionController::State
{
public:
    explicit State(const AdmissionSettings &settings);

    auto offer(const CallOffer &offer, TimePoint now, Random &random) -> Progress;
    auto didComplete(CallId id, Completion completion, Duration latency, TimePoint now,
                     Random &random) -> Progress;
    auto cancel(CallId id, TimePoint now, Random &random) -> Progress;
    auto didPassTime(TimePoint now, Random &random) -> Progress;
    auto refuseWaiting(Reason reason, TimePoint now, Random &random) -> Progress;
    auto startDraining(TimePoint now, Random &random) -> Progress;
    auto report(TimePoint now) -> LoadReport;

    auto didReplaceBackend() -> void;
    auto setMaxQueue(std::uint32_t maxQueue) -> void { m_settings.maxQueue = maxQueue; }
    auto setReportedSlots(std::uint32_t slots) -> void
    {
        m_settings.reportedSlots = slots;
        m_limit.setSlots(slots);
    }
    auto setDeeperFloors(std::vector<Level> floors, std::vector<PathFloor> pathFloors) -> void
    {
        m_deeper.set(std::move(floors), std::move(pathFloors));
    }

    [[nodiscard]] auto inFlight() const -> std::uint32_t;
    [[nodiscard]] auto queued() const -> std::uint32_t { return m_queue.size(); }

private:
    /// Why a call is refused before it asks for a place; Reason::None when it is not.
    [[nodiscard]] auto refusalOf(const QueuedCall &call, TimePoint now) const -> Reason;

    /// Brings the queue into order after any change: dispatches, refuses what is hopeless, bounds the length. `newcomer`
    /// is the call that was just offered.
    auto settle(std::optional<CallId> newcomer, TimePoint now, Random &random, Progress &progress)
            -> void;
    auto refuseBelowDeeperFloors(Random &random, Progress &progress) -> void;
    auto dispatchFree(TimePoint now, Random &random, Progress &progress) -> void;
    auto refuseHopeless(TimePoint now, Random &random, Progress &progress) -> void;
    auto refuseOvertaken(Random &random, Progress &progress) -> void;
    auto boundQueue(std::optional<CallId> newcomer, Random &random, Progress &progress) -> void;
    /// The queue has no room for this call.
    auto noteLostPlace(const CallOffer &offer) -> void;
    auto refuse(CallId id, Reason reason, Random &random, Progress &progress) -> void;

    /// Time until a waiting call is dispatched that has `ahead` calls before it, while no place is free.
    [[nodiscard]] auto waitBehind(std::uint32_t ahead) const -> Duration;
    [[nodiscard]] auto waitAtFloor() const -> Duration;
    /// How long a call of this kind holds a place.
    [[nodiscard]] auto serviceTimeOf(FloorKey kind) const -> Duration;
    [[nodiscard]] auto orderOf(const CallOffer &offer) const -> ServingOrder;
    /// The own floors as levels, by class and, for the paths of which some levels yield, by path.
    auto addOwnFloors(LoadReport &report) const -> void;
    [[nodiscard]] auto isBelowDeeperFloor(const CallOffer &call) const -> bool;
    [[nodiscard]] auto queueBound() const -> std::uint32_t;

    /// Lets everything that follows time know of it. Call before any change.
    auto observe(TimePoint now) -> void;

    /// A call has left: the enforced floor may fall.
    auto didDropLoad() -> void;

    AdmissionSettings m_settings;
    AdaptiveLimit m_limit;
    ServiceTime m_serviceTime; ///< Of all calls.
    RequestCosts m_costs;
    WaitingQueue m_queue;
    FloorEstimator m_floor;
    /// Arriving calls below it are refused, unless they come before one that waits. Follows the floors that entries may
    /// still go by, but never falls while load only grows: what was refused must not be let in from others.
    ServingOrder m_enforcedFloor = LowestOrder;
    DeeperFloors m_deeper;
    RetryAfter m_retryAfter;
    std::unordered_map<CallId, FloorKey> m_running; ///< With the kind of each call.
    std::uint64_t m_sequence = 0;
    bool m_isDraining = false;
};

} // namespace stairspur::admission
