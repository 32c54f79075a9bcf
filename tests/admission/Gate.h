#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

namespace stairspur::admission::test {

inline constexpr auto operator""_ms(unsigned long long n) -> Duration
{
    return Duration(static_cast<Duration::rep>(n) * 1000);
}

/// A controller with a clock and a random source of its own, and what became of each call.
struct Gate
{
    explicit Gate(const AdmissionSettings &settings, std::uint64_t seed = 1)
        : controller(settings)
        , random(seed)
    {}

    auto offer(CallId id, Level level, Duration remaining = 2000_ms) -> Progress
    {
        return note(controller.offer({id, level, now + remaining}, now, random));
    }

    auto complete(CallId id, Completion completion = Completion::Succeeded,
                  Duration latency = 10_ms) -> Progress
    {
        running.erase(std::find(running.begin(), running.end(), id));
        return note(controller.didComplete(id, completion, latency, now, random));
    }

    /// Ends the call that has run longest.
    auto completeOldest(Completion completion = Completion::Succeeded, Duration latency = 10_ms)
            -> Progress
    {
        return complete(running.front(), completion, latency);
    }

    auto pass(Duration time) -> Progress
    {
        now += time;
        return note(controller.didPassTime(now, random));
    }

    auto note(Progress progress) -> Progress
    {
        for (auto it : progress.dispatch)
            running.push_back(it);
        for (const auto &it : progress.refuse)
            refused[it.id] = it.reason;
        return progress;
    }

    AdmissionController controller;
    Random random;
    TimePoint now{1000_ms};
    std::vector<CallId> running; ///< In the order of dispatch.
    std::map<CallId, Reason> refused;
};

/// A gate whose limit stands at `slots` and whose service time is known to be 10 ms.
inline auto warmGate(std::uint32_t slots, std::uint32_t maxQueue = 256) -> Gate
{
    auto settings = AdmissionSettings();
    settings.coldLimit = slots;
    settings.reportedSlots = slots;
    settings.maxQueue = maxQueue;
    auto gate = Gate(settings);
    gate.offer(1'000'000, makeLevel(0, 0));
    gate.complete(1'000'000);
    return gate;
}

} // namespace stairspur::admission::test
