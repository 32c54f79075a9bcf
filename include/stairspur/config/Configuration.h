#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

/// The configuration that operators write, in the form that the nodes use.
namespace stairspur::config {

struct FailureDomain
{
    std::string name;
    /// Domains of one region are near each other. An empty region means that the domain is a region of its own.
    std::string region;
};

/// A priority class. Its rank is its position in the file; the first class is the most important one.
struct PriorityClass
{
    std::string name;
    ClassRank rank = 0;
};

/// Limits of one service. Values that the file leaves out have these defaults.
struct ServiceLimits
{
    /// Slots per upstream; 0 means the number of slots that the backend server reports.
    std::uint32_t maxConcurrency = 0;
    std::uint32_t maxQueue = 256;       ///< Calls that may wait at one gate.
    Duration defaultTimeout{2'000'000}; ///< Timeout of calls that set none.
    Duration maxTimeout{30'000'000};    ///< Longer timeouts are reduced to it.
    std::uint32_t maxRequestBytes = 1U << 20U;
    std::uint32_t maxAnswerBytes = 8U << 20U;
};

struct Service
{
    std::string name;
    ServiceLimits limits;
    bool isIdempotent = true; ///< False: calls have an Idempotency-Key and run at most once.
    Duration keyLifetime{600'000'000}; ///< Time for which a key is recorded.
};

/// The services that a request of some classes needs, starting with the service that it enters.
struct CallPath
{
    std::string name;
    std::vector<std::string> classes;  ///< Names of classes; empty means all.
    std::vector<std::string> services; ///< In call order: each service calls the next one.
};

/// Rate limit for the requests of one caller over all hosts together, as a token bucket.
struct RequestQuota
{
    double requestsPerSecond = 0;
    double burst = 0; ///< Requests that may arrive at once beyond the rate.

    auto operator==(const RequestQuota &) const -> bool = default;
};

/// A client account that may call. Only the SHA-256 of its bearer keys is stored.
struct Caller
{
    std::string name;
    /// 64 lower-case hexadecimal digits. Empty when the caller has no key; then no call is accepted under its name.
    std::string keySha256;
    std::vector<std::string> classes; ///< A call without a class gets the first one.
    std::string homeDomain;           ///< Home domain of its keyed calls; empty: chosen by hash.
    std::vector<std::string> furtherKeySha256{}; ///< Keys that are valid beside the first one.
    std::optional<RequestQuota> quota{};         ///< None: only capacity limits its requests.
};

struct RetryLimits
{
    std::uint32_t extraAttempts = 3; ///< Retries per root request, over its whole call graph.
    double successShare = 0.1;       ///< Tokens that each success adds to a service's retry bucket.
    double bucketSize = 10;          ///< Most tokens that a bucket holds.
    double requestShare = 0;         ///< Tokens that each request adds, whatever its outcome.
    /// Most tokens that the buckets of all hosts hold together; 0: only `bucketSize` limits them.
    double fleetBucketSize = 0;
    /// Time over which retries are limited to `requestShare` of the requests; 0: only the bucket limits them.
    Duration window{0};
};

/// A service that receives a share of a route's requests.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1; ///< Share in proportion to the other targets' weights.
};

/// Maps requests that name no service to one by their host and path, and sets the limits that they get.
struct Route
{
    std::string name;
    std::string host;       ///< Value of the Host field, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash; the longest matching prefix decides.
    std::vector<RouteTarget> targets; ///< At least one.
    std::string className;            ///< Priority class of requests from outside without a caller.
    /// Index into a caller's classes for its requests on this route; a caller with fewer classes gets its last one.
    std::uint32_t callerClass = 0;
    bool isPublic = true;                 ///< False: a request needs a caller's key.
    bool isIdempotent = true;             ///< False: a request runs at most once, without any key.
    Duration timeout{30'000'000};         ///< Time from the request's arrival to its final answer.
    Duration latencyObjective{1'000'000}; ///< Time within which an answer has its full value.
    std::uint32_t maxAttempts = 2;        ///< Most upstreams that one request is sent to.
};

/// Limits for the requests of callers on every route.
struct IngressLimits
{
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    Duration headerTimeout{10'000'000}; ///< Time for a request's complete header to arrive.
    Duration idleTimeout{
            60'000'000}; ///< Time after which a connection without a request is closed.

    auto operator==(const IngressLimits &) const -> bool = default;
};

/// A complete configuration. It is immutable once it is published; a newer one replaces it.
struct Configuration
{
    std::vector<FailureDomain> domains;
    std::vector<PriorityClass> classes;
    std::vector<Service> services;
    std::vector<CallPath> paths;
    std::vector<Caller> callers;
    RetryLimits retry;
    std::vector<Route> routes;
    std::optional<IngressLimits> ingress; ///< None: the node's own settings apply.

    [[nodiscard]] auto findService(std::string_view name) const -> const Service *;
    [[nodiscard]] auto findClass(std::string_view name) const -> const PriorityClass *;
    [[nodiscard]] auto findCallerByKeyHash(std::string_view keySha256) const -> const Caller *;
    [[nodiscard]] auto findDomain(std::string_view name) const -> const FailureDomain *;

    /// Returns the services that a call of class `rank` to `service` needs further on, over all paths that include it.
    [[nodiscard]] auto deeperServices(std::string_view service, ClassRank rank) const
            -> std::vector<std::string>;
};

/// A configuration with its version number.
struct VersionedConfiguration
{
    std::uint64_t version = 0;
    std::string hash; ///< SHA-256 over all sections; see hashOf().
    Configuration configuration;
};

using ConfigurationPtr = std::shared_ptr<const VersionedConfiguration>;

} // namespace stairspur::config
