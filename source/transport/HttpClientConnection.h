#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/circular_buffer.hpp>

#include <stairspur/core/Hash.h>
#include <stairspur/log/Log.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/Timer.h>

#include "AnswerBudget.h"
#include "AnswerHead.h"
#include "HttpWire.h"
#include "SilenceDetection.h"

namespace stairspur::transport {

/// One connection to the server; carries one request at a time. Closing it is how a request is given up.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(asio::io_context &io, Duration unacknowledgedTimeout,
                         std::shared_ptr<AnswerBudget> budget)
        : m_socket(io)
        , m_timer(io)
        , m_unacknowledgedTimeout(unacknowledgedTimeout)
        , m_budget(std::move(budget))
        , m_carriedIds(MaxCarriedIds)
    {}

    /// Returns whether a request with this id was sent on this connection, so that its answer may arrive once more.
    [[nodiscard]] auto hasCarried(std::string_view id) const -> bool
    {
        return std::ranges::find(m_carriedIds, hash64(id)) != m_carriedIds.end();
    }

    /// Whether the server has left this kept connection alone, so that a request may be sent on it.
    auto isUsable() -> bool
    {
        auto byte = char();
        auto ec = boost::system::error_code();
        m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        return ec == asio::error::would_block;
    }

    auto connect(const asio::ip::tcp::endpoint &endpoint, Duration timeout) -> Task<void>
    {
        arm(timeout);
        const auto [ec] =
                co_await m_socket.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
        disarm();
        if (ec || m_isGivenUp)
            fail(HttpFailure::NotConnected, ec.message());
        auto ignored = boost::system::error_code();
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        detectSilence(m_socket, m_unacknowledgedTimeout);
    }

    /// Sends `head` and the request's body, and reads the answer.
    auto exchange(const std::string &head, const HttpRequest &request, Duration timeout,
                  const HttpClientSettings &settings) -> Task<HttpResponse>
    {
        arm(timeout);
        m_port = settings.port;
        m_requestId.clear();
        if (settings.echoedId) {
            m_requestId = settings.echoedId(request.headers);
            m_carriedIds.push_back(hash64(m_requestId));
        }
        const auto buffers =
                std::array<asio::const_buffer, 2>{asio::buffer(head), asio::buffer(request.body)};
        const auto [ec, n] =
                co_await asio::async_write(m_socket, buffers, asio::as_tuple(asio::use_awaitable));
        if (ec && n == 0)
            fail(HttpFailure::NotConnected, ec.message());
        m_writeError = ec;
        // A server that refuses a large body answers before it has read it all, so an answer is looked for even after a
        // write that failed (RFC 9112, section 9.6).
        const auto hold = BudgetHold(*this);
        auto response = co_await readOwnAnswer(request, settings);
        disarm();
        // The rest of a body that was not sent whole would be taken for the next request.
        m_mayBeKept = m_mayBeKept && !m_writeError;
        m_lastUsed = monotonicNow();
        noteIdleLimit(response);
        co_return response;
    }

    /// Whether the server may be about to close this idle connection, by what it told in its last answer.
    [[nodiscard]] auto isStale(TimePoint now) const -> bool
    {
        return m_idleLimit && now - m_lastUsed >= *m_idleLimit;
    }

    /// When the last answer came.
    [[nodiscard]] auto lastUsed() const -> TimePoint { return m_lastUsed; }

    /// Whether the kernel gave the connection up because the far end acknowledged nothing.
    [[nodiscard]] auto hasFallenSilent() const -> bool { return m_hasFallenSilent; }

    /// Closes; a request that runs ends with the failure that is given here.
    auto giveUp(HttpFailure failure) -> void
    {
        m_isGivenUp = true;
        m_failure = failure;
        auto ec = boost::system::error_code();
        m_socket.close(ec);
    }

    [[nodiscard]] auto mayBeKept() const -> bool { return m_mayBeKept && !m_isGivenUp; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// Releases the connection's part of the budget when its answer is complete or has failed.
    class BudgetHold
    {
    public:
        explicit BudgetHold(HttpClientConnection &connection)
            : m_connection(connection)
        {}
        ~BudgetHold() { m_connection.m_budget->release(&m_connection); }
        BudgetHold(const BudgetHold &) = delete;
        BudgetHold(BudgetHold &&) = delete;
        auto operator=(const BudgetHold &) -> BudgetHold & = delete;
        auto operator=(BudgetHold &&) -> BudgetHold & = delete;

    private:
        HttpClientConnection &m_connection;
    };

    static constexpr auto MaxHeaderBytes = std::uint32_t{64} << 10U;
    /// Bytes that are read and not parsed yet. The parser asks for more until a line ends, also within a chunk's extensions and
    /// trailers, which its limits don't cover.
    static constexpr auto MaxUnparsedBytes = std::size_t{2} * MaxHeaderBytes;
    static constexpr auto MaxInterimAnswers = 16;
    /// Answers to other requests that are passed over in search of the right one.
    static constexpr auto MaxForeignAnswers = 2;
    /// Requests that a connection remembers. A server sends in order, and no more than MaxForeignAnswers late answers are
    /// passed over, so that the answer to an earlier request cannot follow.
    static constexpr auto MaxCarriedIds = std::size_t{64};
    /// A connection is given up so long before the server's idle timeout, since a request that is on its way when the
    /// server closes is lost.
    static constexpr auto IdleMargin = Duration(500'000);

    /// Reads `Keep-Alive: timeout=N`, in whole seconds (RFC 2068, section 19.7.1.1).
    auto noteIdleLimit(const HttpResponse &response) -> void
    {
        static constexpr auto Parameter = std::string_view("timeout=");
        const auto text = response.headers.find("Keep-Alive");
        const auto at = text.find(Parameter);
        if (at == std::string_view::npos)
            return;
        auto seconds = 0U;
        const auto digits = text.substr(at + Parameter.size());
        const auto ec = std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec;
        if (ec == std::errc())
            m_idleLimit = std::chrono::seconds(seconds) - IdleMargin;
    }

    /// Passes over late second answers to earlier requests: the one to `request` follows them.
    auto readOwnAnswer(const HttpRequest &request, const HttpClientSettings &settings)
            -> Task<HttpResponse>
    {
        auto response = co_await readAnswer(request.method, settings.maxAnswerBytes);
        for (auto skipped = 0; isForeign(request, response, settings); ++skipped) {
            didDropAnswer(response, settings);
            if (skipped >= MaxForeignAnswers || !m_isKeptAlive)
                fail(HttpFailure::Broken, "the answer belongs to another request");
            response = co_await readAnswer(request.method, settings.maxAnswerBytes);
        }
        if (settings.echoedId && settings.echoedId(response.headers).empty())
            acceptWithoutId(request, response, settings);
        co_return response;
    }

    static auto isForeign(const HttpRequest &request, const HttpResponse &response,
                          const HttpClientSettings &settings) -> bool
    {
        if (!settings.echoedId)
            return false;
        const auto id = settings.echoedId(response.headers);
        return !id.empty() && id != settings.echoedId(request.headers);
    }

    /// A server may refuse a request before it has read its id. On a connection that has carried other requests, the answer
    /// may be a late one to any of them.
    auto acceptWithoutId(const HttpRequest &request, const HttpResponse &response,
                         const HttpClientSettings &settings) -> void
    {
        const auto isAccepted = m_carriedIds.size() <= 1;
        log::Line(log::Severity::Info, "answer-without-id", log::LineKind::Audit)
                .add("id", settings.echoedId(request.headers))
                .add("accepted", isAccepted)
                .add("status", response.status)
                .add("port", settings.port);
        if (!isAccepted)
            fail(HttpFailure::Broken, "the answer has no id, and may belong to another request");
        m_mayBeKept = false;
    }

    static auto didDropAnswer(const HttpResponse &response, const HttpClientSettings &settings)
            -> void
    {
        if (settings.didDropAnswer)
            settings.didDropAnswer();
        log::Line(log::Severity::Info, "late-answer-dropped", log::LineKind::Audit)
                .add("id", settings.echoedId(response.headers))
                .add("status", response.status)
                .add("port", settings.port);
    }

    auto readAnswer(const std::string &method, std::uint64_t maxAnswerBytes) -> Task<HttpResponse>
    {
        for (auto interim = 0;; ++interim) {
            m_parser.emplace();
            m_parser->header_limit(MaxHeaderBytes);
            m_parser->body_limit(maxAnswerBytes);
            m_parser->skip(method == "HEAD");
            co_await readHead();
            if (interim > MaxInterimAnswers)
                refuse("it has too many interim answers");
            if (!isInterim(m_parser->get().result_int()))
                break;
        }
        // The parser adds the fields of trailers to those of the head.
        auto headers = copyFields();
        co_await readBody();
        if (!hasProvenEnd())
            refuse("the connection failed within an answer without a length");
        // Bytes past the answer belong to no request of ours.
        m_isKeptAlive = m_parser->get().keep_alive();
        m_mayBeKept = m_isKeptAlive && m_buffer.size() == 0;
        co_return takeAnswer(std::move(headers));
    }

    /// Returns whether the parsed answer is whole. An answer without a length ends with its connection, and only an orderly
    /// close proves that the server has sent all of it (RFC 9112, section 8). The kernel reports a connection's error once:
    /// after a write has failed with it, reads see the same end as after an orderly close.
    [[nodiscard]] auto hasProvenEnd() const -> bool
    {
        return !m_parser->need_eof() || !m_writeError;
    }

    /// Reads the head of one answer into the parser. A final answer may have no end, or only at its timeout, so that a fault of
    /// the head is found before the body is read.
    auto readHead() -> Task<void>
    {
        parseHead();
        while (!m_parser->is_header_done()) {
            co_await readMore();
            parseHead();
        }
        if (const auto fault = findFault(m_parser->get()); !fault.empty())
            refuse(std::string(fault));
    }

    /// Parses as much of a head as has been read.
    auto parseHead() -> void
    {
        auto ec = boost::beast::error_code();
        const auto data = m_buffer.data();
        const auto n = m_parser->put(data, ec);
        if (hasFoldedLine({static_cast<const char *>(data.data()), n}))
            refuse("a line of its head is folded");
        if (ec && ec != boost::beast::http::error::need_more)
            refuse(ec.message());
        m_buffer.consume(n);
    }

    /// Waits until more bytes are in the buffer.
    auto readMore() -> Task<void>
    {
        const auto space = boost::beast::read_size(m_buffer, MaxHeaderBytes);
        if (space == 0)
            refuse("its head is too large");
        const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(space),
                                                               asio::as_tuple(asio::use_awaitable));
        if (ec)
            failRead(ec);
        m_buffer.commit(n);
    }

    /// Reads the body of one answer into the parser.
    auto readBody() -> Task<void>
    {
        while (!m_parser->is_done()) {
            const auto [ec, n] = co_await boost::beast::http::async_read_some(
                    m_socket, m_buffer, *m_parser, asio::as_tuple(asio::use_awaitable));
            if (ec)
                failRead(ec);
            if (auto *largest = m_budget->setHeld(this, m_parser->get().body().size()))
                largest->giveUpAnswer();
        }
    }

    /// Closes the connection to free the memory of an answer that may have no end.
    auto giveUpAnswer() -> void
    {
        log::Line(log::Severity::Warning, "answer-given-up")
                .add("reason", "the unfinished answers of the server are too large")
                .add("bytes", m_parser ? m_parser->get().body().size() : 0);
        giveUp(HttpFailure::Broken);
        m_budget->release(this);
    }

    [[nodiscard]] auto copyFields() const -> HeaderList
    {
        auto headers = HeaderList();
        for (const auto &it : m_parser->get())
            headers.add(std::string(it.name_string()), std::string(it.value()));
        return headers;
    }

    auto takeAnswer(HeaderList headers) -> HttpResponse
    {
        auto message = m_parser->release();
        m_parser.reset();
        return {.status = message.result_int(),
                .headers = std::move(headers),
                .body = std::move(message.body())};
    }

    auto arm(Duration timeout) -> void
    {
        const auto generation = ++m_generation;
        m_timer.expires_after(timeout);
        m_timer.async_wait([weak = weak_from_this(), generation](auto ec) {
            const auto self = weak.lock();
            // A timer that was already due when it was cancelled must not end the next request.
            if (!ec && self && self->m_generation == generation)
                self->giveUp(HttpFailure::TimedOut);
        });
    }

    auto disarm() -> void
    {
        ++m_generation;
        m_timer.cancel();
    }

    [[noreturn]] auto failRead(boost::system::error_code ec) -> void
    {
        m_hasFallenSilent = ec == asio::error::timed_out;
        fail(HttpFailure::Broken, ec.message());
    }

    /// Fails a request whose answer has come and cannot be used.
    [[noreturn]] auto refuse(const std::string &reason) -> void
    {
        const auto &answer = m_parser->get();
        log::Line(log::Severity::Warning, "backend-answer-refused", log::LineKind::Audit)
                .add("id", m_requestId)
                .add("reason", reason)
                .add("status", m_parser->is_header_done() ? answer.result_int() : 0)
                .add("bytes", answer.body().size())
                .add("port", m_port);
        fail(HttpFailure::Broken, reason);
    }

    [[noreturn]] auto fail(HttpFailure failure, const std::string &why) -> void
    {
        disarm();
        m_mayBeKept = false;
        if (failure == HttpFailure::NotConnected)
            throw HttpClientError(failure, "the request could not be sent (" + why + ")",
                                  "check that the server runs and is reachable");
        if (m_isGivenUp)
            failure = m_failure;
        if (failure == HttpFailure::TimedOut)
            throw HttpClientError(failure, "the server did not answer in time",
                                  "check its load, or allow more time");
        if (failure == HttpFailure::Cancelled)
            throw HttpClientError(failure, "the request was cancelled",
                                  "send it again if it is still wanted");
        throw HttpClientError(failure, "the server's answer is broken (" + why + ")",
                              "check the server's log");
    }

    asio::ip::tcp::socket m_socket;
    Timer m_timer;
    Duration m_unacknowledgedTimeout;
    std::shared_ptr<AnswerBudget> m_budget; ///< Shared with the other connections of the client.
    boost::circular_buffer<std::uint64_t> m_carriedIds; ///< Hashes, the latest last.
    boost::beast::flat_buffer m_buffer{MaxUnparsedBytes};
    std::optional<Parser> m_parser;
    std::string m_requestId; ///< Empty if the server repeats no id.
    std::uint16_t m_port = 0;
    boost::system::error_code m_writeError; ///< Of the write of the last request.
    std::uint64_t m_generation = 0;
    HttpFailure m_failure = HttpFailure::Broken;
    bool m_isGivenUp = false;
    bool m_hasFallenSilent = false;
    bool m_mayBeKept = false;
    bool m_isKeptAlive = false; ///< By the last answer, whatever follows it.
    TimePoint m_lastUsed;
    std::optional<Duration> m_idleLimit;
};

} // namespace stairspur::transport
