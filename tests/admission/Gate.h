#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

namespace stairspur::admission::test {

inline constexpr auto operator""_ms(unsigned long long n) -> Duration
{
    return Duration(static_cast<Duration::rep>(n) * 1000);
}

/// An admission controller with its own clock and random source, which records the outcome of each call.
struct Gate
{
    explicit Gate(const AdmissionSettings &settings, std::uint64_t seed = 1)
        : controller(settings)
        , random(seed)
    {}

    /// Offers a call whose deadline is in `remaining`.
    auto offer(CallId id, Level level, Duration remaining = 2000_ms) -> AdmissionActions
    {
        levels[id] = level;
        return record(controller.offer({id, level, now + remaining}, now, random));
    }

    /// Ends a running call.
    auto complete(CallId id, Completion completion = Completion::Succeeded,
                  Duration latency = 10_ms) -> AdmissionActions
    {
        ended.insert(id);
        running.erase(std::find(running.begin(), running.end(), id));
        return record(controller.didComplete(id, completion, latency, now, random));
    }

    /// Ends the call that has run for the longest time.
    auto completeOldest(Completion completion = Completion::Succeeded, Duration latency = 10_ms)
            -> AdmissionActions
    {
        return complete(running.front(), completion, latency);
    }

    /// Returns the lowest level among the waiting calls; ClosedLevel when no call waits.
    [[nodiscard]] auto lowestWaiting() const -> Level
    {
        auto lowest = ClosedLevel;
        for (const auto &[id, level] : levels) {
            const auto isRunning = std::find(running.begin(), running.end(), id) != running.end();
            if (!isRunning && !refused.contains(id) && !ended.contains(id))
                lowest = std::min(lowest, level);
        }
        return lowest;
    }

    /// Advances the clock by `time`.
    auto advance(Duration time) -> AdmissionActions
    {
        now += time;
        return record(controller.advanceTo(now, random));
    }

    /// Records the outcome of the calls in `actions`.
    auto record(AdmissionActions actions) -> AdmissionActions
    {
        for (auto it : actions.dispatch)
            running.push_back(it);
        for (const auto &it : actions.refuse)
            refused[it.id] = it.reason;
        return actions;
    }

    AdmissionController controller;
    Random random;
    TimePoint now{1000_ms};
    std::vector<CallId> running; ///< Running calls in the order of dispatch.
    std::map<CallId, Reason> refused;
    std::map<CallId, Level> levels;
    std::set<CallId> ended;
};

/// Returns a gate whose limit is `slots` and whose measured service time is 10 ms.
inline auto warmGate(std::uint32_t slots, std::uint32_t maxQueue = 256) -> Gate
{
    auto settings = AdmissionSettings();
    settings.initialLimit = slots;
    settings.reportedSlots = slots;
    settings.maxQueue = maxQueue;
    auto gate = Gate(settings);
    gate.offer(1'000'000, makeLevel(0, 0));
    gate.complete(1'000'000);
    return gate;
}

} // namespace stairspur::admission::test
