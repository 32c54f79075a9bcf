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

/// No caller waits longer than this many timeouts for the rate limit: it is told that the store was not reached.
static constexpr auto MaxTimeoutsInLine = 4;

/// A request that must not be sent twice goes out on a kept connection only if that one has answered so lately.
static constexpr auto TrustedAge = Duration{500'000};

/// The copies of one hedged call.
struct StoreCaller::Race
{
    explicit Race(asio::io_context &io)
        : timer(io)
    {}

    /// Waits until the race is decided, but no longer than `time`.
    auto wait(Duration time) -> Task<void>
    {
        auto ec = boost::system::error_code();
        timer.expires_after(time);
        if (!isDecided())
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    /// Whether a copy was answered, or none is left that could be.
    [[nodiscard]] auto isDecided() const -> bool { return isAnswered() || running == 0; }
    [[nodiscard]] auto isAnswered() const -> bool { return result.httpStatus != 0; }

    transport::Timer timer;
    transport::CancellationPtr kept = std::make_shared<transport::Cancellation>();
    transport::CancellationPtr fresh = std::make_shared<transport::Cancellation>();
    std::uint32_t running = 0;
    StoreAttempt result;           ///< The answer, or the latest failure.
    bool hasFreshAnswered = false; ///< The copy on the fresh connection brought it.
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

/// Whether a second copy of a call does no harm, and its answer serves as well.
static auto isRepeatable(StoreCall kind) -> bool
{
    return kind == StoreCall::Range || kind == StoreCall::LeaseKeepAlive;
}

/// A write whose answer was lost may have been applied: whoever wrote must read before it writes again.
static auto isWorthAnother(StoreCall kind, StoreStatus status) -> bool
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
        if (!isWorthAnother(kind, attempt.status))
            break;
    }
    co_return attempt;
}

auto StoreCaller::callOnce(StoreCall kind, HttpRequest request, Duration timeout,
                           transport::CancellationPtr cancellation) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    auto attempt =
            co_await tryOnce(std::move(request), timeout, std::move(cancellation), TrustedAge);
    didEnd(kind, attempt);
    co_return attempt;
}

auto StoreCaller::callHedged(StoreCall kind, HttpRequest request) -> Task<StoreAttempt>
{
    const auto self = shared_from_this();
    const auto race = std::make_shared<Race>(m_io);
    const auto begin = monotonicNow();
    ++race->running;
    asio::co_spawn(m_io, enterRace(race, request, transport::HttpClient::AnyAge), asio::detached);
    co_await race->wait(m_hedgeDelay.value());
    if (!race->isDecided() && co_await waitForRateLimit() && !race->isDecided()) {
        ++race->running;
        asio::co_spawn(m_io, enterRace(race, std::move(request), Duration::zero()), asio::detached);
    }
    co_await race->wait(2 * m_settings.timeout); // Each copy ends by itself before that.
    race->kept->cancel();
    race->fresh->cancel();
    auto &result = race->result;
    if (race->hasFreshAnswered) {
        result.hasFoundSilentConnection = true;
        m_client.closeUnusedSince(begin);
        log::Line(log::Severity::Info, "store-connection-silent")
                .add("call", kind)
                .add("silent_ms", toMilliseconds(monotonicNow() - begin));
    }
    didEnd(kind, result);
    co_return std::move(result);
}

auto StoreCaller::enterRace(std::shared_ptr<Race> race, HttpRequest request, Duration maxAge)
        -> Task<void>
{
    const auto self = shared_from_this();
    const auto isFresh = maxAge == Duration::zero();
    const auto begin = monotonicNow();
    auto attempt = co_await tryOnce(std::move(request), m_settings.timeout,
                                    isFresh ? race->fresh : race->kept, maxAge);
    --race->running;
    if (race->isAnswered())
        co_return;
    race->result = std::move(attempt);
    if (race->isAnswered()) {
        race->hasFreshAnswered = isFresh && race->running > 0;
        m_hedgeDelay.didReceiveAnswer(monotonicNow() - begin);
    }
    if (race->isDecided())
        race->timer.cancel();
}

auto StoreCaller::tryOnce(HttpRequest request, Duration timeout,
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
