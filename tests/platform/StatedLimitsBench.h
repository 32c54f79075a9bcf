#pragma once

#include <chrono>
#include <deque>
#include <ranges>

#include "PlatformPath.h"

namespace stairspur {

using namespace std::chrono_literals;

/// A service whose backend servers state a rate limit or their leaving in their answers, under a steady load.
class StatedLimitsBench
{
public:
    /// The fields that a backend server adds to its answers; empty: none.
    struct Stated
    {
        std::string rateLimit;
        bool isLeaving = false;
    };

    /// One host and its backend server.
    struct Server
    {
        CallPathHarness::Host *host = nullptr;
        std::string instance; ///< Name of the process instance.
        std::uint32_t slots = 40;
        Stated stated;
        Duration serviceTime{5'000};
        std::vector<TimePoint> arrivals;

        [[nodiscard]] auto arrivalsWithin(TimePoint from, TimePoint to) const -> std::size_t
        {
            return static_cast<std::size_t>(std::ranges::count_if(
                    arrivals, [&](auto it) { return it >= from && it < to; }));
        }
    };

    auto addServer() -> Server &
    {
        auto &server = m_servers.emplace_back();
        const auto answer = [this, &server](auto request, auto) -> Task<HttpResponse> {
            server.arrivals.push_back(monotonicNow());
            auto pause = transport::Timer(path().io, server.serviceTime);
            co_await pause.async_wait(transport::asio::use_awaitable);
            co_return answerOf(server, request);
        };
        server.host = &path().addHost("menu", answer);
        announce(server, "i-" + std::to_string(m_servers.size()));
        return server;
    }

    /// Publishes a heartbeat of the process instance `instance` that says that it serves.
    static auto announce(Server &server, const std::string &instance) -> void
    {
        server.instance = instance;
        server.host->board.backend.publish({.service = "menu",
                                            .port = server.host->backend.port(),
                                            .slots = server.slots,
                                            .state = membership::ServingState::Serving,
                                            .incarnation = {instance, 0}});
        server.host->gate->refreshFromBoard();
    }

    /// Restarts the node of a host, whose backend server runs on. Its gate then knows nothing.
    auto restartNode(Server &server) -> void
    {
        server.host->restartGate();
        auto view = *path().board.members.read();
        for (auto &it : view.members) {
            if (it.node == server.host->node())
                ++it.startIncarnation;
        }
        path().board.members.publish(std::move(view));
    }

    /// Sends `perSecond` requests a second for `length`, and waits for their answers.
    auto drive(Duration length, std::uint32_t perSecond, const std::string &target = "/v/1") -> void
    {
        const auto gap = Duration(1'000'000) / perSecond;
        const auto end = monotonicNow() + length;
        for (auto next = monotonicNow(); next < end; next += gap) {
            send(target);
            path().io.run_for(std::max(Duration::zero(), next + gap - monotonicNow()));
        }
        cr_assert(path().finish());
    }

    /// Sends one request; `target` "/v/..." may run more than once, "/o/..." may not.
    auto send(const std::string &target = "/v/1") -> std::size_t
    {
        auto request = HttpRequest();
        request.method = "GET";
        request.target = target;
        request.headers.add("Host", "a");
        request.headers.add("X-Attempt-Id", "attempt" + std::to_string(++m_attempts));
        request.headers.add("X-Deadline-Ms", "2000");
        return path().start(std::move(request));
    }

    /// Returns how many requests from the `first` one on got this status.
    [[nodiscard]] auto answersOf(std::uint32_t status, std::size_t first = 0) -> std::size_t
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(path().responses | std::views::drop(first),
                                      [&](const auto &it) { return it.status == status; }));
    }

    auto path() -> CallPathHarness & { return m_bench.path; }

private:
    static auto answerOf(const Server &server, const HttpRequest &request) -> HttpResponse
    {
        auto response = backendAnswer(200, "whole");
        response.headers.set("X-Server-Seal", "seal");
        response.headers.set("X-Attempt-Id", std::string(request.headers.find("X-Attempt-Id")));
        if (!server.stated.rateLimit.empty())
            response.headers.set("Server-Limit", server.stated.rateLimit);
        if (server.stated.isLeaving)
            response.headers.set("Server-Leaving", "1");
        return response;
    }

    std::deque<Server> m_servers;
    PlatformPath m_bench;
    std::size_t m_attempts = 0;
};

} // namespace stairspur
