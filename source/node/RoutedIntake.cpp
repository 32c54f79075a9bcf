#include "RoutedIntake.h"

#include <algorithm>

#include <stairspur/core/Hash.h>

namespace stairspur::node {

auto callIdOf(const std::string &attemptId) -> CallId
{
    return hash64(attemptId);
}

/// Returns the id of a root. Both halves are hashes of the complete text, so all hosts compute the same id.
static auto rootIdOf(const std::string &rootAttemptId) -> RootId
{
    return {hash64(rootAttemptId), hash64(rootAttemptId + "/root") | 1U};
}

/// Returns the key of a route's path. It depends on the route's name only, so it is the same on all hosts and in all
/// versions of the configuration.
static auto pathKeyOf(const std::string &routeName) -> PathKey
{
    return std::max(static_cast<PathKey>(hash64(routeName)), NoPath + 1);
}

static auto findRoute(const RoutedRequest &request, const config::ConfigurationIndex &configuration)
        -> const config::Route &
{
    const auto *route = configuration.findRoute(request.host, request.path);
    if (!route)
        throw CallRejected(Reason::UnknownService,
                           "no route matches '" + request.host + request.path + "'",
                           "check host and path, or have the operators add a route");
    return *route;
}

/// Returns one of the route's services, chosen at random by weight.
static auto drawTarget(const config::Route &route, Random &random) -> const std::string &
{
    auto total = std::uint64_t{0};
    for (const auto &it : route.targets)
        total += it.weight;
    auto point = total == 0 ? 0 : randomBelow(random, total);
    for (const auto &it : route.targets) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return route.targets.front().service;
}

/// Returns the class of this name, or the least important class if a newer configuration has removed it.
static auto findClassOrLowest(const std::string &name,
                              const config::ConfigurationIndex &configuration)
        -> const config::PriorityClass &
{
    const auto *found = configuration.findClass(name);
    return found ? *found : configuration.whole().classes.back();
}

/// Returns the caller of a request from outside, or null if the route is public.
static auto findCaller(const RoutedRequest &request, const config::Route &route,
                       const config::ConfigurationIndex &configuration) -> const config::Caller *
{
    if (route.isPublic)
        return nullptr;
    // A deeper call has no key of its own, so its caller is unknown if its parent does not run on this host.
    if (!request.parentAttemptId.empty() && request.keySha256.empty())
        throw CallRejected(Reason::ParentUnknown,
                           "the call that this request belongs to does not run on this host",
                           "stop the work for cancelled calls");
    const auto *caller = configuration.findCallerByKeyHash(request.keySha256);
    if (!caller)
        throw CallRejected(Reason::Unauthorized, "the request has no key of a caller",
                           "send the key from the operators");
    return caller;
}

/// Returns the class of a request. The caller's classes take precedence over the route's class.
static auto classOf(const config::Route &route, const config::Caller *caller,
                    const config::ConfigurationIndex &configuration)
        -> const config::PriorityClass &
{
    if (!caller || caller->classes.empty())
        return findClassOrLowest(route.className, configuration);
    const auto last = caller->classes.size() - 1;
    return findClassOrLowest(caller->classes[std::min<std::size_t>(route.callerClass, last)],
                             configuration);
}

static auto setOrigin(const RoutedRequest &request, const config::Route &route,
                      const config::ConfigurationIndex &configuration,
                      const std::optional<RunningCall> &parent, IncomingCall &call) -> void
{
    if (parent) {
        call.parent = callIdOf(request.parentAttemptId);
        call.parentPath = parent->path;
        call.parentCallsPerRoot = parent->callsPerRoot;
        call.parentCallsLeft = parent->callsLeft;
        call.request.className = parent->className;
        call.request.level = parent->level;
        call.request.root = parent->root;
        call.request.caller = parent->caller;
        call.deadline = std::min(call.deadline, parent->deadline);
        return;
    }
    const auto *caller = findCaller(request, route, configuration);
    const auto &ownClass = classOf(route, caller, configuration);
    if (caller) {
        call.request.caller = caller->name;
        call.quota = caller->quota;
        call.needsConfigurationProof = true;
    }
    call.request.className = ownClass.name;
    call.request.root = rootIdOf(request.rootAttemptId);
    call.request.level = makeLevel(ownClass.rank, call.request.root.hash());
}

auto routeCall(RoutedRequest request, const config::ConfigurationIndex &configuration,
               const RunningCalls &running, const std::string &ownService, TimePoint now,
               Random &random) -> IncomingCall
{
    const auto &route = findRoute(request, configuration);
    const auto &ingress = configuration.whole().ingress;
    if (ingress && request.body.size() > ingress->maxBodyBytes)
        throw CallRejected(Reason::TooLarge, "the body is larger than the operators allow",
                           "send a smaller body");
    auto call = IncomingCall();
    call.arrivedAt = now;
    call.deadline = now + route.timeout;
    if (request.remaining)
        call.deadline = std::min(call.deadline, now + *request.remaining);
    auto parent = std::optional<RunningCall>();
    if (!request.parentAttemptId.empty())
        parent = running.find(callIdOf(request.parentAttemptId));
    setOrigin(request, route, configuration, parent, call);
    call.request.mustRunOnce = !route.isIdempotent;
    call.request.service = drawTarget(route, random);
    call.request.path = pathKeyOf(route.name);
    call.request.retryBudget = std::max(route.maxAttempts, 1U) - 1;
    call.host = std::move(request.host);
    call.path = std::move(request.path);
    call.request.attemptId = std::move(request.attemptId);
    call.request.originService = ownService;
    call.request.headers = std::move(request.headers);
    call.request.method = std::move(request.method);
    call.request.target = std::move(request.target);
    call.request.body = std::move(request.body);
    return call;
}

} // namespace stairspur::node
