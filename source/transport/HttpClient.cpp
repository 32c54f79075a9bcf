#include <stairspur/transport/HttpClient.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include <stairspur/log/Log.h>

#include "HttpClientConnection.h"

namespace stairspur::transport {

using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

/// Lets a cancellation close the connection that carries the request, for as long as it does.
class CancellationGuard
{
public:
    CancellationGuard(CancellationPtr cancellation, const ConnectionPtr &connection)
        : m_cancellation(std::move(cancellation))
    {
        if (!m_cancellation)
            return;
        m_cancellation->onCancel([weak = std::weak_ptr(connection)] {
            if (const auto it = weak.lock())
                it->giveUp(HttpFailure::Cancelled);
        });
    }
    ~CancellationGuard()
    {
        if (m_cancellation && !m_cancellation->isCancelled())
            m_cancellation->onCancel(nullptr);
    }
    CancellationGuard(const CancellationGuard &) = delete;
    CancellationGuard(CancellationGuard &&) = delete;
    auto operator=(const CancellationGuard &) -> CancellationGuard & = delete;
    auto operator=(CancellationGuard &&) -> CancellationGuard & = delete;

private:
    CancellationPtr m_cancellation;
};

/// Unfinished answers of the largest size that a client holds at once. Smaller ones may be many.
static constexpr auto MaxUnfinishedAnswers = std::uint64_t{2};

class HttpClient::Pool : public std::enable_shared_from_this<HttpClient::Pool>
{
public:
    Pool(asio::io_context &io, HttpClientSettings settings)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_endpoint(parseAddress(m_settings.address), m_settings.port)
        , m_host(m_settings.address + ":" + std::to_string(m_settings.port))
        , m_answerBudget(
                  std::make_shared<AnswerBudget>(MaxUnfinishedAnswers * m_settings.maxAnswerBytes))
    {}

    auto send(HttpRequest request, Duration timeout, CancellationPtr cancellation, Duration maxAge)
            -> Task<HttpResponse>
    {
        const auto self = shared_from_this();
        const auto deadline = monotonicNow() + timeout;
        const auto head = makeRequestHead(request, m_host);
        ensureMaySend(cancellation);
        while (auto connection = takeIdle(idOf(request), maxAge)) {
            // Only a request of which no byte was sent goes on to another connection.
            if (auto response = co_await tryKept(connection, head, request, deadline, cancellation))
                co_return std::move(*response);
            ensureMaySend(cancellation);
        }
        auto connection = std::make_shared<HttpClientConnection>(
                m_io, m_settings.unacknowledgedTimeout, m_answerBudget);
        const auto guard = CancellationGuard(cancellation, connection);
        co_await connection->connect(
                m_endpoint, std::min(deadline - monotonicNow(), m_settings.connectTimeout));
        ensureMaySend(cancellation);
        co_return co_await exchange(connection, head, request, deadline);
    }

    auto closeIdle() -> void { m_idle.clear(); }

    auto stopSending() -> void { m_isStopped = true; }

    /// What silenced one kept connection may have silenced others: those that have answered nothing since `time` are not
    /// trusted with another request.
    auto closeUnusedSince(TimePoint time) -> void
    {
        std::erase_if(m_idle, [time](const auto &it) { return it->lastUsed() < time; });
    }

private:
    auto ensureMaySend(const CancellationPtr &cancellation) const -> void
    {
        if (m_isStopped)
            throw HttpClientError(HttpFailure::NotConnected, "the server takes no new requests",
                                  "send it to another server");
        if (cancellation && cancellation->isCancelled())
            throw HttpClientError(HttpFailure::NotConnected, "the request was cancelled unsent",
                                  "send it again if it is still wanted");
    }

    static auto parseAddress(const std::string &text) -> asio::ip::address
    {
        auto ec = boost::system::error_code();
        auto address = asio::ip::make_address(text, ec);
        if (ec)
            throw SettingError("'" + text + "' is no IP number", "name the server's IP number");
        return address;
    }

    auto tryKept(const ConnectionPtr &connection, const std::string &head,
                 const HttpRequest &request, TimePoint deadline, CancellationPtr cancellation)
            -> Task<std::optional<HttpResponse>>
    {
        const auto guard = CancellationGuard(std::move(cancellation), connection);
        const auto begin = monotonicNow();
        try {
            co_return co_await exchange(connection, head, request, deadline);
        } catch (const HttpClientError &error) {
            if (connection->hasFallenSilent() || error.failure() == HttpFailure::TimedOut)
                closeUnusedSince(begin);
            if (connection->hasFallenSilent())
                logSilence(*connection, begin);
            if (error.failure() != HttpFailure::NotConnected)
                throw;
        }
        co_return std::nullopt;
    }

    auto logSilence(const HttpClientConnection &connection, TimePoint begin) const -> void
    {
        log::Line(log::Severity::Warning, "connection-silent")
                .add("server", m_host)
                .add("idle_ms", toMilliseconds(begin - connection.lastUsed()))
                .add("waited_ms", toMilliseconds(monotonicNow() - begin));
    }

    auto exchange(const ConnectionPtr &connection, const std::string &head,
                  const HttpRequest &request, TimePoint deadline) -> Task<HttpResponse>
    {
        auto response =
                co_await connection->exchange(head, request, deadline - monotonicNow(), m_settings);
        if (connection->mayBeKept() && m_idle.size() < m_settings.maxIdleConnections)
            m_idle.push_back(connection);
        co_return response;
    }

    /// Returns the id that the answer to `request` repeats; empty if the server repeats none.
    auto idOf(const HttpRequest &request) const -> std::string_view
    {
        return m_settings.echoedId ? m_settings.echoedId(request.headers) : std::string_view();
    }

    /// The kept connection that was used last, which is the least likely to have been closed meanwhile, among those that have
    /// not carried `id`. Those that are too old are closed: a fresh one takes their place, beside which they would pile up.
    auto takeIdle(std::string_view id, Duration maxAge) -> ConnectionPtr
    {
        const auto now = monotonicNow();
        if (maxAge < AnyAge)
            closeUnusedSince(now - maxAge);
        const auto mayCarry = [id](const auto &it) { return !it->hasCarried(id); };
        while (true) {
            const auto it = std::find_if(m_idle.rbegin(), m_idle.rend(), mayCarry);
            if (it == m_idle.rend())
                return nullptr;
            auto connection = std::move(*it);
            m_idle.erase(std::next(it).base());
            if (!connection->isStale(now) && connection->isUsable())
                return connection;
        }
    }

    asio::io_context &m_io;
    HttpClientSettings m_settings;
    asio::ip::tcp::endpoint m_endpoint;
    std::string m_host;
    std::shared_ptr<AnswerBudget> m_answerBudget;
    std::vector<ConnectionPtr> m_idle;
    bool m_isStopped = false;
};

HttpClient::HttpClient(asio::io_context &io, HttpClientSettings settings)
    : m_pool(std::make_shared<Pool>(io, std::move(settings)))
{}

HttpClient::~HttpClient()
{
    m_pool->closeIdle();
}

auto HttpClient::send(HttpRequest request, Duration timeout, CancellationPtr cancellation,
                      Duration maxAge) -> Task<HttpResponse>
{
    return m_pool->send(std::move(request), timeout, std::move(cancellation), maxAge);
}

auto HttpClient::stopSending() -> void
{
    m_pool->stopSending();
}

auto HttpClient::closeUnusedSince(TimePoint time) -> void
{
    m_pool->closeUnusedSince(time);
}

} // namespace stairspur::transport
