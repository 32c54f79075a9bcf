#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

/// The gate's decisions: who runs, who waits, who is refused. Pure: time and randomness are handed in.
namespace stairspur::admission {

struct AdmissionSettings
{
    std::uint32_t maxQueue = 256;
    std::uint32_t coldLimit = 4; ///< Limit of a backend server that has just started.
    /// The backend server runs as many calls at once as it reports: the limit follows that number from the start on, a
    /// little below it, and nothing is learnt.
    bool trustsReportedSlots = false;
    /// Upper bound of the limit, as the backend server reports it.
    std::uint32_t reportedSlots = 16;
    Duration retryAfterBase{100'000}; ///< Retry-After of the mildest overload.
    Duration retryAfterMax{10'000'000};
};

/// A call that asks for a place.
struct CallOffer
{
    CallId id = 0;
    Level level;
    TimePoint deadline;
    PathKey path = NoPath;
    /// It belongs to a request that already runs: floors of deeper services do not refuse it any more.
    bool hasBegun = false;
    /// Calls of this class and path that its root request makes altogether.
    std::uint32_t callsPerRoot = 1;

    [[nodiscard]] auto kind() const -> FloorKey { return {level.rank(), path}; }

    /// The floors that bind it. Those of deeper services bind a request only until it runs: after that they would
    /// waste what it has cost.
    [[nodiscard]] auto floorKey() const -> FloorKey
    {
        return {level.rank(), hasBegun ? NoPath : path};
    }
};

/// A call that the controller has given up on. It gets its final answer at once.
struct Refusal
{
    CallId id = 0;
    Reason reason = Reason::None;
    Duration retryAfter{0};
};

/// What the gate has to do now.
struct Progress
{
    std::vector<CallId> dispatch; ///< Send these to the backend server.
    std::vector<Refusal> refuse;  ///< Answer these `not-run`: none of them has been dispatched.
};

/// How a dispatched call ended, as far as the limit learns from it.
enum class Completion {
    Succeeded,
    Failed, ///< An answer that tells of trouble, such as 5xx.
    Shed,   ///< The backend server refused for overload.
    TimedOut,
    Cancelled, ///< Says nothing about the backend server.
};

class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionSettings &settings);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController(AdmissionController &&) noexcept;
    auto operator=(const AdmissionController &) -> AdmissionController & = delete;
    auto operator=(AdmissionController &&) noexcept -> AdmissionController &;

    /// Takes a call, whose id names no other call here. It is among `dispatch` or `refuse`, or else it waits; lower calls may be refused in its favour.
    auto offer(const CallOffer &offer, TimePoint now, Random &random) -> Progress;

    /// A dispatched call has ended after `latency` at the backend server.
    auto didComplete(CallId id, Completion completion, Duration latency, TimePoint now,
                     Random &random) -> Progress;

    /// The caller is gone: a waiting call is dropped without a refusal. For a dispatched one call didComplete() too,
    /// once the backend server has let go of it.
    auto cancel(CallId id, TimePoint now, Random &random) -> Progress;

    /// Refuses what can no longer be served in time. Call every few milliseconds while calls wait.
    auto didPassTime(TimePoint now, Random &random) -> Progress;

    /// The backend server reports another number of slots.
    auto setReportedSlots(std::uint32_t slots) -> void;

    /// Another bound for the calls that wait, from a newer configuration. Those above it leave with the next event.
    auto setMaxQueue(std::uint32_t maxQueue) -> void;

    /// Another backend server has taken the place of the former one, or it has restarted: the limit starts cold, and what
    /// was learnt of its service time is forgotten. Calls that still run at the former one count until they end.
    auto didReplaceBackend() -> void;

    /// The greatest floor of the deeper services, by class rank and by path, for the next reports and admissions. Tell it again at
    /// least twice a second, changed or not: floors that nobody confirms lapse after one second.
    auto setDeeperFloors(std::vector<Level> floors, std::vector<PathFloor> pathFloors = {}) -> void;

    /// Refuses all calls that wait now. Later ones are offered as before.
    auto refuseWaiting(Reason reason, TimePoint now, Random &random) -> Progress;

    /// Refuses new and waiting calls from now on; running ones end.
    auto startDraining(TimePoint now, Random &random) -> Progress;

    [[nodiscard]] auto inFlight() const -> std::uint32_t;
    [[nodiscard]] auto queued() const -> std::uint32_t;

    /// What answers tell the entries. Each report has a greater sequence than the one before.
    auto report(TimePoint now) -> LoadReport;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace stairspur::admission

template <>
inline constexpr auto stairspur::enumNames<stairspur::admission::Completion> =
        std::array<std::string_view, 5>{"succeeded", "failed", "shed", "timed-out", "cancelled"};
