#include "CallIntake.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

#include <stairspur/core/Hash.h>

#include "EndToEndHeaders.h"

namespace stairspur::node {

namespace header = transport::header;

static constexpr auto BearerScheme = std::string_view("Bearer ");
static constexpr auto MaxKeyLength = std::size_t{256};
static constexpr auto HexBase = 16;

/// The caller, the class and the root of a call, with the limits that they imply.
struct CallOrigin
{
    std::string caller;
    const config::PriorityClass *priorityClass = nullptr;
    RootId root;
    std::optional<TimePoint> parentDeadline;
    std::optional<config::RequestQuota> quota;
};

static auto parseNumber(std::string_view text, int base) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value, base);
    if (ec != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

static auto findCaller(const transport::HeaderList &headers,
                       const config::ConfigurationIndex &configuration) -> const config::Caller &
{
    const auto authorization = headers.find(header::Authorization);
    if (!authorization.starts_with(BearerScheme)) {
        throw CallRejected(Reason::Unauthorized, "the request has no bearer key",
                           "send 'Authorization: Bearer KEY' with the key from the operators");
    }
    const auto *caller =
            configuration.findCallerByKeyHash(sha256Hex(authorization.substr(BearerScheme.size())));
    if (!caller) {
        throw CallRejected(
                Reason::Unauthorized, "the bearer key is not in the configuration",
                "request a key from the operators, or have its SHA-256 added to the configuration");
    }
    return *caller;
}

/// Returns the class that a caller requests, or its first class. Throws CallRejected if the configuration does not give the
/// class to the caller.
static auto chooseClass(const config::Caller &caller, std::string_view requested,
                        const config::ConfigurationIndex &configuration)
        -> const config::PriorityClass *
{
    const auto name = requested.empty() ? std::string_view(caller.classes.front()) : requested;
    const auto *found = configuration.findClass(name);
    if (!found) {
        throw CallRejected(Reason::UnknownClass,
                           "the class '" + std::string(name) + "' does not exist",
                           "name one of your classes in Stairspur-Class, or leave the header out");
    }
    if (std::ranges::find(caller.classes, name) == caller.classes.end()) {
        throw CallRejected(Reason::ClassNotAllowed,
                           "the class '" + std::string(name) + "' is not one of caller '"
                                   + caller.name + "'",
                           "name one of your classes in Stairspur-Class, or leave the header out");
    }
    return found;
}

static auto newRootId(Random &random) -> RootId
{
    return {random(), random() | 1U}; // W3C Trace Context forbids an id of zeroes.
}

/// Returns the trace id of a `traceparent` header: version-traceid-parentid-flags (W3C Trace Context, section 3.2).
static auto readRootId(std::string_view traceParent, Random &random) -> RootId
{
    static constexpr auto TraceIdStart = std::size_t{3};
    static constexpr auto TraceIdLength = std::size_t{32};
    if (traceParent.empty())
        return newRootId(random);
    if (traceParent.size() < TraceIdStart + TraceIdLength || traceParent[2] != '-')
        return newRootId(random); // The standard requires a new trace if the header cannot be read.
    try {
        return parseRootId(std::string(traceParent.substr(TraceIdStart, TraceIdLength)));
    } catch (const InputError &) {
        return newRootId(random);
    }
}

static auto readCallerOrigin(const transport::HeaderList &headers,
                             const config::ConfigurationIndex &configuration, Random &random)
        -> CallOrigin
{
    const auto &caller = findCaller(headers, configuration);
    auto origin = CallOrigin();
    origin.caller = caller.name;
    origin.quota = caller.quota;
    origin.priorityClass = chooseClass(caller, headers.find(header::Class), configuration);
    origin.root = readRootId(headers.find(header::TraceParent), random);
    return origin;
}

/// Returns the less important of the parent's class and the requested class.
static auto lowerClass(const RunningCall &parent, std::string_view requested,
                       const config::ConfigurationIndex &configuration)
        -> const config::PriorityClass *
{
    const auto *inherited = configuration.findClass(parent.className);
    const auto *requestedClass = requested.empty() ? nullptr : configuration.findClass(requested);
    if (!requested.empty() && !requestedClass) {
        throw CallRejected(
                Reason::UnknownClass, "the class '" + std::string(requested) + "' does not exist",
                "name a class of the configuration in Stairspur-Class, or leave the header out");
    }
    if (!inherited)
        return requestedClass
                       ? requestedClass
                       : &configuration.whole()
                                  .classes.back(); // A newer configuration has removed the class.
    return requestedClass && requestedClass->rank > inherited->rank ? requestedClass : inherited;
}

static auto readParentOrigin(CallId parentId, const transport::HeaderList &headers,
                             const config::ConfigurationIndex &configuration,
                             const RunningCalls &running) -> CallOrigin
{
    const auto parent = running.find(parentId);
    if (!parent) {
        throw CallRejected(Reason::ParentUnknown,
                           "the call in Stairspur-Call does not run on this host",
                           "repeat the header of the call that you are serving, and stop the work "
                           "for cancelled calls");
    }
    auto origin = CallOrigin();
    origin.caller = parent->caller;
    origin.priorityClass = lowerClass(*parent, headers.find(header::Class), configuration);
    origin.root = parent->root;
    origin.parentDeadline = parent->deadline;
    return origin;
}

static auto readParentId(const transport::HeaderList &headers) -> std::optional<CallId>
{
    const auto text = headers.find(header::Call);
    if (text.empty())
        return std::nullopt;
    const auto id = parseNumber(text, HexBase);
    if (!id) {
        throw CallRejected(Reason::BadRequest, "Stairspur-Call is not a hexadecimal number",
                           "repeat the header of the call that you are serving without a change");
    }
    return id;
}

/// Throws CallRejected unless the request comes from this host. The id authorizes deeper calls; this check prevents the use
/// of a leaked id on another host. It precedes the lookup of the id, so other hosts cannot find out which ids are running.
static auto ensureFromOwnHost(const std::string &remoteAddress, std::string_view ownAddress) -> void
{
    auto ec = boost::system::error_code();
    const auto remote = boost::asio::ip::make_address(remoteAddress, ec);
    if (!ec && (remote.is_loopback() || remoteAddress == ownAddress))
        return;
    throw CallRejected(Reason::ParentUnknown,
                       "Stairspur-Call is a call of a backend server of this host, but the "
                       "request comes from another host",
                       "send deeper calls to the entry port of their own host; other callers send "
                       "their bearer key and no Stairspur-Call");
}

static auto findService(const transport::HeaderList &headers,
                        const config::ConfigurationIndex &configuration) -> const config::Service &
{
    const auto name = headers.find(header::Service);
    if (name.empty()) {
        throw CallRejected(Reason::BadRequest, "the request names no service",
                           "send the service's name in Stairspur-Service");
    }
    const auto *service = configuration.findService(name);
    if (!service) {
        throw CallRejected(Reason::UnknownService,
                           "the service '" + std::string(name) + "' is not in the configuration",
                           "check the spelling, or apply a configuration with this service");
    }
    return *service;
}

static auto readTimeout(const transport::HeaderList &headers, const config::ServiceLimits &limits)
        -> Duration
{
    const auto text = headers.find(header::Timeout);
    if (text.empty())
        return limits.defaultTimeout;
    const auto milliseconds = parseNumber(text, 10);
    if (!milliseconds) {
        throw CallRejected(Reason::BadRequest,
                           "Stairspur-Timeout is not a whole number of milliseconds",
                           "send a number such as 1500");
    }
    const auto cap = static_cast<std::uint64_t>(toMilliseconds(limits.maxTimeout));
    return std::chrono::milliseconds(std::min(*milliseconds, cap));
}

static auto readIdempotencyKey(const transport::HeaderList &headers, const config::Service &service)
        -> std::string
{
    const auto key = headers.find(header::IdempotencyKey);
    if (key.size() > MaxKeyLength) {
        throw CallRejected(Reason::BadRequest, "the Idempotency-Key is longer than 256 characters",
                           "send a UUID, preferably of version 7");
    }
    if (key.empty() && !service.isIdempotent) {
        throw CallRejected(Reason::BadRequest,
                           "calls of the service '" + service.name + "' need an Idempotency-Key",
                           "send a UUID, preferably of version 7, and repeat it on each retry");
    }
    return service.isIdempotent ? std::string() : std::string(key);
}

auto readCall(transport::HttpRequest request, const config::ConfigurationIndex &configuration,
              const RunningCalls &running, std::string_view ownAddress, TimePoint now,
              Random &random) -> IncomingCall
{
    const auto &headers = request.headers;
    auto call = IncomingCall();
    call.parent = readParentId(headers);
    if (call.parent)
        ensureFromOwnHost(request.remoteAddress, ownAddress);
    const auto origin = call.parent
                                ? readParentOrigin(*call.parent, headers, configuration, running)
                                : readCallerOrigin(headers, configuration, random);
    const auto &service = findService(headers, configuration);
    if (request.body.size() > service.limits.maxRequestBytes) {
        throw CallRejected(Reason::TooLarge, "the body is larger than the service allows",
                           "send less, or raise max_request_bytes of the service");
    }
    call.arrivedAt = now;
    call.deadline = now + readTimeout(headers, service.limits);
    if (origin.parentDeadline)
        call.deadline = std::min(call.deadline, *origin.parentDeadline);
    call.needsConfigurationProof = !call.parent;
    call.quota = origin.quota;
    call.request.mustRunOnce = !service.isIdempotent;
    call.hasDeeperCalls =
            !configuration.deeperServices(service.name, origin.priorityClass->rank).empty();
    call.request.idempotencyKey = readIdempotencyKey(headers, service);
    call.request.service = service.name;
    call.request.className = origin.priorityClass->name;
    call.request.root = origin.root;
    call.request.level = makeLevel(origin.priorityClass->rank, origin.root.hash());
    call.request.caller = origin.caller;
    call.request.retryBudget = configuration.whole().retry.extraAttempts;
    call.request.headers = endToEndHeaders(headers);
    call.request.method = std::move(request.method);
    call.request.target = std::move(request.target);
    call.request.body = std::move(request.body);
    return call;
}

} // namespace stairspur::node
