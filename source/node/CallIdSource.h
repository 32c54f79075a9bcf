#pragma once

#include <array>
#include <cstddef>

#include <stairspur/core/Identifiers.h>

namespace stairspur::node {

/// Generates the ids of dispatched calls. The id of a running call authorizes deeper calls in its name, so ids are a secret
/// between gate and backend server. Tests inject predictable ids.
class CallIdSource
{
public:
    CallIdSource() = default;
    virtual ~CallIdSource() = default;
    CallIdSource(const CallIdSource &) = delete;
    CallIdSource(CallIdSource &&) = delete;
    auto operator=(const CallIdSource &) -> CallIdSource & = delete;
    auto operator=(CallIdSource &&) -> CallIdSource & = delete;

    /// Returns an id that this source has not returned before.
    virtual auto next() -> CallId = 0;
};

/// Generates ids with OpenSSL's random generator, so that later ids cannot be predicted from earlier ones. (The state of the
/// decisions' generator, a Mersenne Twister, can be computed from 312 of its numbers.) Belongs to one thread. Throws Error
/// if the random generator fails.
class SecureCallIds : public CallIdSource
{
public:
    auto next() -> CallId override;

private:
    /// Number of ids that one request to the generator yields.
    static constexpr auto BatchSize = std::size_t{64};

    std::array<CallId, BatchSize> m_batch{};
    std::size_t m_left = 0;
};

} // namespace stairspur::node
