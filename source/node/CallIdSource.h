#pragma once

#include <array>
#include <cstddef>

#include <stairspur/core/Identifiers.h>

namespace stairspur::node {

/// Where the ids of dispatched calls come from. Whoever knows the id of a running call may make deeper calls in its name,
/// so that ids are a secret between gate and backend server; tests inject ids that they know.
class CallIdSource
{
public:
    CallIdSource() = default;
    virtual ~CallIdSource() = default;
    CallIdSource(const CallIdSource &) = delete;
    CallIdSource(CallIdSource &&) = delete;
    auto operator=(const CallIdSource &) -> CallIdSource & = delete;
    auto operator=(CallIdSource &&) -> CallIdSource & = delete;

    /// An id that this source has not given before.
    virtual auto next() -> CallId = 0;
};

/// Ids from OpenSSL's random generator: ids that were seen tell nothing of those to come. (The decisions' generator, a
/// Mersenne Twister, can be computed from 312 of its numbers.) Belongs to one thread. Throws Error when there is no
/// randomness.
class SecureCallIds : public CallIdSource
{
public:
    auto next() -> CallId override;

private:
    /// One request to the generator serves so many calls.
    static constexpr auto BatchSize = std::size_t{64};

    std::array<CallId, BatchSize> m_batch{};
    std::size_t m_left = 0;
};

} // namespace stairspur::node
