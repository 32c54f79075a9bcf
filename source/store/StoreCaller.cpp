#include <stairspur/store/StoreCaller.h>

#include <utility>

#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>
#include <stairspur/store/Backoff.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::store {

namespace asio = boost::asio;

using transport::HttpClientError;
using transport::HttpFailure;
using transport::HttpRequest;
using transport::Task;

/// No caller waits longer than this many timeouts for the rate limit: it is told that the store was not reached.
static constexpr auto MaxTimeoutsInLine = 4;

StoreCaller::StoreCaller(asio::io_context &io, StoreSettings settings, ReadFunction read,
                         std::uint64_t seed)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_read(std::move(read))
    , m_client(io, {.address = m_settings.address,
                    .port = m_settings.port,
                    .connectTimeout = m_settings.timeout})
    , m_bucket(m_settings.callsPerSecond, m_settings.burst)
    , m_random(seed)
{}

/// A write whose answer was lost may have been applied: whoever wrote must read before it writes again.
static auto isWorthAnother(StoreCall kind, StoreStatus status) -> bool
{
    if (status == StoreStatus::Unreachable)
        return true;
    const auto isRepeatable = kind == StoreCall::Range || kind == StoreCall::LeaseKeepAlive;
    return isRepeatable && status == StoreStatus::Unknown;
}

auto StoreCaller::call(StoreCall kind, HttpRequest request) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    auto backoff = Backoff(m_settings.minBackoff, m_settings.maxBackoff);
    auto attempt = StoreAttempt();
    for (auto n = std::uint32_t{0}; n < m_settings.attempts; ++n) {
        if (n > 0)
            co_await sleep(backoff.next(m_random));
        if (!co_await waitForTurn())
            co_return StoreAttempt{
                    StoreStatus::Unreachable, {}, "the store's rate limit is used up"};
        attempt = co_await callOnce(kind, request, m_settings.timeout, nullptr);
        if (!isWorthAnother(kind, attempt.status))
            break;
    }
    co_return attempt;
}

auto StoreCaller::callOnce(StoreCall kind, HttpRequest request, Duration timeout,
                           transport::CancellationPtr cancellation) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    auto attempt = co_await tryOnce(std::move(request), timeout, std::move(cancellation));
    didEnd(kind, attempt);
    co_return attempt;
}

auto StoreCaller::tryOnce(HttpRequest request, Duration timeout,
                          transport::CancellationPtr cancellation) -> Task<StoreAttempt>
{
    try {
        const auto response =
                co_await m_client.send(std::move(request), timeout, std::move(cancellation));
        auto attempt = m_read(response);
        attempt.httpStatus = response.status;
        co_return attempt;
    } catch (const HttpClientError &error) {
        const auto isUnsent = error.failure() == HttpFailure::NotConnected;
        co_return StoreAttempt{
                isUnsent ? StoreStatus::Unreachable : StoreStatus::Unknown, {}, error.what()};
    }
}

auto StoreCaller::waitForTurn() -> Task<bool>
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

auto StoreCaller::sleep(Duration time) -> Task<void>
{
    auto timer = transport::Timer(m_io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

auto StoreCaller::didEnd(StoreCall kind, const StoreAttempt &attempt) -> void
{
    count(kind, attempt.status);
    if (attempt.status == StoreStatus::Ok)
        return;
    log::Line(log::Severity::Warning, "store-call")
            .add("call", kind)
            .add("status", attempt.status)
            .add("detail", attempt.detail);
}

auto StoreCaller::count(StoreCall kind, StoreStatus status) -> void
{
    m_counters.calls[static_cast<std::size_t>(kind)][static_cast<std::size_t>(status)] += 1;
}

} // namespace stairspur::store
