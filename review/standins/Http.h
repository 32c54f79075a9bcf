#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
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
        auto message = readHeader(end);
        if (!message || !readBody(*message, end))
            return std::nullopt;
        return message;
    }

    /// Reads a message up to the end of its header fields.
    auto readHeader(Clock::time_point end) -> std::optional<Message>
    {
        auto headerEnd = std::string::npos;
        while ((headerEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(end))
                return std::nullopt;
        }
        auto message = parseHeader(m_buffer.substr(0, headerEnd));
        m_buffer.erase(0, headerEnd + 4);
        return message;
    }

    /// Reads the body of the message whose header has been read. Returns whether it is whole.
    auto readBody(Message &message, Clock::time_point end) -> bool
    {
        const auto text = message.field("Content-Length");
        const auto length = text.empty() ? std::size_t{0} : std::stoul(text);
        while (m_buffer.size() < length) {
            if (!readMore(end))
                return false;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
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

    std::string lateAnswer; ///< What an upstream still sends before its next answer.

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

    /// Called with each request's header; returns whether the body then arrived whole.
    using BodyReader = std::function<bool(Connection &, Message &)>;

    /// `port` 0: a free one. `receiveBuffer`: bytes that the kernel takes before the program reads; 0: as ever.
    Server(const std::string &ip, int port, Handler handler, BodyReader readBody = readAtOnce,
           int receiveBuffer = 0)
        : m_handler(std::make_shared<Handler>(std::move(handler)))
        , m_readBody(std::make_shared<BodyReader>(std::move(readBody)))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (receiveBuffer > 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        auto address = socketAddress({ip, port});
        auto size = socklen_t(sizeof address);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = {ip, ntohs(address.sin_port)};
        std::thread([fd = m_fd, handler = m_handler, readBody = m_readBody, open = m_open] {
            accept(fd, handler, readBody, open);
        }).detach();
    }

    static constexpr auto IdleTime = std::chrono::seconds(60);

    static auto readAtOnce(Connection &connection, Message &request) -> bool
    {
        return connection.readBody(request, Clock::now() + IdleTime);
    }

    auto address() const -> const Address & { return m_address; }

    /// Takes no more connections and ends those that are open, as the end of a process does.
    auto stop() -> void
    {
        if (m_fd >= 0)
            ::shutdown(std::exchange(m_fd, -1), SHUT_RDWR);
        const auto lock = std::scoped_lock(m_open->mutex);
        for (const auto fd : m_open->fds)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    struct OpenConnections
    {
        std::mutex mutex;
        std::set<int> fds;
    };

    static auto accept(int listener, const std::shared_ptr<Handler> &handler,
                       const std::shared_ptr<BodyReader> &readBody,
                       const std::shared_ptr<OpenConnections> &open) -> void
    {
        while (true) {
            const auto fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            std::thread([fd, handler, readBody, open] {
                {
                    const auto lock = std::scoped_lock(open->mutex);
                    open->fds.insert(fd);
                }
                serve(fd, *handler, *readBody, *open);
            }).detach();
        }
        ::close(listener);
    }

    static auto serve(int fd, const Handler &handler, const BodyReader &readBody,
                      OpenConnections &open) -> void
    {
        auto connection = Connection(fd);
        answerAll(connection, handler, readBody);
        const auto lock = std::scoped_lock(open.mutex);
        open.fds.erase(fd);
        connection.close();
    }

    static auto answerAll(Connection &connection, const Handler &handler, const BodyReader &readBody)
            -> void
    {
        while (auto request = connection.readHeader(Clock::now() + IdleTime)) {
            if (!readBody(connection, *request))
                return;
            const auto answer = handler(connection, *request);
            if (!answer || !connection.write(*answer))
                return;
        }
    }

    std::shared_ptr<Handler> m_handler;
    std::shared_ptr<BodyReader> m_readBody;
    std::shared_ptr<OpenConnections> m_open = std::make_shared<OpenConnections>();
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
