#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace stairspur::standins {

/// What ran at a backend server: tests compare it with what callers were told.
struct RunRecord
{
    std::uint64_t total = 0;
    std::unordered_map<std::string, std::uint64_t> keys;   ///< Runs by Idempotency-Key.
    std::unordered_map<std::string, std::uint64_t> nonces; ///< Runs by the request's nonce.

    /// Counts a run that begins. How often this key, or else this nonce, has run by now.
    auto begin(const std::string &key, const std::string &nonce) -> std::uint64_t
    {
        ++total;
        const auto runsOfNonce = ++nonces[nonce];
        return key.empty() ? runsOfNonce : ++keys[key];
    }
};

/// What a backend server did. Times in microseconds.
struct BackendStatistics
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< Runs that ended with 5xx.
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;   ///< Refused since their timeout had passed.
    std::uint64_t cancelled = 0; ///< Callers that left, waiting or running.
    std::uint64_t deeperFailed = 0;
    std::uint64_t deeperWrong = 0; ///< Deeper answers that were not this call's own, or not whole.
    std::int64_t busyUs = 0;       ///< Slot time, all runs.
    std::int64_t cancelledBusyUs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(BackendStatistics, answered, failed, shed, expired, cancelled,
                                   deeperFailed, deeperWrong, busyUs, cancelledBusyUs)
};

} // namespace stairspur::standins
