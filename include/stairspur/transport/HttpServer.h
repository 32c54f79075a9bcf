#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/HttpMessages.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one; see HttpServer::port().
    std::uint32_t maxConnections = 4096;
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    Duration headerTimeout{10'000'000}; ///< For a whole header to arrive once its first byte has.
    Duration requestTimeout{
            10'000'000}; ///< For a whole request to arrive once its first byte has: slow callers.
    /// For the next request on a kept connection, and for the caller to take an answer.
    Duration idleTimeout{60'000'000};
    std::string certificateFile; ///< PEM; empty: no TLS.
    std::string keyFile;
};

/// HTTP/1.1 for callers and operators. Bad input is answered (400, 413, 431, 408) and logged, then its connection closed.
class HttpServer
{
public:
    /// Answers one request. The cancellation fires when the connection closes before the answer is written.
    using Handler = std::function<Task<HttpResponse>(HttpRequest, CancellationPtr)>;

    HttpServer(asio::io_context &io, HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer(HttpServer &&) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    auto operator=(HttpServer &&) -> HttpServer & = delete;

    /// Binds and accepts. Throws SettingError when the port cannot be bound.
    auto start() -> void;

    /// Other bounds from now on, also for open connections; address, port and certificate stay. On the server's thread.
    auto setLimits(const HttpServerSettings &settings) -> void;

    /// Answers each request with `Connection: close` from now on, so that callers move before drain(). New connections
    /// are still accepted.
    auto startClosing() -> void;

    /// Graceful shutdown: accepts nothing more, closes idle connections, and answers running requests with
    /// `Connection: close`. `didFinish` runs once none is left.
    auto drain(std::function<void()> didFinish) -> void;

    /// Ends what drain() would wait for: cancels the running requests, and closes their connections once each is answered.
    /// Connections without a whole request are closed. Replaces the `didFinish` of drain().
    auto endRequests(std::function<void()> didFinish) -> void;

    [[nodiscard]] auto port() const -> std::uint16_t;
    [[nodiscard]] auto connections() const -> std::uint32_t;

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace stairspur::transport
