#include <stairspur/platform/EtcdStore.h>

#include <charconv>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>
#include <stairspur/platform/Backoff.h>
#include <stairspur/platform/TokenBucket.h>
#include <stairspur/transport/HttpClient.h>

#include "EtcdCodec.h"
#include "WatchStream.h"

namespace stairspur::platform {

namespace asio = boost::asio;

using nlohmann::json;
using transport::HttpClientError;
using transport::HttpFailure;
using transport::Task;

/// No caller waits longer than this many timeouts for the rate limit: it is told that the store was not reached.
static constexpr auto MaxTimeoutsInLine = 4;

auto storeSettingsFromUrl(const std::string &url) -> StoreSettings
{
    static constexpr auto Scheme = std::string_view("http://");
    const auto remedy = "write it as http://192.0.2.1:2379, with an IP number and a port";
    auto settings = StoreSettings();
    const auto colon = url.rfind(':');
    if (!url.starts_with(Scheme) || colon == std::string::npos || colon < Scheme.size())
        throw SettingError("the store's address '" + url + "' is not an http URL with a port",
                           remedy);
    settings.address = url.substr(Scheme.size(), colon - Scheme.size());
    const auto *end = url.data() + url.size();
    const auto [stop, error] = std::from_chars(url.data() + colon + 1, end, settings.port);
    auto ec = boost::system::error_code();
    asio::ip::make_address(settings.address, ec);
    if (error != std::errc() || stop != end || settings.port == 0 || ec)
        throw SettingError("the store's address '" + url + "' has no IP number and port", remedy);
    return settings;
}

/// One attempt's end: a status, and the answer when there is one.
struct Attempt
{
    StoreStatus status = StoreStatus::Unknown;
    json answer;
    std::string detail;
};

/// What the coroutines share with their store, so that they may outlive it.
class EtcdStore::Calls : public std::enable_shared_from_this<Calls>
{
public:
    Calls(asio::io_context &io, StoreSettings settings, std::uint64_t seed)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_client(io, {.address = m_settings.address,
                        .port = m_settings.port,
                        .connectTimeout = m_settings.timeout})
        , m_bucket(m_settings.callsPerSecond, m_settings.burst)
        , m_random(seed)
    {}

    /// Sends a request until an attempt ends in a way that no further one can better.
    auto call(StoreCall kind, std::string target, std::string body) -> Task<Attempt>
    {
        auto backoff = Backoff(m_settings.minBackoff, m_settings.maxBackoff);
        auto attempt = Attempt();
        for (auto n = std::uint32_t{0}; n < m_settings.attempts; ++n) {
            if (n > 0)
                co_await sleep(backoff.next(m_random));
            if (!co_await waitForTurn())
                co_return Attempt{
                        StoreStatus::Unreachable, {}, "the store's rate limit is used up"};
            attempt = co_await tryOnce(target, body);
            didEnd(kind, attempt);
            if (!isWorthAnother(kind, attempt.status))
                break;
        }
        co_return attempt;
    }

    auto watch(WatchRequest request, WatchHandler handler, transport::CancellationPtr cancellation)
            -> Task<StoreResult<WatchEnd>>
    {
        const auto start = request.startRevision;
        if (!co_await waitForTurn())
            co_return StoreResult<WatchEnd>{
                    StoreStatus::Unreachable, {start}, "the store's rate limit is used up"};
        auto counting = [self = shared_from_this(),
                         handler = std::move(handler)](const WatchMessage &message) {
            if (!message.events.empty())
                self->m_counters.watchMessages += 1;
            handler(message);
        };
        auto result = co_await readWatch(m_io, m_settings, std::move(request), std::move(counting),
                                         std::move(cancellation));
        count(StoreCall::Watch, result.status);
        co_return result;
    }

    [[nodiscard]] auto counters() const -> const StoreCounters & { return m_counters; }

private:
    /// A write whose answer was lost may have been applied: whoever wrote must read before it writes again.
    static auto isWorthAnother(StoreCall kind, StoreStatus status) -> bool
    {
        if (status == StoreStatus::Unreachable)
            return true;
        const auto isRepeatable = kind == StoreCall::Range || kind == StoreCall::LeaseKeepAlive;
        return isRepeatable && status == StoreStatus::Unknown;
    }

    static auto makeRequest(std::string target, std::string body) -> transport::HttpRequest
    {
        auto request = transport::HttpRequest();
        request.method = "POST";
        request.target = std::move(target);
        request.headers.add("Content-Type", "application/json");
        request.body = std::move(body);
        return request;
    }

    auto tryOnce(std::string target, std::string body) -> Task<Attempt>
    {
        try {
            const auto response = co_await m_client.send(
                    makeRequest(std::move(target), std::move(body)), m_settings.timeout, nullptr);
            co_return read(response);
        } catch (const HttpClientError &error) {
            const auto isUnsent = error.failure() == HttpFailure::NotConnected;
            co_return Attempt{
                    isUnsent ? StoreStatus::Unreachable : StoreStatus::Unknown, {}, error.what()};
        }
    }

    /// A status of 4xx is the store's refusal. A 5xx may come after the write was proposed (gRPC's `unavailable` does
    /// not say), so it is a doubt.
    static auto read(const transport::HttpResponse &response) -> Attempt
    {
        static constexpr auto Ok = 200U;
        static constexpr auto FirstServerError = 500U;
        if (response.status >= FirstServerError)
            return {StoreStatus::Unknown, {}, "HTTP status " + std::to_string(response.status)};
        if (response.status != Ok)
            return {StoreStatus::Rejected, {}, response.body};
        try {
            return {StoreStatus::Ok, etcd::parse(response.body), {}};
        } catch (const InputError &error) {
            return {StoreStatus::Unknown, {}, error.what()};
        }
    }

    /// Waits for the rate limit; false: the line is too long.
    auto waitForTurn() -> Task<bool>
    {
        if (m_inLine > m_settings.callsPerSecond * MaxTimeoutsInLine)
            co_return false;
        const auto wait = m_bucket.take(monotonicNow());
        if (wait == Duration{0})
            co_return true;
        ++m_counters.delayed;
        ++m_inLine;
        co_await sleep(wait);
        --m_inLine;
        co_return true;
    }

    auto sleep(Duration time) -> Task<void>
    {
        auto timer = asio::steady_timer(m_io, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    auto didEnd(StoreCall kind, const Attempt &attempt) -> void
    {
        count(kind, attempt.status);
        if (attempt.status == StoreStatus::Ok)
            return;
        log::Line(log::Severity::Warning, "store-call")
                .add("call", kind)
                .add("status", attempt.status)
                .add("detail", attempt.detail);
    }

    auto count(StoreCall kind, StoreStatus status) -> void
    {
        m_counters.calls[static_cast<std::size_t>(kind)][static_cast<std::size_t>(status)] += 1;
    }

    asio::io_context &m_io;
    StoreSettings m_settings;
    transport::HttpClient m_client;
    TokenBucket m_bucket;
    Random m_random;
    StoreCounters m_counters;
    std::uint32_t m_inLine = 0;
};

EtcdStore::EtcdStore(asio::io_context &io, StoreSettings settings, std::uint64_t seed)
    : m_calls(std::make_shared<Calls>(io, std::move(settings), seed))
{}

EtcdStore::~EtcdStore() = default;

/// The typed result of an attempt; an answer of another form than the gateway's leaves doubt.
template <typename Value, typename Decode>
static auto resultOf(const Attempt &attempt, Decode decode) -> StoreResult<Value>
{
    if (attempt.status != StoreStatus::Ok)
        return {attempt.status, {}, attempt.detail};
    try {
        return {StoreStatus::Ok, decode(attempt.answer), {}};
    } catch (const std::exception &error) {
        return {StoreStatus::Unknown, {}, error.what()};
    }
}

auto EtcdStore::range(RangeRequest request) -> Task<StoreResult<RangeAnswer>>
{
    const auto calls = m_calls;
    const auto attempt =
            co_await calls->call(StoreCall::Range, "/v3/kv/range", etcd::encode(request));
    co_return resultOf<RangeAnswer>(attempt, etcd::decodeRange);
}

auto EtcdStore::put(std::string key, std::string value, LeaseId lease)
        -> Task<StoreResult<WriteAnswer>>
{
    const auto calls = m_calls;
    const auto attempt =
            co_await calls->call(StoreCall::Put, "/v3/kv/put", etcd::encodePut(key, value, lease));
    co_return resultOf<WriteAnswer>(attempt, etcd::decodeWrite);
}

auto EtcdStore::txn(Transaction transaction) -> Task<StoreResult<WriteAnswer>>
{
    const auto calls = m_calls;
    const auto attempt =
            co_await calls->call(StoreCall::Txn, "/v3/kv/txn", etcd::encode(transaction));
    auto result = resultOf<WriteAnswer>(attempt, etcd::decodeWrite);
    if (result.isOk() && !etcd::didSucceed(attempt.answer))
        result.status = StoreStatus::CasFailed;
    co_return result;
}

auto EtcdStore::grantLease(Duration timeToLive) -> Task<StoreResult<LeaseAnswer>>
{
    const auto calls = m_calls;
    const auto attempt = co_await calls->call(StoreCall::LeaseGrant, "/v3/lease/grant",
                                              etcd::encodeGrant(timeToLive));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::keepLeaseAlive(LeaseId lease) -> Task<StoreResult<LeaseAnswer>>
{
    const auto calls = m_calls;
    const auto attempt = co_await calls->call(StoreCall::LeaseKeepAlive, "/v3/lease/keepalive",
                                              etcd::encodeLease(lease));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::revokeLease(LeaseId lease) -> Task<StoreResult<LeaseAnswer>>
{
    const auto calls = m_calls;
    const auto attempt = co_await calls->call(StoreCall::LeaseRevoke, "/v3/lease/revoke",
                                              etcd::encodeLease(lease));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::watch(WatchRequest request, WatchHandler handler,
                      transport::CancellationPtr cancellation) -> Task<StoreResult<WatchEnd>>
{
    const auto calls = m_calls;
    co_return co_await calls->watch(std::move(request), std::move(handler),
                                    std::move(cancellation));
}

auto EtcdStore::counters() const -> const StoreCounters &
{
    return m_calls->counters();
}

} // namespace stairspur::platform
