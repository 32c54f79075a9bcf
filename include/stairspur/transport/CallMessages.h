#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/HeaderList.h>

/// What an entry and a gate tell each other about one call.
namespace stairspur::transport {

/// Calls of one kind that a root request makes at most, as far as anyone tells; what says more is an error.
inline constexpr auto MostCallsPerRoot = std::uint32_t{1'000'000};

struct CallRequest
{
    std::string service;
    std::string className;
    Level level;
    RootId root;
    Duration remaining{0};         ///< Until the deadline, as the sender sees it when it sends.
    std::uint32_t retryBudget = 0; ///< Extra attempts for everything below this call.
    bool isRepeat = false;         ///< An earlier attempt, here or at a call above, may have run.
    std::string idempotencyKey;    ///< Empty: the call may run more than once.
    std::string caller;            ///< Name of the caller, as the configuration knows it.
    std::string attemptId{};       ///< Of the caller's own attempt; empty where callers send none.
    PathKey path = NoPath;         ///< By which the floors of deeper services are told apart.
    bool isDeeperCall = false;     ///< A running call makes it.
    /// Calls of this service and path that its root request makes altogether, as far as earlier ones have shown.
    std::uint32_t callsPerRoot = 1;
    /// Of these the ones that are still to be made, this one included.
    std::uint32_t callsLeft = 1;
    /// What the sender knows of the statement of the receiver's backend server.
    admission::InstanceStatement statement{};
    std::string originService{}; ///< Of the backend server on the host where the request began.
    bool mustRunOnce = false;    ///< The call is not idempotent.
    std::string method;
    std::string target;
    HeaderList headers; ///< End-to-end headers only.
    std::string body;

    /// The path whose floors bind the call. Floors of deeper services decide whether a request starts; once it runs, only
    /// the services that its calls reach refuse them. To refuse them on the way, by a floor that has risen a little since,
    /// would waste what the request has cost so far.
    [[nodiscard]] auto floorPath() const -> PathKey { return isDeeperCall ? NoPath : path; }
};

struct CallAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// The call, or an earlier attempt at it, may have reached a backend server.
    bool wasDispatched = false;
    std::uint32_t unspentBudget = 0; ///< What is left of CallRequest::retryBudget.
    Duration retryAfter{0};          ///< When to come back, for refusals.
    std::uint32_t status = 0; ///< The backend server's, when the outcome is `answered` or `failed`.
    HeaderList headers;
    std::string body;
    std::optional<admission::LoadReport> report;
};

} // namespace stairspur::transport
