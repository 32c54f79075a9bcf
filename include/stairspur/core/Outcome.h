#pragma once

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

namespace stairspur {

/// Outcome of a call, as the `Stairspur-Outcome` header reports it to the caller.
enum class Outcome {
    Answered, ///< This response contains the complete response of a backend server.
    NotRun,   ///< No attempt reached a backend server, and none can reach one later.
    Failed,   ///< An attempt ran, and its failure is certain.
    Unknown,  ///< An attempt may have run, and its result can't be determined.
};

template <>
inline constexpr auto enumNames<Outcome> =
        std::array<std::string_view, 4>{"answered", "not-run", "failed", "unknown"};

/// Reason why a call was refused or ended without a response, for logs, metrics and the problem body.
enum class Reason {
    None,
    BadRequest,
    Unauthorized,
    ClassNotAllowed,
    UnknownService,
    UnknownClass,
    NoConfiguration,
    NoUpstream,
    BelowFloor,
    QueueFull,
    Evicted,
    WaitExceedsDeadline,
    DeadlineExceeded,
    Draining,
    Cold,
    BackendShed,
    BackendFailed,
    LinkLost,
    Cancelled,
    ParentUnknown,
    RetryBudgetSpent,
    KeyUnknown,
    KeyInProgress,
    WitnessUnreachable,
    WrongPlacement,
    TooLarge,
    TooManyConnections,
    DamagedAnswer,
    DeeperCallFailed, ///< The call ran and failed after one of its own calls had failed permanently.
    Quarantined,      ///< Backend servers crash under load of this request.
    QuotaExceeded,    ///< The caller exceeds its quota, counted over all hosts.
    StaleConfiguration, ///< This host can't determine whether the caller's key is still valid.
    RateLimited, ///< The queue is full because of the rate limit that the backend server states.
};

template <>
inline constexpr auto enumNames<Reason> = std::array<std::string_view, 33>{"none",
                                                                           "bad-request",
                                                                           "unauthorized",
                                                                           "class-not-allowed",
                                                                           "unknown-service",
                                                                           "unknown-class",
                                                                           "no-configuration",
                                                                           "no-upstream",
                                                                           "below-floor",
                                                                           "queue-full",
                                                                           "evicted",
                                                                           "wait-exceeds-deadline",
                                                                           "deadline-exceeded",
                                                                           "draining",
                                                                           "cold",
                                                                           "backend-shed",
                                                                           "backend-failed",
                                                                           "link-lost",
                                                                           "cancelled",
                                                                           "parent-unknown",
                                                                           "retry-budget-spent",
                                                                           "key-unknown",
                                                                           "key-in-progress",
                                                                           "witness-unreachable",
                                                                           "wrong-placement",
                                                                           "too-large",
                                                                           "too-many-connections",
                                                                           "damaged-answer",
                                                                           "deeper-call-failed",
                                                                           "quarantined",
                                                                           "quota-exceeded",
                                                                           "stale-configuration",
                                                                           "rate-limited"};

} // namespace stairspur
