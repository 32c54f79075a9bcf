#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/HttpMessages.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// How far a request got that has no whole answer.
enum class HttpFailure {
    NotConnected, ///< No byte of it was sent: it ran nowhere.
    TimedOut,
    Cancelled,
    Broken, ///< The connection ended, or the answer was malformed or too large.
};

class HttpClientError : public Error
{
public:
    HttpClientError(HttpFailure failure, const std::string &problem, const std::string &remedy)
        : Error(problem, remedy)
        , m_failure(failure)
    {}

    [[nodiscard]] auto failure() const -> HttpFailure { return m_failure; }

private:
    HttpFailure m_failure;
};

struct HttpClientSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t maxIdleConnections = 64;
    std::uint64_t maxAnswerBytes = 8U << 20U;
    Duration connectTimeout{1'000'000};
    /// Bytes that the server's kernel has not acknowledged for this long break the connection. Three retransmissions on a
    /// link of a few milliseconds (RFC 6298: the first after 200 ms on Linux, then doubled), so that a lost packet does not.
    Duration unacknowledgedTimeout{1'500'000};
    /// Returns the id in the header fields of a request, which the server repeats in its answer; empty if there is none. An
    /// answer with another id is dropped, and the next one on the connection is read in its place. Null: the server repeats
    /// no id, and each answer belongs to the request that was sent last.
    std::function<std::string_view(const HeaderList &)> echoedId{};
    /// Called for each answer that is dropped. May be null.
    std::function<void()> didDropAnswer{};
};

/// HTTP/1.1 to one server over kept connections, one request at a time on each.
///
/// A kept connection may fall silent without a word: packets of an older connection are dropped on the way while new
/// connections work. One that is found silent makes those suspect that have not been heard from since; they are closed.
///
/// Answers to two requests with the same id can only be told apart by their connection, since an answer may arrive a second
/// time, late. A request is therefore not sent on a connection that has carried its id before.
///
/// A kept connection that turns out closed before any byte of the answer came is only replaced by a fresh one when no
/// byte of the request can have been read: it is probed for its end before use, and never sent twice.
class HttpClient
{
public:
    HttpClient(asio::io_context &io, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient(HttpClient &&) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;
    auto operator=(HttpClient &&) -> HttpClient & = delete;

    /// No kept connection is too old for a request.
    static constexpr auto AnyAge = Duration::max();

    /// Sends one request and reads its whole answer. Throws HttpClientError. A cancellation closes the connection, which
    /// tells the server that nobody waits; it may be null. A kept connection is used only if its last answer is no older
    /// than `maxAge`; older idle ones are closed. Zero: the request goes out on a fresh one.
    auto send(HttpRequest request, Duration timeout, CancellationPtr cancellation,
              Duration maxAge = AnyAge) -> Task<HttpResponse>;

    /// Fails each request of which no byte has been sent, now and later, as not connected.
    auto stopSending() -> void;

    /// Closes the idle connections whose last answer is older than `time`.
    auto closeUnusedSince(TimePoint time) -> void;

private:
    class Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace stairspur::transport
