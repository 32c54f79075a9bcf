#include <stairspur/store/EtcdStore.h>

#include <charconv>
#include <utility>

#include <boost/asio/ip/address.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/store/StoreCaller.h>

#include "EtcdCodec.h"
#include "WatchStream.h"

namespace stairspur::store {

namespace asio = boost::asio;

using transport::Task;

auto storeSettingsFromUrl(const std::string &url) -> StoreSettings
{
    static constexpr auto Scheme = std::string_view("http://");
    const auto remedy = "write it as http://192.0.2.1:2379, with an IP address and a port";
    auto settings = StoreSettings();
    const auto colon = url.rfind(':');
    if (!url.starts_with(Scheme) || colon == std::string::npos || colon < Scheme.size())
        throw SettingError("the store's address '" + url + "' is not an HTTP URL with a port",
                           remedy);
    settings.address = url.substr(Scheme.size(), colon - Scheme.size());
    const auto *end = url.data() + url.size();
    const auto [stop, error] = std::from_chars(url.data() + colon + 1, end, settings.port);
    auto ec = boost::system::error_code();
    asio::ip::make_address(settings.address, ec);
    if (error != std::errc() || stop != end || settings.port == 0 || ec)
        throw SettingError("the store's address '" + url + "' lacks a valid IP address or port",
                           remedy);
    return settings;
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

/// Decodes a response. A 4xx status means that the store rejected the request. A 5xx status gives Unknown, because the
/// write may have been proposed already (gRPC's `unavailable` does not distinguish this).
static auto readResponse(const transport::HttpResponse &response) -> StoreAttempt
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

EtcdStore::EtcdStore(asio::io_context &io, StoreSettings settings, std::uint64_t seed)
    : m_caller(std::make_shared<StoreCaller>(io, std::move(settings), readResponse, seed))
{}

EtcdStore::~EtcdStore() = default;

auto EtcdStore::range(RangeRequest request) -> Task<StoreResult<RangeAnswer>>
{
    const auto caller = m_caller;
    const auto attempt = co_await caller->call(StoreCall::Range,
                                               makeRequest("/v3/kv/range", etcd::encode(request)));
    co_return resultOf<RangeAnswer>(attempt, etcd::decodeRange);
}

auto EtcdStore::put(std::string key, std::string value, LeaseId lease)
        -> Task<StoreResult<WriteAnswer>>
{
    const auto caller = m_caller;
    const auto attempt = co_await caller->call(
            StoreCall::Put, makeRequest("/v3/kv/put", etcd::encodePut(key, value, lease)));
    co_return resultOf<WriteAnswer>(attempt, etcd::decodeWrite);
}

auto EtcdStore::txn(Transaction transaction) -> Task<StoreResult<WriteAnswer>>
{
    const auto caller = m_caller;
    const auto attempt = co_await caller->call(
            StoreCall::Txn, makeRequest("/v3/kv/txn", etcd::encode(transaction)));
    auto result = resultOf<WriteAnswer>(attempt, etcd::decodeWrite);
    if (result.isOk() && !etcd::didSucceed(attempt.answer))
        result.status = StoreStatus::CasFailed;
    co_return result;
}

auto EtcdStore::grantLease(Duration timeToLive) -> Task<StoreResult<LeaseAnswer>>
{
    const auto caller = m_caller;
    const auto attempt = co_await caller->call(
            StoreCall::LeaseGrant, makeRequest("/v3/lease/grant", etcd::encodeGrant(timeToLive)));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::keepLeaseAlive(LeaseId lease) -> Task<StoreResult<LeaseAnswer>>
{
    const auto caller = m_caller;
    const auto attempt =
            co_await caller->call(StoreCall::LeaseKeepAlive,
                                  makeRequest("/v3/lease/keepalive", etcd::encodeLease(lease)));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::revokeLease(LeaseId lease) -> Task<StoreResult<LeaseAnswer>>
{
    const auto caller = m_caller;
    const auto attempt = co_await caller->call(
            StoreCall::LeaseRevoke, makeRequest("/v3/lease/revoke", etcd::encodeLease(lease)));
    co_return resultOf<LeaseAnswer>(attempt, etcd::decodeLease);
}

auto EtcdStore::watch(WatchRequest request, WatchHandler handler,
                      transport::CancellationPtr cancellation) -> Task<StoreResult<WatchEnd>>
{
    const auto caller = m_caller;
    const auto start = request.startRevision;
    if (!co_await caller->waitForRateLimit())
        co_return StoreResult<WatchEnd>{
                StoreStatus::Unreachable, {start}, "the store's rate limit is used up"};
    auto counting = [caller, handler = std::move(handler)](const WatchMessage &message) {
        if (!message.events.empty())
            caller->countWatchMessage();
        handler(message);
    };
    auto result = co_await readWatch(caller->io(), caller->settings(), std::move(request),
                                     std::move(counting), std::move(cancellation));
    caller->count(StoreCall::Watch, result.status);
    co_return result;
}

auto EtcdStore::counters() const -> const StoreCounters &
{
    return m_caller->counters();
}

} // namespace stairspur::store
