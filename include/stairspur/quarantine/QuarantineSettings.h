#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::quarantine {

/// What the quarantine of one node is set to.
struct QuarantineSettings
{
    NodeId node;

    /// Crashes from which on a request runs alone: no other suspect of so many runs at the same backend server meanwhile, so
    /// that the next crash tells which of them it was. One crash is not enough: it leaves all that ran beside the guilty one, which
    /// would wait for each other without need.
    std::uint32_t crashesToTrial = 2;
    /// Crashes from which on it is refused. By the second one two requests may have been together by chance (sent on
    /// together after the first); the third finds the guilty one alone.
    std::uint32_t crashesToRefuse = 3;
    /// How long it is refused before it may run once more, doubled with each further crash. Long enough that a service whose
    /// servers need a minute to start loses one of them in five at most; short enough that a wrong verdict, or a service that has been
    /// mended, costs its callers minutes.
    Duration firstHold{300'000'000};
    Duration longestHold{3'600'000'000};

    /// How long a request is refused after its last crash.
    [[nodiscard]] auto holdAfter(std::uint32_t crashes) const -> Duration
    {
        auto hold = firstHold;
        for (auto n = crashesToRefuse; n < crashes && hold < longestHold; ++n)
            hold *= 2;
        return std::min(hold, longestHold);
    }

    /// How long a suspicion lasts without another crash. A client that comes back does so within seconds or minutes.
    Duration suspicionTime{600'000'000};

    /// Requests that are remembered. At 150 bytes each it is 0.6 MB; a crash leaves some 60.
    std::size_t mostRecords = 4'096;
    /// Crashes of one request that are told apart.
    std::size_t mostCrashesOfOne = 12;

    /// Peers that are told something new at once. With 8 each who passes it on, all but e^-8 of a service hear of it (rumor
    /// mongering, Demers et al., PODC 1987); the rest with the next digest.
    std::uint32_t fanOut = 8;
    /// Between two comparisons with a random peer, while there is anything to compare.
    Duration digestInterval{1'000'000};
    /// So long a node asks its peers after its start, or after it stood still, even though it knows of nothing, and so often.
    /// Where all nodes but one start at once, all know its verdicts within three seconds (with one question a second, 12 of 15).
    Duration catchUpTime{10'000'000};
    Duration catchUpInterval{250'000};
    /// A gap between two ticks that means that the process did not run, three times the longest pause between two.
    Duration standstill{3'000'000};
    /// Answers that acquit requests of a single crash are told together; those that free a request that is on trial or refused
    /// are told at once.
    Duration answersPause{20'000};
    /// So long an answer speaks for its request against a crash that is heard of afterwards: the word of a crash may come
    /// later than the next run, and what was served a moment ago does not end servers.
    Duration answerMemory{2'000'000};
    /// Leaves room for the envelope in a datagram of 1400 bytes.
    std::size_t mostPayloadBytes = 1'200;
    /// Datagrams that answer one digest, at most.
    std::uint32_t recordDatagrams = 4;
};

} // namespace stairspur::quarantine
