#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::quarantine {

/// Settings of the quarantine of one node.
struct QuarantineSettings
{
    NodeId node;

    /// Number of crashes from which on a request is suspected: it runs while no other suspected request runs at the same
    /// backend server, so that the next crash identifies the one that caused it. One crash is not enough: all requests that
    /// ran beside the cause would be suspected as well, and would wait for each other without need.
    std::uint32_t suspectThreshold = 2;
    /// Number of crashes from which on a request is refused. Two requests may run together at both of the first two crashes by
    /// chance (both are sent on together after the first); at the third, the one that causes it is the only suspected one.
    std::uint32_t refuseThreshold = 3;
    /// Time for which a request is refused before it may run once more; doubled with each further crash, up to maxRefusalTime.
    /// Long enough that a service whose servers need a minute to start loses at most one of five to it; short enough that
    /// callers lose only minutes if the request was refused wrongly or the service has been fixed.
    Duration initialRefusalTime{300'000'000};
    /// Upper bound of the time for which a request is refused after one crash.
    Duration maxRefusalTime{3'600'000'000};

    /// Returns the time for which a request with `crashes` crashes is refused after the last one.
    [[nodiscard]] auto refusalTimeAfter(std::uint32_t crashes) const -> Duration
    {
        auto time = initialRefusalTime;
        for (auto n = refuseThreshold; n < crashes && time < maxRefusalTime; ++n)
            time *= 2;
        return std::min(time, maxRefusalTime);
    }

    /// Time after the last crash at which the record of a request that is not refused is removed. A client that retries a
    /// request does so within seconds or minutes.
    Duration suspicionTime{600'000'000};

    /// Upper bound of the number of requests that are recorded. At 150 bytes each, they take 0.6 MB; one crash adds about 60.
    std::size_t maxRecords = 4'096;
    /// Upper bound of the number of crashes that are recorded for one request.
    std::size_t maxCrashesPerRequest = 12;

    /// Number of peers to which a change is sent at once. If each receiver forwards it to 8 peers, all nodes of a service but
    /// a share of e^-8 receive it (rumor mongering, Demers et al., PODC 1987); the others receive it with the next digest.
    std::uint32_t fanOut = 8;
    /// Time between two digests that are sent to a random peer, while any request is suspected or refused.
    Duration digestInterval{1'000'000};
    /// Time after its start, or after a gap between two ticks, in which a node sends digests even if it has no records.
    Duration catchUpTime{10'000'000};
    /// Time between two digests during catchUpTime. If all nodes of a service but one start at once, all of them have the
    /// records of that one within three seconds; with one digest a second, only 12 of 15 have.
    Duration catchUpInterval{250'000};
    /// Gap between two ticks above which the process is taken to have been suspended: three times the longest regular time
    /// between two ticks.
    Duration maxTickGap{3'000'000};
    /// Delay with which complete responses that clear requests of a single crash are sent to peers in one batch. Those that
    /// clear a suspected or refused request are sent at once.
    Duration clearanceDelay{20'000};
    /// Time for which a complete response clears its request also of crashes that are reported after it. The report of a crash
    /// may arrive after the next run of the request, and a request that was just served does not crash servers.
    Duration recentAnswerTime{2'000'000};
    /// Upper bound of a payload, in bytes. It leaves room for the envelope in a datagram of 1400 bytes.
    std::size_t maxPayloadBytes = 1'200;
    /// Upper bound of the number of datagrams that are sent in reply to one digest.
    std::uint32_t maxDatagramsPerDigest = 4;
};

} // namespace stairspur::quarantine
