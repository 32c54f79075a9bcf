#pragma once

#include <cstdint>
#include <memory>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::overload {

/// One try of a client, with all the calls that it causes.
struct RootRequest
{
    ClassRank rank = 0;
    Level level;
    PathKey path = NoPath; ///< Set where floors are told by path.
    TimePoint deadline;
    TimePoint issuedAt;           ///< The client's first try.
    std::uint32_t dispatches = 0; ///< Calls sent to backend servers, over the whole chain.
    Duration work{0};             ///< Done for it by backend servers until it ended.
    Duration lateWork{0};         ///< Done after it had ended.
    bool hasEnded = false;

    auto didWork(Duration time) -> void { (hasEnded ? lateWork : work) += time; }
};

using RootRequestPtr = std::shared_ptr<RootRequest>;

} // namespace stairspur::overload
