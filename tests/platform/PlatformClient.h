#pragma once

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace stairspur::platform {

/// Ports of a node in tests. Each machine has a loopback address of its own, so that they are the same for all nodes.
inline constexpr auto EntryPort = std::uint16_t{7101};
inline constexpr auto ReadyPort = std::uint16_t{7102};
inline constexpr auto ControlPort = std::uint16_t{7103};
inline constexpr auto PeerPort = std::uint16_t{7104};

/// A configuration with one service, an idempotent route below /v/ and a non-idempotent one below /o/.
inline constexpr auto MenuConfiguration = R"({"version": 7, "routes": {
"views": {"host": "a.example", "prefix": "/v/", "kind": "safe", "timeout_s": 20, "target_latency_s": 1.2, "priority": 1,
  "service": "menu", "max_attempts": 2},
"orders": {"host": "a.example", "prefix": "/o/", "kind": "unsafe", "timeout_s": 20, "target_latency_s": 1.5, "priority": 0,
  "service": "menu", "max_attempts": 2}},
"services": {"menu": {"health_path": "/health", "max_connections": 634}},
"limits": {"max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_s": 3, "idle_timeout_s": 15}})";

using PlatformResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Sends `text` as it is and reads one response; nothing if the connection ends without one.
inline auto exchange(const std::string &address, std::uint16_t port, const std::string &text)
        -> std::optional<PlatformResponse>
{
    auto io = boost::asio::io_context();
    auto socket = boost::asio::ip::tcp::socket(io);
    auto ec = boost::system::error_code();
    socket.connect({boost::asio::ip::make_address(address), port}, ec);
    if (ec)
        return std::nullopt;
    // Far above the time of any answer: it only ends a test that would hang.
    const auto timeout = timeval{60, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    boost::asio::write(socket, boost::asio::buffer(text), ec);
    auto buffer = boost::beast::flat_buffer();
    auto response = PlatformResponse();
    boost::beast::http::read(socket, buffer, response, ec);
    return ec ? std::nullopt : std::optional(response);
}

/// A heartbeat of a process instance of a backend server.
struct Heartbeat
{
    std::string instance;
    std::string address; ///< Address and port of the backend server.
    std::string state;
    std::uint64_t sequence = 0;
    std::uint64_t startedAtMs = 0; ///< 0: not sent.
};

inline auto heartbeatRequest(const Heartbeat &it) -> std::string
{
    const auto start = it.startedAtMs == 0 ? "" : ",\"born\":" + std::to_string(it.startedAtMs);
    const auto body = R"({"service":"menu","address":")" + it.address
                      + R"(","zone":"centre","version":"v1","slots":8,"state":")" + it.state
                      + R"(","cold_remaining_s":0,"seq":)" + std::to_string(it.sequence) + start
                      + "}";
    return "PUT /v1/instances/" + it.instance
           + " HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What the settings file of one machine contains.
struct BootFile
{
    std::string node;
    std::string address;
    std::uint16_t upstreamPort = 0;
    std::uint16_t storePort = 0;
    std::string heartbeatSeconds;
};

inline auto writeBootFile(const std::string &path, const BootFile &it) -> void
{
    const auto at = [&](std::uint16_t port) {
        return '"' + it.address + ':' + std::to_string(port) + '"';
    };
    std::ofstream(path) << "node: " << it.node << "\nip: " << it.address
                        << "\nzone: centre\nregion: r\nservice: menu\nlisten: {outbound: "
                        << at(EntryPort) << ", ready: " << at(ReadyPort)
                        << ", control: " << at(ControlPort) << "}\ninternal_ports: [" << PeerPort
                        << "]\napp_addr: " << at(it.upstreamPort)
                        << "\nplatform: {address: \"127.0.0.1:" << it.storePort
                        << "\"}\nlimits: {memory_mb: 260, max_fds: 4100}\nheartbeat_s: "
                        << it.heartbeatSeconds
                        << "\nbounds: [\"grace_s=6\", \"retry_ratio=0.2\", \"retry_slack=160\", "
                           "\"retry_window_s=10\"]\n";
}

} // namespace stairspur::platform
