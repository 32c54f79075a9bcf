#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/core/TokenBucket.h>
#include <stairspur/store/HedgeDelay.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/store/StoreSettings.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// Outcome of one attempt at a call.
struct StoreAttempt
{
    StoreStatus status = StoreStatus::Unknown;
    nlohmann::json answer{};      ///< Set if the status is Ok.
    std::string detail{};         ///< Description of the failure, for the log. Empty on success.
    std::uint32_t httpStatus = 0; ///< HTTP status of the response; 0 if there is no response.
    /// Whether the answer arrived over a fresh connection while a kept connection did not answer.
    bool hasFoundSilentConnection = false;
};

/// Sends calls to a store over HTTP, independent of the store's protocol. Applies the rate limit, retries where a retry
/// is safe, counts the calls and logs failures. The coroutines that use a caller share it, so that they may outlive the
/// store's object.
class StoreCaller : public std::enable_shared_from_this<StoreCaller>
{
public:
    /// Decodes a complete response of the store.
    using ReadFunction = std::function<StoreAttempt(const transport::HttpResponse &)>;

    StoreCaller(boost::asio::io_context &io, StoreSettings settings, ReadFunction read,
                std::uint64_t seed);

    /// Sends a request. Retries after a backoff while the outcome permits a retry and attempts are left, and returns
    /// the outcome of the last attempt.
    auto call(StoreCall kind, transport::HttpRequest request) -> transport::Task<StoreAttempt>;

    /// Makes one attempt, of at most `timeout`, which does not wait for the rate limit. A cancelled attempt ends as
    /// Unknown. The user calls waitForRateLimit() first.
    auto callOnce(StoreCall kind, transport::HttpRequest request, Duration timeout,
                  transport::CancellationPtr cancellation) -> transport::Task<StoreAttempt>;

    /// Waits until the rate limit permits a call. Returns false, without a wait, if too many calls are waiting already.
    auto waitForRateLimit() -> transport::Task<bool>;

    /// Counts one attempt or watch by its outcome.
    auto count(StoreCall kind, StoreStatus status) -> void;
    /// Counts one message of a watch that contains events.
    auto countWatchMessage() -> void { m_counters.watchMessages += 1; }
    [[nodiscard]] auto counters() const -> const StoreCounters & { return m_counters; }
    [[nodiscard]] auto settings() const -> const StoreSettings & { return m_settings; }
    [[nodiscard]] auto io() const -> boost::asio::io_context & { return m_io; }

private:
    struct HedgedCall;

    /// Makes one attempt at a repeatable call as a hedged request: sends a second copy when the answer is late, and
    /// returns the first answer.
    auto callHedged(StoreCall kind, transport::HttpRequest request)
            -> transport::Task<StoreAttempt>;
    /// Sends one copy of a hedged call on a connection whose last answer is not older than `maxAge`. A `maxAge` of zero
    /// requires a fresh connection.
    auto sendCopy(std::shared_ptr<HedgedCall> hedged, transport::HttpRequest request,
                  Duration maxAge) -> transport::Task<void>;
    /// Sends a request once, on a connection whose last answer is not older than `maxAge`.
    auto sendOnce(transport::HttpRequest request, Duration timeout,
                  transport::CancellationPtr cancellation, Duration maxAge)
            -> transport::Task<StoreAttempt>;
    auto sleep(Duration time) -> transport::Task<void>;
    /// Counts an attempt, and logs it if it failed.
    auto recordAttempt(StoreCall kind, const StoreAttempt &attempt) -> void;

    boost::asio::io_context &m_io;
    StoreSettings m_settings;
    ReadFunction m_read;
    transport::HttpClient m_client;
    TokenBucket m_bucket;
    HedgeDelay m_hedgeDelay;
    Random m_random;
    StoreCounters m_counters;
    std::uint32_t m_waitingCalls = 0; ///< Number of calls that wait for the rate limit.
};

/// Returns the typed result of an attempt. An answer that cannot be decoded gives the status Unknown, because a write
/// may have been applied.
template <typename Value, typename Decode>
auto resultOf(const StoreAttempt &attempt, Decode decode) -> StoreResult<Value>
{
    if (attempt.status != StoreStatus::Ok)
        return {attempt.status, {}, attempt.detail};
    try {
        return {StoreStatus::Ok, decode(attempt.answer), {}, attempt.hasFoundSilentConnection};
    } catch (const std::exception &error) {
        return {StoreStatus::Unknown, {}, error.what()};
    }
}

} // namespace stairspur::store
