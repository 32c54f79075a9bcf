#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

#include "CallIntake.h"
#include "NodeBoard.h"
#include "QuotaService.h"

namespace stairspur::node {

/// Returns whether the configuration was proven to be the newest within `bound` before `time`, so that it contains each change
/// that was applied earlier. Always returns true without a bound.
auto isProofFresh(const ConfigurationProof &proof, Duration bound, TimePoint time) -> bool;

/// The decision on the caller of a request.
struct CallerDecision
{
    Reason refusal = Reason::None;
    std::string detail{}; ///< Detail of a refusal, with its remedy.
    Duration retryAfter{0};
    std::optional<quota::QuotaDecision>
            token{}; ///< Token of the request, if its caller has a quota.
};

/// Returns the refusal of requests to a node that has no configuration yet.
auto refusalWithoutConfiguration() -> CallerDecision;

/// Decides whether a request from outside may run now: whether its caller's key is proven to be valid, and whether the
/// caller's quota has a token. Belongs to the entry's thread.
class CallerAdmission
{
public:
    CallerAdmission(transport::asio::io_context &io, const NodeSettings &settings,
                    const NodeBoard &board, std::uint64_t seed, QuotaService::Send send);

    /// Returns the decision on a call. `proof` must be read before the configuration that the call was read with.
    auto admit(const IncomingCall &call, const ConfigurationProof &proof)
            -> transport::Task<CallerDecision>;

    /// Records that the admitted request of `caller` ran nowhere.
    auto didNotRun(const std::string &caller, const CallerDecision &decision) -> void;

    /// Returns the decision on a request that arrived at `arrivedAt` with a key that configuration `version` does not have.
    /// A newer version may have the key, and callers don't retry after a 401. Therefore the result is Unauthorized only if
    /// a proof later than the arrival was received.
    auto checkUnknownKey(std::uint64_t version, TimePoint arrivedAt,
                         transport::CancellationPtr cancellation)
            -> transport::Task<CallerDecision>;

    auto quotas() -> QuotaService & { return m_quotas; }

private:
    auto waitForProof(TimePoint since, const transport::CancellationPtr &cancellation)
            -> transport::Task<bool>;

    transport::asio::io_context &m_io;
    const NodeSettings &m_settings;
    const NodeBoard &m_board;
    QuotaService m_quotas;
    std::uint32_t m_waitingForProof = 0;
};

} // namespace stairspur::node
