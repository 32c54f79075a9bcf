#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

/// Decides at the gate which calls run, which wait and which are refused. The module reads no clock and no random source
/// of its own: the caller passes the time and the random numbers. All durations are in microseconds.
namespace stairspur::admission {

/// Settings of an AdmissionController.
struct AdmissionSettings
{
    std::uint32_t maxQueue = 256;   ///< Upper bound of the waiting calls.
    std::uint32_t initialLimit = 4; ///< Limit of a backend server that has just started.
    /// The limit is derived from the reported slots alone, from the start on, and stays a little below them. The outcome of
    /// calls doesn't change it.
    bool followsReportedSlots = false;
    /// Calls that the backend server reports to run at once: the upper bound of the limit.
    std::uint32_t reportedSlots = 16;
    Duration retryAfterBase{100'000};   ///< Retry-After at the mildest overload.
    Duration retryAfterMax{10'000'000}; ///< Upper bound of Retry-After.
};

/// A call that requests a slot.
struct CallOffer
{
    CallId id = 0;
    Level level;
    TimePoint deadline;
    PathKey path = NoPath;
    /// Whether a running call makes it. Floors of deeper services no longer refuse such a call.
    bool isDeeperCall = false;
    /// Total of the calls of this class and path that its root request makes.
    std::uint32_t callsPerRoot = 1;

    /// Returns the class and path by which costs are recorded.
    [[nodiscard]] auto kind() const -> FloorKey { return {level.rank(), path}; }

    /// Returns the class and path whose floors apply to the call. Path floors apply only until its root request runs:
    /// a refusal after that would waste the work already done for the request.
    [[nodiscard]] auto floorKey() const -> FloorKey
    {
        return {level.rank(), isDeeperCall ? NoPath : path};
    }
};

/// A call that the controller refuses. The gate sends its final answer at once.
struct Refusal
{
    CallId id = 0;
    Reason reason = Reason::None;
    Duration retryAfter{0}; ///< Time after which the caller may retry.
};

/// The actions that follow from one event, which the gate carries out at once.
struct AdmissionActions
{
    std::vector<CallId> dispatch; ///< Calls to send to the backend server.
    std::vector<Refusal> refuse;  ///< Calls to answer with `not-run`; none of them was dispatched.
};

/// The outcome of a dispatched call, as far as the limit depends on it.
enum class Completion {
    Succeeded,
    Failed, ///< The answer reports an error, such as 5xx.
    Shed,   ///< The backend server refused the call because of overload.
    TimedOut,
    Cancelled, ///< Gives no information about the backend server.
};

/// Admission control of one backend server: keeps the concurrency limit, the waiting queue and the floors.
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionSettings &settings);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController(AdmissionController &&) noexcept;
    auto operator=(const AdmissionController &) -> AdmissionController & = delete;
    auto operator=(AdmissionController &&) noexcept -> AdmissionController &;

    /// Accepts a call, whose id is unique among the waiting and running calls. The call is among `dispatch` or `refuse`,
    /// or else it waits. Calls of lower levels may be refused in its favour.
    auto offer(const CallOffer &offer, TimePoint now, Random &random) -> AdmissionActions;

    /// Records that a dispatched call ended after `latency` at the backend server.
    auto didComplete(CallId id, Completion completion, Duration latency, TimePoint now,
                     Random &random) -> AdmissionActions;

    /// Records that the caller has closed the call. A waiting call is dropped without a refusal. For a dispatched call,
    /// didComplete() must follow when the backend server has ended it.
    auto cancel(CallId id, TimePoint now, Random &random) -> AdmissionActions;

    /// Refuses the waiting calls that can no longer finish before their deadlines. Must be called every few milliseconds
    /// while calls wait.
    auto advanceTo(TimePoint now, Random &random) -> AdmissionActions;

    /// Sets the number of slots that the backend server reports.
    auto setReportedSlots(std::uint32_t slots) -> void;

    /// Sets the rate limit that the backend server states, in calls per second; nothing if it states none. All calls that
    /// are dispatched from `now` on keep to it.
    auto setRateLimit(std::optional<double> perSecond, TimePoint now) -> void;

    /// Records that nothing of a dispatched call was sent, so that it doesn't count for the rate limit. didComplete() must
    /// follow.
    auto didNotSend() -> void;

    /// Sets the bound of the waiting calls, as a newer configuration has it. Calls above the bound are refused at the
    /// next event.
    auto setMaxQueue(std::uint32_t maxQueue) -> void;

    /// Records that the backend server was replaced or has restarted. The limit returns to its initial value, and the
    /// measured service times are discarded. Calls that still run at the former process count until they end.
    auto didReplaceBackend() -> void;

    /// Sets the greatest floors of the deeper services, by class rank and by path, for the next reports and admissions.
    /// Must be called at least twice a second, also without a change: floors expire one second after the last call.
    auto setDeeperFloors(std::vector<Level> floors, std::vector<PathFloor> pathFloors = {}) -> void;

    /// Refuses all waiting calls. Later calls are admitted as before.
    auto refuseWaiting(Reason reason, TimePoint now, Random &random) -> AdmissionActions;

    /// Refuses all new and waiting calls from now on. Running calls continue to their end.
    auto startDraining(TimePoint now, Random &random) -> AdmissionActions;

    /// Returns the number of running calls.
    [[nodiscard]] auto inFlight() const -> std::uint32_t;

    /// Returns the number of waiting calls.
    [[nodiscard]] auto queued() const -> std::uint32_t;

    /// Returns the report that answers carry to the entries. Each report has a greater sequence than the one before.
    auto report(TimePoint now) -> LoadReport;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace stairspur::admission

template <>
inline constexpr auto stairspur::enumNames<stairspur::admission::Completion> =
        std::array<std::string_view, 5>{"succeeded", "failed", "shed", "timed-out", "cancelled"};
