#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <stairspur/core/Time.h>

#include "Faults.h"
#include "HttpAnswers.h"
#include "StoreState.h"

namespace stairspur::standin {

/// The store stand-in over HTTP, on the thread of its io_context: the gateway on one port; `/fault` and `/counters` on
/// both, so that the second can be reached while the first is down.
class StoreServer : public std::enable_shared_from_this<StoreServer>
{
public:
    using Socket = asio::ip::tcp::socket;
    using Acceptor = asio::ip::tcp::acceptor;

    StoreServer(asio::io_context &io, std::uint16_t port, std::uint16_t faultPort)
        : m_io(io)
        , m_store(io)
        , m_admin(io)
        , m_leaseTimer(io)
    {
        listen(m_store, port);
        m_port = m_store.local_endpoint().port();
        listen(m_admin, faultPort);
    }

    auto start() -> void
    {
        spawn(accept(m_store));
        spawn(accept(m_admin));
        spawn(expireLeases());
    }

    auto stop() -> void
    {
        auto ec = beast::error_code();
        m_isStopped = true;
        m_store.close(ec);
        m_admin.close(ec);
        m_leaseTimer.cancel();
        closeConnections();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    [[nodiscard]] auto faultPort() const -> std::uint16_t
    {
        return m_admin.local_endpoint().port();
    }
    [[nodiscard]] auto state() -> StoreState & { return m_state; }
    [[nodiscard]] auto counters() const -> const Counters & { return m_counters; }

    auto setFault(Fault fault) -> void
    {
        const auto wasDown = m_fault.mode == FaultMode::Down;
        m_fault = std::move(fault);
        if (m_fault.mode == FaultMode::Down)
            goDown();
        else if (wasDown)
            comeUp();
        if (m_fault.mode == FaultMode::BreakWatch) {
            closeWatches();
            m_fault = {};
        }
        if (m_fault.mode == FaultMode::LapseLeases) {
            m_state.lapseLeases();
            m_fault = {};
        }
        wakeWatches();
    }

private:
    using Request = http::request<http::string_body>;
    using Task = asio::awaitable<void>;
    using SocketPtr = std::shared_ptr<Socket>;

    /// A watch that waits for changes.
    struct Watch
    {
        SocketPtr socket;
        asio::steady_timer wakeUp;
        std::string key;
        std::string rangeEnd;
        std::int64_t nextRevision = 0;
    };

    static constexpr auto MaxBodyBytes = std::uint64_t{16U << 20U};
    static constexpr auto LeaseCheckInterval = std::chrono::milliseconds(100);

    auto spawn(Task task) -> void
    {
        asio::co_spawn(m_io, std::move(task), [self = shared_from_this()](std::exception_ptr) {});
    }

    static auto listen(Acceptor &acceptor, std::uint16_t port) -> void
    {
        const auto endpoint = asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(Acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

    auto accept(Acceptor &acceptor) -> Task
    {
        auto ec = beast::error_code();
        while (acceptor.is_open()) {
            auto socket =
                    co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec == asio::error::operation_aborted)
                co_return;
            if (ec)
                continue;
            spawn(serve(std::make_shared<Socket>(std::move(socket)), &acceptor == &m_admin));
        }
    }

    auto expireLeases() -> Task
    {
        auto ec = beast::error_code();
        while (!m_isStopped) {
            m_leaseTimer.expires_after(LeaseCheckInterval);
            co_await m_leaseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            const auto before = m_state.revision();
            m_state.expireLeases(monotonicNow());
            if (m_state.revision() != before)
                wakeWatches();
        }
    }

    auto serve(SocketPtr socket, bool isAdmin) -> Task
    {
        if (!isAdmin)
            m_connections.push_back(socket);
        auto buf = beast::flat_buffer();
        auto ec = beast::error_code();
        while (socket->is_open()) {
            auto parser = http::request_parser<http::string_body>();
            parser.body_limit(MaxBodyBytes);
            co_await http::async_read(*socket, buf, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                break;
            const auto request = parser.release();
            if (!co_await answer(socket, request))
                break;
        }
        socket->close(ec);
        std::erase(m_connections, socket);
    }

    /// Answers one request; false: the connection is to be closed.
    auto answer(const SocketPtr &socket, const Request &request) -> asio::awaitable<bool>
    {
        const auto target = std::string(request.target());
        if (target == "/fault" || target == "/counters")
            co_return co_await write(*socket, administer(request), request.keep_alive());
        const auto kind = kindOf(target);
        m_counters[kind] += 1;
        if (kind == "watch") {
            co_await watch(socket, request);
            co_return false;
        }
        const auto fault = takeFault(kind);
        if (fault.mode == FaultMode::Hang) {
            co_await waitForClose(*socket);
            co_return false;
        }
        if (fault.mode == FaultMode::Slow)
            co_await delay(std::chrono::milliseconds(fault.delayMs));
        if (fault.mode == FaultMode::Unavailable)
            co_return co_await write(*socket, failure(StoreError(503, 14, "etcdserver: no leader")),
                                     request.keep_alive());
        auto response = carryOut(kind, request.body());
        if (fault.mode == FaultMode::LostAnswer)
            co_return false;
        co_return co_await write(*socket, std::move(response), request.keep_alive());
    }

    auto takeFault(const std::string &kind) -> Fault
    {
        if (!m_fault.only.empty() && m_fault.only != kind)
            return {};
        const auto fault = m_fault;
        if (m_fault.count > 0 && --m_fault.count == 0)
            m_fault = {};
        return fault;
    }

    auto carryOut(const std::string &kind, const std::string &body) -> Response
    {
        const auto before = m_state.revision();
        auto response = Response(http::status::ok, 11);
        try {
            response.body() = m_state.handle(kind, Json::parse(body), monotonicNow()).dump();
        } catch (const StoreError &error) {
            response = failure(error);
        } catch (const Json::exception &error) {
            response = failure(StoreError(400, InvalidArgument, error.what()));
        }
        if (m_state.revision() != before)
            wakeWatches();
        return response;
    }

    auto administer(const Request &request) -> Response
    {
        auto response = Response(http::status::ok, 11);
        if (request.target() == "/counters") {
            response.body() = Json(m_counters).dump();
            return response;
        }
        const auto body = Json::parse(request.body(), nullptr, false);
        const auto mode = body.is_object() && body.contains("mode")
                                  ? fromName<FaultMode>(body.value("mode", std::string()))
                                  : std::nullopt;
        if (!mode)
            return failure(StoreError(400, InvalidArgument, "unknown mode"));
        setFault({*mode, body.value("delayMs", 0U), body.value("count", 0U),
                  body.value("only", std::string())});
        response.body() = "{}";
        return response;
    }

    auto delay(std::chrono::milliseconds time) -> Task
    {
        auto timer = asio::steady_timer(m_io, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static auto waitForClose(Socket &socket) -> Task
    {
        auto ec = beast::error_code();
        char buf[1];
        co_await socket.async_read_some(asio::buffer(buf),
                                        asio::redirect_error(asio::use_awaitable, ec));
    }

    /// Streams the changes of a key in chunks until the connection ends.
    auto watch(SocketPtr socket, const Request &request) -> Task
    {
        const auto body = Json::parse(request.body(), nullptr, false);
        const auto create = body.value("create_request", Json::object());
        const auto start = create.value("start_revision", std::string("0"));
        auto self = std::make_shared<Watch>(Watch{
                socket, asio::steady_timer(m_io), decodeBase64(create.value("key", std::string())),
                decodeBase64(create.value("range_end", std::string())), std::stoll(start)});
        if (self->nextRevision == 0)
            self->nextRevision = m_state.revision() + 1;
        m_watches.push_back(self);
        auto ec = beast::error_code();
        auto response = http::response<http::empty_body>(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.chunked(true);
        auto serializer = http::response_serializer<http::empty_body>(response);
        co_await http::async_write_header(*socket, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && co_await writeChunk(*socket, {{"header", m_state.header()}, {"created", true}}))
            co_await stream(self);
        std::erase(m_watches, self);
    }

    auto stream(std::shared_ptr<Watch> watch) -> Task
    {
        auto ec = beast::error_code();
        while (watch->socket->is_open()) {
            if (m_fault.mode != FaultMode::SilentWatch && !co_await writeEvents(*watch))
                co_return;
            watch->wakeUp.expires_at(asio::steady_timer::time_point::max());
            co_await watch->wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    /// Writes what is new to the watch; false: the watch has ended.
    auto writeEvents(Watch &watch) -> asio::awaitable<bool>
    {
        while (watch.nextRevision <= m_state.revision()) {
            const auto from = watch.nextRevision;
            watch.nextRevision = m_state.revision() + 1;
            if (from <= m_state.compactedRevision()) {
                co_await writeChunk(
                        *watch.socket,
                        {{"header", m_state.header()},
                         {"canceled", true},
                         {"compact_revision", std::to_string(m_state.compactedRevision() + 1)}});
                co_return false;
            }
            const auto events = m_state.eventsFrom(watch.key, watch.rangeEnd, from);
            if (events.is_null())
                continue;
            m_counters["watch-message"] += 1;
            if (!co_await writeChunk(*watch.socket, events))
                co_return false;
        }
        co_return true;
    }

    auto wakeWatches() -> void
    {
        for (const auto &it : m_watches)
            it->wakeUp.cancel();
    }

    auto closeWatches() -> void
    {
        auto ec = beast::error_code();
        for (const auto &it : m_watches)
            it->socket->close(ec);
        wakeWatches();
    }

    auto closeConnections() -> void
    {
        auto ec = beast::error_code();
        for (const auto &it : m_connections)
            it->close(ec);
        wakeWatches();
    }

    auto goDown() -> void
    {
        auto ec = beast::error_code();
        m_store.close(ec);
        closeConnections();
    }

    auto comeUp() -> void
    {
        listen(m_store, m_port);
        spawn(accept(m_store));
    }

    asio::io_context &m_io;
    Acceptor m_store;
    Acceptor m_admin;
    asio::steady_timer m_leaseTimer;
    std::uint16_t m_port = 0;
    bool m_isStopped = false;
    StoreState m_state;
    Fault m_fault;
    Counters m_counters;
    std::vector<SocketPtr> m_connections;
    std::vector<std::shared_ptr<Watch>> m_watches;
};

} // namespace stairspur::standin
