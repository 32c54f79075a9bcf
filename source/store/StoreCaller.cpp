#include <stairspur/store/StoreCaller.h>

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
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

/// Maximum wait for the rate limit, in seconds. A call that would wait longer fails as Unreachable.
static constexpr auto MaxWaitSeconds = 4;

/// Maximum age of a kept connection's last answer for a request that must not be sent twice. An older connection
/// may be dead, and a request that is lost on it must not be retried.
static constexpr auto MaxAnswerAge = Duration{500'000};

/// State that the copies of one hedged call share.
struct StoreCaller::HedgedCall
{
    explicit HedgedCall(asio::io_context &io)
        : timer(io)
    {}

    /// Waits until the call is finished, but at most for `time`.
    auto wait(Duration time) -> Task<void>
    {
        auto ec = boost::system::error_code();
        timer.expires_after(time);
        if (!isFinished())
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    /// Returns whether a copy was answered or no copy is running.
    [[nodiscard]] auto isFinished() const -> bool { return isAnswered() || running == 0; }
    [[nodiscard]] auto isAnswered() const -> bool { return result.httpStatus != 0; }

    transport::Timer timer;
    transport::CancellationPtr keptCancellation = std::make_shared<transport::Cancellation>();
    transport::CancellationPtr freshCancellation = std::make_shared<transport::Cancellation>();
    std::uint32_t running = 0;    ///< Number of copies without an outcome.
    StoreAttempt result;          ///< The answer, or the latest failure.
    bool isFromFreshCopy = false; ///< Whether the fresh copy answered while the other one ran.
};

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

/// Returns whether a second copy of a call is harmless and its answer is equivalent.
static auto isRepeatable(StoreCall kind) -> bool
{
    return kind == StoreCall::Range || kind == StoreCall::LeaseKeepAlive;
}

/// Returns whether a call with this outcome may be sent again. A write without an answer may have been applied, so the
/// writer must read before it writes again.
static auto isRetryable(StoreCall kind, StoreStatus status) -> bool
{
    if (status == StoreStatus::Unreachable)
        return true;
    return isRepeatable(kind) && status == StoreStatus::Unknown;
}

auto StoreCaller::call(StoreCall kind, HttpRequest request) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    auto backoff = Backoff(m_settings.minBackoff, m_settings.maxBackoff);
    auto attempt = StoreAttempt();
    for (auto n = std::uint32_t{0}; n < m_settings.attempts; ++n) {
        if (n > 0)
            co_await sleep(backoff.next(m_random));
        if (!co_await waitForRateLimit())
            co_return StoreAttempt{
                    StoreStatus::Unreachable, {}, "the store's rate limit is used up"};
        attempt = isRepeatable(kind)
                          ? co_await callHedged(kind, request)
                          : co_await callOnce(kind, request, m_settings.timeout, nullptr);
        if (!isRetryable(kind, attempt.status))
            break;
    }
    co_return attempt;
}

auto StoreCaller::callOnce(StoreCall kind, HttpRequest request, Duration timeout,
                           transport::CancellationPtr cancellation) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    auto attempt =
            co_await sendOnce(std::move(request), timeout, std::move(cancellation), MaxAnswerAge);
    recordAttempt(kind, attempt);
    co_return attempt;
}

auto StoreCaller::callHedged(StoreCall kind, HttpRequest request) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    const auto hedged = std::make_shared<HedgedCall>(m_io);
    const auto begin = monotonicNow();
    ++hedged->running;
    asio::co_spawn(m_io, sendCopy(hedged, request, transport::HttpClient::AnyAge), asio::detached);
    co_await hedged->wait(m_hedgeDelay.value());
    if (!hedged->isFinished() && co_await waitForRateLimit() && !hedged->isFinished()) {
        ++hedged->running;
        asio::co_spawn(m_io, sendCopy(hedged, std::move(request), Duration::zero()),
                       asio::detached);
    }
    co_await hedged->wait(2 * m_settings.timeout); // Each copy times out before that.
    hedged->keptCancellation->cancel();
    hedged->freshCancellation->cancel();
    auto &result = hedged->result;
    if (hedged->isFromFreshCopy) {
        result.hasFoundSilentConnection = true;
        m_client.closeUnusedSince(begin);
        log::Line(log::Severity::Info, "store-connection-silent")
                .add("call", kind)
                .add("silent_ms", toMilliseconds(monotonicNow() - begin));
    }
    recordAttempt(kind, result);
    co_return std::move(result);
}

auto StoreCaller::sendCopy(std::shared_ptr<HedgedCall> hedged, HttpRequest request, Duration maxAge)
        -> Task<void>
{
    const auto self = shared_from_this();
    const auto isFresh = maxAge == Duration::zero();
    const auto begin = monotonicNow();
    auto attempt = co_await sendOnce(std::move(request), m_settings.timeout,
                                     isFresh ? hedged->freshCancellation : hedged->keptCancellation,
                                     maxAge);
    --hedged->running;
    if (hedged->isAnswered())
        co_return;
    hedged->result = std::move(attempt);
    if (hedged->isAnswered()) {
        hedged->isFromFreshCopy = isFresh && hedged->running > 0;
        m_hedgeDelay.didReceiveAnswer(monotonicNow() - begin);
    }
    if (hedged->isFinished())
        hedged->timer.cancel();
}

auto StoreCaller::sendOnce(HttpRequest request, Duration timeout,
                           transport::CancellationPtr cancellation, Duration maxAge)
        -> Task<StoreAttempt>
{
    try {
        const auto response = co_await m_client.send(std::move(request), timeout,
                                                     std::move(cancellation), maxAge);
        auto attempt = m_read(response);
        attempt.httpStatus = response.status;
        co_return attempt;
    } catch (const HttpClientError &error) {
        const auto isUnsent = error.failure() == HttpFailure::NotConnected;
        co_return StoreAttempt{
                isUnsent ? StoreStatus::Unreachable : StoreStatus::Unknown, {}, error.what()};
    }
}

auto StoreCaller::waitForRateLimit() -> Task<bool>
{
    if (m_waitingCalls > m_settings.callsPerSecond * MaxWaitSeconds)
        co_return false;
    const auto wait = m_bucket.take(monotonicNow());
    if (wait == Duration{0})
        co_return true;
    ++m_counters.delayed;
    ++m_waitingCalls;
    co_await sleep(wait);
    --m_waitingCalls;
    co_return true;
}

auto StoreCaller::sleep(Duration time) -> Task<void>
{
    auto timer = transport::Timer(m_io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

auto StoreCaller::recordAttempt(StoreCall kind, const StoreAttempt &attempt) -> void
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
