#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <stairspur/core/EnumNames.h>
#include <stairspur/transport/Task.h>

namespace stairspur::standin {

/// What a FaultyUpstream does with one request.
enum class Treatment {
    Serve,          ///< Runs it, and answers with success.
    Reject,         ///< Refuses to run it.
    RejectLate,     ///< The same after a wait in its queue.
    RejectEarly,    ///< The same before it has read the body, which it reads afterwards.
    RejectNameless, ///< The same without the attempt's id, and closes.
    Misdirect,      ///< Refuses it, because another process instance is meant.
    FailUnmarked,   ///< Runs it, and answers 503 or 429 without the mark of a refusal.
    LoseAnswer,     ///< Runs it, and closes the connection without an answer.
    BreakOff,       ///< Runs it, and closes the connection within the answer.
    Unframed,       ///< Runs it; the answer ends with its connection.
};

/// When a second copy of an answer follows it on its connection.
enum class CopyTime {
    Never,
    AtOnce,
    Later,           ///< After 2 to 200 ms.
    WithNextRequest, ///< Before the connection's next answer.
    TwiceWithNext,   ///< Two copies before the connection's next answer.
};

} // namespace stairspur::standin

template <>
inline constexpr auto stairspur::enumNames<stairspur::standin::Treatment> =
        std::array<std::string_view, 10>{
                "serve",     "reject",        "reject-late", "reject-early", "reject-nameless",
                "misdirect", "fail-unmarked", "lose-answer", "break-off",    "unframed"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::standin::CopyTime> =
        std::array<std::string_view, 5>{"never", "at-once", "later", "with-next-request",
                                        "twice-with-next"};

namespace stairspur::standin {

/// Weights of the treatments, in the order of the enum, and the share of the answers that are sent twice.
struct FaultPlan
{
    std::array<double, enumNames<Treatment>.size()> weights{1};
    double copiedShare = 0;
};

/// One arrival of an attempt at a backend server.
struct Arrival
{
    std::string instance;
    std::uint64_t connection = 0;
    std::chrono::steady_clock::time_point time;
    Treatment treatment = Treatment::Serve;
    CopyTime copy = CopyTime::Never;
};

/// The arrivals of each attempt at all backend servers. Thread-safe.
class ArrivalRecord
{
public:
    auto add(const std::string &attempt, Arrival arrival) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        m_arrivals[attempt].push_back(std::move(arrival));
    }

    [[nodiscard]] auto of(const std::string &attempt) const -> std::vector<Arrival>
    {
        const auto lock = std::scoped_lock(m_mutex);
        const auto it = m_arrivals.find(attempt);
        return it == m_arrivals.end() ? std::vector<Arrival>() : it->second;
    }

    [[nodiscard]] static auto hasRun(const Arrival &arrival) -> bool
    {
        switch (arrival.treatment) {
        case Treatment::Reject:
        case Treatment::RejectLate:
        case Treatment::RejectEarly:
        case Treatment::RejectNameless:
        case Treatment::Misdirect:
            return false;
        default:
            return true;
        }
    }

    [[nodiscard]] auto runs(const std::string &attempt) const -> int
    {
        const auto arrivals = of(attempt);
        return static_cast<int>(std::ranges::count_if(arrivals, hasRun));
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<Arrival>> m_arrivals;
};

/// A backend server of the platform that rejects requests, and loses, spoils and repeats answers, by a seeded plan. It belongs to
/// the thread of its io_context; restart() and setPlan() may be called from any.
class FaultyUpstream
{
public:
    FaultyUpstream(boost::asio::io_context &io, std::string address, std::string instance)
        : m_io(io)
        , m_address(std::move(address))
        , m_instance(std::move(instance))
        , m_random(std::hash<std::string>()(m_instance))
    {
        listen();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    [[nodiscard]] auto instance() const -> std::string
    {
        const auto lock = std::scoped_lock(m_mutex);
        return m_instance;
    }
    /// Connections that were accepted since the start.
    [[nodiscard]] auto connections() const -> std::uint64_t { return m_connections; }
    /// Greatest number of connections at once.
    [[nodiscard]] auto mostConnections() const -> std::size_t { return m_mostConnections; }

    auto setRecord(ArrivalRecord &record) -> void { m_record = &record; }

    auto setPlan(const FaultPlan &plan) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        m_plan = plan;
    }

    /// Ends all connections as a crash would, and serves as another process instance at the same address.
    auto restart(const std::string &instance) -> void
    {
        boost::asio::post(m_io, [this, instance] {
            for (const auto &it : m_open)
                closeSocket(*it);
            const auto lock = std::scoped_lock(m_mutex);
            m_instance = instance;
        });
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Milliseconds = std::chrono::milliseconds;

    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr auto MaxBodyBytes = std::uint64_t{1} << 20U;

    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {}
        boost::asio::ip::tcp::socket socket;
        std::uint64_t number = 0;
        std::string lateCopies;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    auto listen() -> void
    {
        m_acceptor.emplace(m_io, boost::asio::ip::tcp::endpoint(
                                         boost::asio::ip::make_address(m_address), m_port));
        m_port = m_acceptor->local_endpoint().port();
        boost::asio::co_spawn(m_io, accept(), boost::asio::detached);
    }

    auto accept() -> transport::Task<void>
    {
        while (true) {
            auto [ec, socket] = co_await m_acceptor->async_accept(asTuple);
            if (ec)
                co_return;
            auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.set_option(boost::asio::ip::tcp::no_delay(true));
            connection->number = ++m_connections;
            m_open.insert(connection);
            m_mostConnections = std::max(m_mostConnections.load(), m_open.size());
            boost::asio::co_spawn(m_io, serve(connection), [this, connection](auto) {
                closeSocket(*connection);
                m_open.erase(connection);
            });
        }
    }

    static auto closeSocket(Connection &connection) -> void
    {
        auto ec = boost::system::error_code();
        connection.socket.close(ec);
    }

    auto serve(ConnectionPtr connection) -> transport::Task<void>
    {
        auto buffer = boost::beast::flat_buffer();
        while (co_await serveOne(connection, buffer))
            ;
    }

    auto serveOne(const ConnectionPtr &connection, boost::beast::flat_buffer &buffer)
            -> transport::Task<bool>
    {
        auto parser = Parser();
        parser.body_limit(MaxBodyBytes);
        const auto [ec, n] = co_await boost::beast::http::async_read_header(
                connection->socket, buffer, parser, asTuple);
        if (ec)
            co_return false;
        const auto treatment = drawTreatment(parser.get());
        const auto copy = drawCopy(treatment);
        const auto attempt = std::string(parser.get()["X-Attempt-Id"]);
        if (m_record)
            m_record->add(attempt, {instance(), connection->number,
                                    std::chrono::steady_clock::now(), treatment, copy});
        if (treatment != Treatment::RejectEarly && !co_await readBody(*connection, buffer, parser))
            co_return false;
        if (treatment != Treatment::Reject && treatment != Treatment::RejectEarly)
            co_await wait(1, 40);
        if (!co_await answer(connection, treatment, copy, attempt))
            co_return false;
        co_return treatment != Treatment::RejectEarly
                || co_await readBody(*connection, buffer, parser);
    }

    static auto readBody(Connection &connection, boost::beast::flat_buffer &buffer, Parser &parser)
            -> transport::Task<bool>
    {
        const auto [ec, n] =
                co_await boost::beast::http::async_read(connection.socket, buffer, parser, asTuple);
        co_return !ec;
    }

    /// Sends the answer with the copies that are due. Returns whether the connection goes on.
    auto answer(const ConnectionPtr &connection, Treatment treatment, CopyTime copy,
                const std::string &attempt) -> transport::Task<bool>
    {
        const auto text = textOf(treatment, attempt);
        auto sent = std::exchange(connection->lateCopies, {}) + text;
        if (copy == CopyTime::AtOnce)
            sent += text;
        if (copy == CopyTime::WithNextRequest)
            connection->lateCopies = text;
        if (copy == CopyTime::TwiceWithNext)
            connection->lateCopies = text + text;
        const auto [ec, n] = co_await boost::asio::async_write(connection->socket,
                                                               boost::asio::buffer(sent), asTuple);
        if (copy == CopyTime::Later)
            boost::asio::co_spawn(m_io, sendLater(connection, text), boost::asio::detached);
        co_return !ec && !closesAfter(treatment);
    }

    auto sendLater(ConnectionPtr connection, std::string text) -> transport::Task<void>
    {
        co_await wait(2, 200);
        auto ec = boost::system::error_code();
        // Small enough for the kernel to take it at once, so it does not mix with another answer.
        connection->socket.write_some(boost::asio::buffer(text), ec);
    }

    auto wait(int least, int most) -> transport::Task<void>
    {
        const auto length = std::uniform_int_distribution(least, most)(m_random);
        auto timer = boost::asio::steady_timer(m_io, Milliseconds(length));
        co_await timer.async_wait(asTuple);
    }

    auto drawTreatment(const Request &request) -> Treatment
    {
        const auto lock = std::scoped_lock(m_mutex);
        const auto expected = request["X-Expect-Instance"];
        if (!expected.empty() && expected != m_instance)
            return Treatment::Misdirect;
        return static_cast<Treatment>(std::discrete_distribution<int>(
                m_plan.weights.begin(), m_plan.weights.end())(m_random));
    }

    /// A copy follows only where the connection goes on.
    auto drawCopy(Treatment treatment) -> CopyTime
    {
        const auto lock = std::scoped_lock(m_mutex);
        if (closesAfter(treatment) || !std::bernoulli_distribution(m_plan.copiedShare)(m_random))
            return CopyTime::Never;
        return static_cast<CopyTime>(std::uniform_int_distribution(1, 4)(m_random));
    }

    static auto closesAfter(Treatment treatment) -> bool
    {
        return treatment == Treatment::RejectNameless || treatment == Treatment::LoseAnswer
               || treatment == Treatment::BreakOff || treatment == Treatment::Unframed;
    }

    auto textOf(Treatment treatment, const std::string &attempt) -> std::string
    {
        static constexpr auto NotExecuted = "X-Not-Executed: 1\r\n";
        static constexpr auto Seal = "X-Server-Seal: seal\r\n";
        static constexpr auto Full = "503 Service Unavailable";
        const auto id = "X-Attempt-Id: " + attempt + "\r\n";
        const auto hasOddLength = attempt.size() % 2 == 1;
        switch (treatment) {
        case Treatment::Reject:
        case Treatment::RejectEarly:
            return message(Full, id + NotExecuted, "");
        case Treatment::RejectLate:
            return message(hasOddLength ? Full : "429 Too Many Requests", id + NotExecuted, "");
        case Treatment::RejectNameless:
            return message(Full, std::string(NotExecuted) + "Connection: close\r\n", "");
        case Treatment::Misdirect:
            return message("421 Misdirected Request", id + NotExecuted, "");
        case Treatment::FailUnmarked:
            return message(hasOddLength ? Full : "429 Too Many Requests", id + Seal, "failed");
        case Treatment::LoseAnswer:
            return {};
        case Treatment::BreakOff:
            return message("200 OK", id + Seal, "whole").substr(0, 60);
        case Treatment::Unframed:
            return "HTTP/1.1 200 OK\r\n" + id + Seal + "Connection: close\r\n\r\nwhole";
        case Treatment::Serve:
            break;
        }
        return message("200 OK", id + Seal, "whole");
    }

    static auto message(const std::string &status, const std::string &fields,
                        const std::string &body) -> std::string
    {
        return "HTTP/1.1 " + status + "\r\n" + fields
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    boost::asio::io_context &m_io;
    std::string m_address;
    std::uint16_t m_port = 0;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<ConnectionPtr> m_open;
    std::atomic<std::uint64_t> m_connections = 0;
    std::atomic<std::size_t> m_mostConnections = 0;
    ArrivalRecord *m_record = nullptr;
    mutable std::mutex m_mutex;
    std::string m_instance;
    FaultPlan m_plan;
    std::mt19937_64 m_random;
};

} // namespace stairspur::standin
