#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Record.h"

namespace review {

struct Address
{
    std::string ip;
    int port = 0;

    auto text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto socketAddress(const Address &it) -> sockaddr_in
{
    auto result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(it.port));
    if (inet_pton(AF_INET, it.ip.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + it.ip);
    return result;
}

/// One HTTP/1.1 message: its first line, its header fields and its body.
struct Message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    auto field(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    /// The second word of a request's first line.
    auto target() const -> std::string
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }

    auto method() const -> std::string { return first.substr(0, first.find(' ')); }

    /// The second word of a response's first line.
    auto status() const -> int { return std::stoi(first.substr(first.find(' ') + 1)); }
};

/// A TCP connection that reads and writes HTTP/1.1 messages with a Content-Length.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const auto on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    /// Returns null if no connection is established within a second.
    static auto open(const Address &to) -> std::unique_ptr<Connection>
    {
        const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        auto connection = std::make_unique<Connection>(fd);
        const auto address = socketAddress(to);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            && errno != EINPROGRESS)
            return nullptr;
        auto ready = pollfd{fd, POLLOUT, 0};
        auto error = 0;
        auto size = socklen_t(sizeof error);
        if (::poll(&ready, 1, 1000) != 1)
            return nullptr;
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        return error == 0 ? std::move(connection) : nullptr;
    }

    auto write(const std::string &text) -> bool
    {
        for (auto sent = std::size_t{0}; sent < text.size();) {
            const auto n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n > 0) {
                sent += static_cast<std::size_t>(n);
                continue;
            }
            auto ready = pollfd{m_fd, POLLOUT, 0};
            if (n == 0 || (errno != EAGAIN && errno != EINTR) || ::poll(&ready, 1, 10'000) != 1)
                return false;
        }
        return true;
    }

    /// Reads one whole message. Nothing if the connection ends or `end` passes before it is whole.
    auto read(Clock::time_point end) -> std::optional<Message>
    {
        auto headerEnd = std::string::npos;
        while ((headerEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(end))
                return std::nullopt;
        }
        auto message = parseHeader(m_buffer.substr(0, headerEnd));
        const auto length = message.field("Content-Length");
        const auto total = headerEnd + 4 + (length.empty() ? 0 : std::stoul(length));
        while (m_buffer.size() < total) {
            if (!readMore(end))
                return std::nullopt;
        }
        message.body = m_buffer.substr(headerEnd + 4, total - headerEnd - 4);
        m_buffer.erase(0, total);
        return message;
    }

    /// Waits until `end`. Returns false at once when the far end closes the connection.
    auto staysOpenUntil(Clock::time_point end) -> bool
    {
        while (Clock::now() < end) {
            auto ready = pollfd{m_fd, POLLIN | POLLRDHUP, 0};
            const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
            ::poll(&ready, 1, static_cast<int>(std::clamp<long long>(left, 1, 20)));
            if ((ready.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
                return false;
        }
        return true;
    }

    auto shutdown() -> void { ::shutdown(m_fd, SHUT_RDWR); }
    auto close() -> void
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

private:
    static auto parseHeader(const std::string &text) -> Message
    {
        auto message = Message();
        auto begin = std::size_t{0};
        while (begin <= text.size()) {
            const auto end = std::min(text.find("\r\n", begin), text.size());
            const auto line = text.substr(begin, end - begin);
            begin = end + 2;
            const auto colon = line.find(':');
            if (message.first.empty()) {
                message.first = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                message.fields.emplace_back(
                        line.substr(0, colon),
                        value == std::string::npos ? std::string() : line.substr(value));
            }
        }
        return message;
    }

    auto readMore(Clock::time_point end) -> bool
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        auto ready = pollfd{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) != 1)
            return false;
        char chunk[65536];
        const auto n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        m_buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd = -1;
    std::string m_buffer;
};

inline auto response(const std::string &status, const std::string &fields, const std::string &body)
        -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on an address and serves each connection on a thread of its own. The process ends with the threads running.
class Server
{
public:
    /// Returns the whole response, or nothing to close the connection without one.
    using Handler = std::function<std::optional<std::string>(Connection &, const Message &)>;

    /// `port` 0: a free one.
    Server(const std::string &ip, int port, Handler handler)
        : m_handler(std::make_shared<Handler>(std::move(handler)))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = socketAddress({ip, port});
        auto size = socklen_t(sizeof address);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = {ip, ntohs(address.sin_port)};
        std::thread([fd = m_fd, handler = m_handler] { accept(fd, handler); }).detach();
    }

    auto address() const -> const Address & { return m_address; }

    /// Takes no more connections. Those that are open go on.
    auto stop() -> void
    {
        if (m_fd >= 0)
            ::shutdown(std::exchange(m_fd, -1), SHUT_RDWR);
    }

private:
    static auto accept(int listener, const std::shared_ptr<Handler> &handler) -> void
    {
        while (true) {
            const auto fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            std::thread([fd, handler] { serve(fd, *handler); }).detach();
        }
        ::close(listener);
    }

    static auto serve(int fd, const Handler &handler) -> void
    {
        static constexpr auto IdleTime = std::chrono::seconds(60);
        auto connection = Connection(fd);
        while (const auto request = connection.read(Clock::now() + IdleTime)) {
            const auto answer = handler(connection, *request);
            if (!answer || !connection.write(*answer))
                return;
        }
    }

    std::shared_ptr<Handler> m_handler;
    int m_fd = -1;
    Address m_address;
};

/// Sends one request on a new connection and returns the response, or nothing if none is whole in time.
inline auto exchange(const Address &to, const std::string &text, Milliseconds timeout)
        -> std::optional<Message>
{
    const auto connection = Connection::open(to);
    if (!connection || !connection->write(text))
        return std::nullopt;
    return connection->read(Clock::now() + timeout);
}

} // namespace review
