#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include <stairspur/core/Time.h>

namespace stairspur::standins {

/// Calls of one kind: from one caller, in one class, to one service, at a mean rate.
struct StreamSettings
{
    std::string name;
    std::string bearerKey; ///< Empty: none is sent.
    std::string className; ///< Empty: the caller's first.
    std::string service;
    std::vector<std::string> path; ///< Deeper services: each calls the next.
    double rate = 0;               ///< Calls a second, Poisson.
};

/// What a stand-in caller is told by its flags.
struct CallerSettings
{
    std::vector<boost::asio::ip::tcp::endpoint>
            targets;       ///< Entries, or backend servers when `isDirect`.
    bool isDirect = false; ///< No stairspur in between: answers carry no outcome.
    std::vector<StreamSettings> streams;
    std::set<std::string> keyed;   ///< Services whose calls carry an Idempotency-Key.
    std::set<std::string> mayLose; ///< Targets ("address:port") that the run takes down on purpose.
    double seconds = 10;
    Duration timeout{2'000'000};
    Duration grace{
            2'000'000}; ///< Beyond the timeout, for an answer to come late rather than never.
    std::uint32_t retries = 0;     ///< Attempts after the first.
    bool honoursRetryAfter = true; ///< False: comes back at once, as impatient clients do.
    std::size_t requestBytes = 128;
    std::uint32_t maxOutstanding = 20'000;
    std::uint32_t bucketMs = 250; ///< Width of the buckets of the timeline.
    std::string recordFile;       ///< One line for each call; empty: none.
    std::uint64_t seed = 1;
};

} // namespace stairspur::standins
