#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "BackendServer.h"

namespace stairspur::standins {

/// Announces a backend server to its host's node: its start at once, then its state every second.
class Announcer
{
public:
    Announcer(asio::io_context &io, const BackendServer &server)
        : m_server(server)
        , m_timer(io)
    {
        if (server.settings().announceTo)
            m_node = std::make_unique<HttpPool>(io, *server.settings().announceTo);
    }

    auto run() -> Task<void>
    {
        if (m_node)
            co_await announce("starting");
        while (m_node && !m_isStopped) {
            co_await announce(m_server.isDraining() ? "draining" : "serving");
            m_timer.expires_after(period);
            co_await m_timer.async_wait(asTuple);
        }
    }

    /// The last announcement: the backend server is gone.
    auto announceLeft() -> Task<void>
    {
        m_isStopped = true;
        m_timer.cancel();
        if (m_node)
            co_await announce("left");
    }

    /// Announces now, without waiting for the next second.
    auto hurry() -> void { m_timer.cancel(); }

private:
    static constexpr auto period = std::chrono::seconds(1);

    auto announce(std::string_view state) -> Task<void>
    {
        const auto &settings = m_server.settings();
        const auto inFlight = settings.liesAboutHealth ? 0 : m_server.inFlight();
        Request request(http::verb::post, "/announce", 11);
        request.set(http::field::content_type, "application/json");
        request.body() = nlohmann::json{
                {"service", settings.service},
                {"port", settings.port},
                {"slots", m_server.slots()},
                {"state", state},
                {"inFlight",
                 inFlight}}.dump();
        co_await m_node->exchange(request, HttpPool::Clock::now() + period, nullptr);
    }

    const BackendServer &m_server;
    asio::steady_timer m_timer;
    std::unique_ptr<HttpPool> m_node;
    bool m_isStopped = false;
};

} // namespace stairspur::standins
