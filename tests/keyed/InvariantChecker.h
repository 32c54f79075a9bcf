#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/KeyRecord.h>

namespace stairspur::keyed::test {

/// One attempt as its caller observes it.
struct ObservedAttempt
{
    std::string key;
    std::uint64_t fingerprint = 0;
    TimePoint begin;
    TimePoint end = TimePoint::max();
    bool isReplay = false;
    RecordedAnswer answer{};
};

/// One execution in a backend server.
struct ObservedRun
{
    std::string key;
    std::uint64_t fingerprint = 0;
    TimePoint time;
    std::vector<std::uint64_t> attempts{}; ///< Attempts that waited for this run.
    std::string payload{};
};

/// Records all attempts and runs, and checks them against the invariants.
struct InvariantChecker
{
    std::map<std::uint64_t, ObservedAttempt> attempts;
    std::vector<ObservedRun> runs;

    /// Returns the first violation, or an empty string.
    [[nodiscard]] auto findViolation() const -> std::string
    {
        auto counts = std::map<std::string, int>();
        for (const auto &it : runs) {
            if (++counts[it.key] > 1)
                return "key " + it.key + " ran twice";
        }
        for (const auto &[id, it] : attempts) {
            auto violation = std::string();
            if (it.end == TimePoint::max())
                continue;
            if (it.answer.outcome == Outcome::NotRun)
                violation = violationOfNotRun(id, it);
            if (it.answer.outcome == Outcome::Answered || it.answer.outcome == Outcome::Failed)
                violation = violationOfAnswer(it);
            if (!violation.empty())
                return violation;
        }
        return {};
    }

private:
    /// Returns the violation of a `not-run` answer, or an empty string. `not-run` means that at some moment of this
    /// attempt the request had not run, and that no attempt that had ended before can still run it. Only a concurrent
    /// or a later attempt may run it.
    [[nodiscard]] auto violationOfNotRun(std::uint64_t id, const ObservedAttempt &attempt) const
            -> std::string
    {
        for (const auto &run : runs) {
            if (run.key != attempt.key || run.fingerprint != attempt.fingerprint)
                continue;
            if (run.time < attempt.begin)
                return "not-run was reported for key " + run.key + ", which had run";
            const auto mayCause = [&](std::uint64_t other) {
                const auto it = attempts.find(other);
                return other != id && it != attempts.end() && it->second.end > attempt.begin;
            };
            if (std::none_of(run.attempts.begin(), run.attempts.end(), mayCause))
                return "not-run was reported for key " + run.key
                       + ", which an older attempt ran later";
            if (std::find(run.attempts.begin(), run.attempts.end(), id) != run.attempts.end())
                return "not-run was reported to an attempt that ran key " + run.key;
        }
        return {};
    }

    [[nodiscard]] auto violationOfAnswer(const ObservedAttempt &attempt) const -> std::string
    {
        const auto it = std::find_if(runs.begin(), runs.end(), [&](const auto &run) {
            return run.key == attempt.key && run.fingerprint == attempt.fingerprint;
        });
        if (it == runs.end())
            return "key " + attempt.key + " was answered without having run this request";
        const auto isReplayWithoutPayload =
                attempt.isReplay && !attempt.answer.isPayloadKept && attempt.answer.payload.empty();
        if (attempt.answer.payload != it->payload && !isReplayWithoutPayload)
            return "key " + attempt.key + " got a different answer than its run returned";
        return {};
    }
};

} // namespace stairspur::keyed::test
