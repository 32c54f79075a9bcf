#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/store/HedgeDelay.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/store/StoreSettings.h>
#include <stairspur/store/TokenBucket.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// One attempt's end: a status, and the answer when there is one.
struct StoreAttempt
{
    StoreStatus status = StoreStatus::Unknown;
    nlohmann::json answer{};
    std::string detail{};
    std::uint32_t httpStatus = 0; ///< Of the response; 0 without one.
    /// A fresh connection brought the answer while a kept one said nothing.
    bool hasFoundSilentConnection = false;
};

/// Calls to a store over HTTP, whatever its protocol: the rate limit, further attempts where they do no harm, counters
/// and log lines. Shared by the coroutines that use it, so that they may outlive the store's object.
class StoreCaller : public std::enable_shared_from_this<StoreCaller>
{
public:
    /// Reads a whole response of the store.
    using ReadFunction = std::function<StoreAttempt(const transport::HttpResponse &)>;

    StoreCaller(boost::asio::io_context &io, StoreSettings settings, ReadFunction read,
                std::uint64_t seed);

    /// Sends a request until an attempt ends in a way that no further one can better.
    auto call(StoreCall kind, transport::HttpRequest request) -> transport::Task<StoreAttempt>;

    /// One attempt past the rate limit, which may take `timeout`. Cancelled, it ends as Unknown.
    auto callOnce(StoreCall kind, transport::HttpRequest request, Duration timeout,
                  transport::CancellationPtr cancellation) -> transport::Task<StoreAttempt>;

    /// Waits for the rate limit; false: the line is too long.
    auto waitForRateLimit() -> transport::Task<bool>;

    auto count(StoreCall kind, StoreStatus status) -> void;
    auto countWatchMessage() -> void { m_counters.watchMessages += 1; }
    [[nodiscard]] auto counters() const -> const StoreCounters & { return m_counters; }
    [[nodiscard]] auto settings() const -> const StoreSettings & { return m_settings; }
    [[nodiscard]] auto io() const -> boost::asio::io_context & { return m_io; }

private:
    struct Race;

    /// One attempt at a repeatable call, of which a second copy goes out when the answer is late. The first answer counts.
    auto callHedged(StoreCall kind, transport::HttpRequest request)
            -> transport::Task<StoreAttempt>;
    /// One copy of a hedged call, on a connection whose last answer is no older than `maxAge`.
    auto enterRace(std::shared_ptr<Race> race, transport::HttpRequest request, Duration maxAge)
            -> transport::Task<void>;
    auto tryOnce(transport::HttpRequest request, Duration timeout,
                 transport::CancellationPtr cancellation, Duration maxAge)
            -> transport::Task<StoreAttempt>;
    auto sleep(Duration time) -> transport::Task<void>;
    auto didEnd(StoreCall kind, const StoreAttempt &attempt) -> void;

    boost::asio::io_context &m_io;
    StoreSettings m_settings;
    ReadFunction m_read;
    transport::HttpClient m_client;
    TokenBucket m_bucket;
    HedgeDelay m_hedgeDelay;
    Random m_random;
    StoreCounters m_counters;
    std::uint32_t m_inLine = 0;
};

/// The typed result of an attempt; an answer that cannot be decoded leaves doubt.
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
