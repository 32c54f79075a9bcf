#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <stairspur/core/Outcome.h>
#include <stairspur/log/Log.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/Timer.h>

#include "HttpConnectionBase.h"
#include "HttpRefusal.h"
#include "HttpWire.h"

namespace stairspur::transport {

/// One caller's connection: reads a request, has it answered, and again.
///
/// Reading goes on while a handler runs, which is how a caller's leaving is noticed; what arrives meanwhile belongs to
/// the next request and is kept. There is one read and one timer, whichever state the connection is in.
template <typename Stream>
class HttpConnection final
    : public HttpConnectionBase
    , public std::enable_shared_from_this<HttpConnection<Stream>>
{
public:
    HttpConnection(Stream stream, std::shared_ptr<const HttpConnectionContext> context)
        : m_stream(std::move(stream))
        , m_timer(m_stream.get_executor())
        , m_context(std::move(context))
    {
        auto ec = boost::system::error_code();
        m_stream.lowest_layer().set_option(asio::ip::tcp::no_delay(true), ec);
        const auto remote = m_stream.lowest_layer().remote_endpoint(ec);
        m_remoteAddress = ec ? std::string() : remote.address().to_string();
    }

    /// Serves until the connection ends. `isRefused`: there are too many connections; says so and closes.
    auto start(bool isRefused) -> void
    {
        asio::co_spawn(
                m_stream.get_executor(),
                [self = this->shared_from_this(), isRefused]() -> Task<void> {
                    co_await self->run(isRefused);
                },
                [self = this->shared_from_this()](const std::exception_ptr &error) {
                    if (error)
                        log::Line(log::Severity::Error, "http-connection-failed")
                                .add("remote", self->m_remoteAddress);
                    self->abort();
                    self->m_context->didEnd(self.get());
                });
    }

    auto drain() -> void override
    {
        m_isDraining = true;
        // A request that the kernel already holds is still answered.
        auto ec = boost::system::error_code();
        if (m_isIdle && m_stream.lowest_layer().available(ec) == 0)
            abort();
    }

    auto endRequest() -> void override
    {
        m_isDraining = true;
        cancelHandler();
        auto ec = boost::system::error_code();
        if (m_isWaitingForRead && m_stream.lowest_layer().available(ec) == 0)
            abort();
    }

    auto abort() -> void override
    {
        auto ec = boost::system::error_code();
        m_stream.lowest_layer().close(ec);
        cancelHandler();
    }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr auto ReadBytes = std::size_t{16} << 10U;
    /// Refused input is read and dropped for so long, since closing at once would reset the connection and take our
    /// answer away from its reader (RFC 9112, section 9.6).
    static constexpr auto LingerTime = Duration(1'000'000);
    static constexpr auto IsEncrypted = !std::is_same_v<Stream, asio::ip::tcp::socket>;

    enum class ReadResult { Ready, Ended, TimedOut };

    auto run(bool isRefused) -> Task<void>
    {
        if constexpr (IsEncrypted) {
            if (!co_await handshake())
                co_return;
        }
        if (isRefused) {
            co_await refuse({503, Reason::TooManyConnections,
                             "there are too many connections; come back later"});
            co_return;
        }
        while (co_await serveOne())
            ;
    }

    auto handshake() -> Task<bool>
    {
        abortAfter(m_context->settings.requestTimeout);
        auto ec = boost::system::error_code();
        if constexpr (IsEncrypted)
            std::tie(ec) = co_await m_stream.async_handshake(asio::ssl::stream_base::server,
                                                             asio::as_tuple(asio::use_awaitable));
        disarm();
        if (ec)
            log::Line(log::Severity::Warning, "tls-refused")
                    .add("remote", m_remoteAddress)
                    .add("error", ec.message());
        co_return !ec;
    }

    auto abortAfter(Duration timeout) -> void
    {
        const auto generation = ++m_generation;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = this->shared_from_this(), generation](auto ec) {
            // A timer that was already due when it was disarmed must not end what came after.
            if (!ec && self->m_generation == generation)
                self->abort();
        });
    }

    auto disarm() -> void
    {
        ++m_generation;
        m_timer.cancel();
    }

    /// Whether another request may follow.
    auto serveOne() -> Task<bool>
    {
        auto refusal = std::optional<HttpRefusal>();
        if (!co_await readRequest(refusal)) {
            if (refusal)
                co_await refuse(std::move(*refusal));
            co_return false;
        }
        const auto isKept = m_parser->get().keep_alive();
        auto request = takeRequest();
        const auto method = request.method;
        auto response = co_await runHandler(std::move(request));
        if (m_readError)
            co_return false;
        const auto mayGoOn = isKept && !m_isDraining && !m_context->isClosing;
        co_return co_await write(response, method, mayGoOn) && mayGoOn;
    }

    /// Reads one whole request into the parser. False when there is none: with a refusal to send, or without.
    auto readRequest(std::optional<HttpRefusal> &refusal) -> Task<bool>
    {
        if (!co_await waitForFirstByte())
            co_return false;
        // Only now, since the limits may have changed while the connection was idle.
        m_parser.emplace();
        m_parser->header_limit(m_context->settings.maxHeaderBytes);
        m_parser->body_limit(m_context->settings.maxBodyBytes);
        m_parser->eager(true);
        m_isContinueSent = false;
        const auto begin = HostClock::now();
        while (true) {
            refusal = parseBuffer();
            if (refusal)
                co_return false;
            if (m_parser->is_done())
                co_return true;
            co_await sendContinueIfExpected();
            const auto result = co_await readMore(begin + readTimeout());
            if (result == ReadResult::TimedOut)
                refusal = HttpRefusal{408, Reason::BadRequest,
                                      "the request did not arrive in time; send it faster"};
            if (result == ReadResult::Ended)
                refusal = endedEarly();
            if (result != ReadResult::Ready)
                co_return false;
        }
    }

    /// For what is still missing of a request: its header, or the whole.
    [[nodiscard]] auto readTimeout() const -> Duration
    {
        const auto &settings = m_context->settings;
        if (m_parser->is_header_done())
            return settings.requestTimeout;
        return std::min(settings.headerTimeout, settings.requestTimeout);
    }

    auto waitForFirstByte() -> Task<bool>
    {
        if (m_buffer.size() > 0)
            co_return true;
        if (m_isDraining)
            co_return false;
        m_isIdle = true;
        const auto begin = HostClock::now();
        auto idleTimeout = m_context->settings.idleTimeout;
        auto result = co_await readMore(begin + idleTimeout);
        // The limit may have grown while the connection was idle.
        while (result == ReadResult::TimedOut && idleTimeout < m_context->settings.idleTimeout) {
            idleTimeout = m_context->settings.idleTimeout;
            result = co_await readMore(begin + idleTimeout);
        }
        m_isIdle = false;
        co_return result == ReadResult::Ready;
    }

    /// Waits until more bytes are in the buffer.
    auto readMore(HostClock::time_point deadline) -> Task<ReadResult>
    {
        const auto size = m_buffer.size();
        m_timer.expires_at(deadline);
        m_isWaitingForRead = true;
        while (!m_readError && m_buffer.size() == size) {
            startRead();
            const auto [ec] = co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
            if (!ec && m_buffer.size() == size && !m_readError) {
                m_isWaitingForRead = false;
                co_return ReadResult::TimedOut;
            }
        }
        m_isWaitingForRead = false;
        co_return m_buffer.size() > size ? ReadResult::Ready : ReadResult::Ended;
    }

    auto startRead() -> void
    {
        if (m_isReading || m_readError)
            return;
        m_isReading = true;
        m_stream.async_read_some(
                asio::buffer(m_chunk),
                [self = this->shared_from_this()](auto ec, auto n) { self->didRead(ec, n); });
    }

    auto didRead(boost::system::error_code ec, std::size_t n) -> void
    {
        m_isReading = false;
        m_readError = ec;
        const auto space = m_buffer.prepare(n);
        asio::buffer_copy(space, asio::buffer(m_chunk, n));
        m_buffer.commit(n);
        if (m_isWaitingForRead)
            m_timer.cancel();
        if (!m_cancellation)
            return;
        if (ec)
            cancelHandler();
        else if (m_buffer.size() < m_context->settings.maxHeaderBytes)
            startRead();
    }

    auto parseBuffer() -> std::optional<HttpRefusal>
    {
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            auto ec = boost::beast::error_code();
            const auto n = m_parser->put(m_buffer.data(), ec);
            m_buffer.consume(n);
            if (ec && ec != boost::beast::http::error::need_more)
                return refusalFor(ec);
            if (m_parser->is_header_done()) {
                if (auto refusal = refusalForHeader(m_parser->get(), m_parser->chunked()))
                    return refusal;
            }
            if (n == 0)
                break;
        }
        // A line that does not end, in a chunk's extensions or trailers.
        if (!m_parser->is_done() && m_buffer.size() > m_context->settings.maxHeaderBytes)
            return HttpRefusal{431, Reason::TooLarge,
                               "a line of the request is too long; send shorter lines"};
        return std::nullopt;
    }

    auto endedEarly() -> std::optional<HttpRefusal>
    {
        if (m_readError == asio::error::operation_aborted)
            return std::nullopt;
        return HttpRefusal{400, Reason::BadRequest, "the request ended early; send it whole"};
    }

    auto sendContinueIfExpected() -> Task<void>
    {
        namespace http = boost::beast::http;
        if (m_isContinueSent || !m_parser->is_header_done())
            co_return;
        m_isContinueSent = true;
        if (!boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
            co_return;
        static constexpr auto Text = std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
        co_await asio::async_write(m_stream, asio::buffer(Text),
                                   asio::as_tuple(asio::use_awaitable));
    }

    auto takeRequest() -> HttpRequest
    {
        return toHttpRequest(m_parser->release(), m_remoteAddress);
    }

    auto runHandler(HttpRequest request) -> Task<HttpResponse>
    {
        m_cancellation = std::make_shared<Cancellation>();
        if (m_readError)
            m_cancellation->cancel();
        else
            startRead();
        auto response = HttpResponse();
        try {
            response = co_await m_context->handler(std::move(request), m_cancellation);
        } catch (const std::exception &error) {
            log::Line(log::Severity::Error, "http-handler-failed").add("error", error.what());
            response = makeProblem(500, Reason::None, "the handler failed; see the log");
            response.headers.set(std::string(header::Outcome),
                                 std::string(nameOf(Outcome::Unknown)));
        }
        m_cancellation.reset();
        co_return response;
    }

    auto cancelHandler() -> void
    {
        if (const auto cancellation = std::exchange(m_cancellation, nullptr))
            cancellation->cancel();
    }

    auto write(const HttpResponse &response, std::string_view method, bool isKept) -> Task<bool>
    {
        const auto head = makeResponseHead(response, method, isKept);
        const auto isBodySent = mayHaveBody(method, response.status);
        const auto buffers = std::array<asio::const_buffer, 2>{
                asio::buffer(head),
                isBodySent ? asio::buffer(response.body) : asio::const_buffer()};
        // A caller that does not read its answer must not hold its connection, nor a drain, for ever.
        abortAfter(m_context->settings.idleTimeout);
        const auto [ec, n] =
                co_await asio::async_write(m_stream, buffers, asio::as_tuple(asio::use_awaitable));
        disarm();
        co_return !ec;
    }

    /// Answers input that cannot be served, in one log line, and closes.
    auto refuse(HttpRefusal refusal) -> Task<void>
    {
        log::Line(log::Severity::Warning, "http-refused")
                .add("remote", m_remoteAddress)
                .add("status", refusal.status)
                .add("reason", refusal.reason)
                .add("detail", refusal.detail);
        const auto problem = makeProblem(refusal.status, refusal.reason, refusal.detail);
        if (!co_await write(problem, "", false))
            co_return;
        auto ec = boost::system::error_code();
        m_stream.lowest_layer().shutdown(asio::socket_base::shutdown_send, ec);
        const auto deadline = HostClock::now() + LingerTime;
        m_buffer.consume(m_buffer.size());
        while (co_await readMore(deadline) == ReadResult::Ready)
            m_buffer.consume(m_buffer.size());
    }

    Stream m_stream;
    Timer m_timer;
    std::shared_ptr<const HttpConnectionContext> m_context;
    std::string m_remoteAddress;
    std::array<char, ReadBytes> m_chunk;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    boost::system::error_code m_readError;
    CancellationPtr m_cancellation;
    std::uint64_t m_generation = 0;
    bool m_isReading = false;
    bool m_isWaitingForRead = false;
    bool m_isIdle = false;
    bool m_isDraining = false;
    bool m_isContinueSent = false;
};

} // namespace stairspur::transport
