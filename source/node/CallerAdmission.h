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

/// Whether the proof lets a host serve callers at `now`. A key that was taken away at some moment is still in a configuration
/// that was the newest before it; once the bound has passed since, such a configuration admits nobody. Always true without a
/// bound.
auto isProofFresh(const ConfigurationProof &proof, Duration revocationBound, TimePoint now) -> bool;

/// What was decided on the caller of a request.
struct CallerVerdict
{
    Reason refusal = Reason::None;
    std::string detail{}; ///< Of a refusal, with its remedy.
    Duration retryAfter{0};
    std::optional<quota::QuotaDecision>
            token{}; ///< What the request may run for, if its caller has a quota.
};

/// For every request that comes to a node which has no configuration yet.
auto refusalWithoutConfiguration() -> CallerVerdict;

/// Decides whether the caller of a request from outside may have it run now: whether its key still holds for certain, and
/// whether its quota has room. Belongs to the entry's thread.
class CallerAdmission
{
public:
    CallerAdmission(transport::asio::io_context &io, const NodeSettings &settings,
                    const NodeBoard &board, std::uint64_t seed, QuotaService::Send send);

    /// `proof`: read before the configuration by which the call was read.
    auto admit(const IncomingCall &call, const ConfigurationProof &proof)
            -> transport::Task<CallerVerdict>;

    /// The admitted request of `caller` ran nowhere.
    auto didNotRun(const std::string &caller, const CallerVerdict &verdict) -> void;

    /// Nobody of configuration `version` holds the key of a request that arrived at `arrivedAt`. A newer version may
    /// hold it, and no caller asks again after a 401: it is said only when a proof later than the arrival has come.
    auto judgeUnknownKey(std::uint64_t version, TimePoint arrivedAt,
                         transport::CancellationPtr cancellation) -> transport::Task<CallerVerdict>;

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
