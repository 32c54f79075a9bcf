#include <criterion/criterion.h>

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stairspur/cli/DrainCommand.h>
#include <stairspur/transport/HttpServer.h>

using namespace stairspur;
using namespace stairspur::cli;
using namespace std::chrono_literals;
using transport::HttpRequest;
using transport::HttpResponse;

/// More than any answer on loopback takes: no test waits so long for a good answer.
static constexpr auto Timeout = Duration(10s);

/// A server on loopback with a thread of its own, as a node's admin port is.
class LoopbackServer
{
public:
    explicit LoopbackServer(HttpResponse response)
        : m_server(m_io, {},
                   [this, response = std::move(response)](
                           HttpRequest request, const auto &) -> transport::Task<HttpResponse> {
                       m_request = std::move(request);
                       co_return response;
                   })
    {
        m_server.start();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~LoopbackServer() { stop(); }
    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer(LoopbackServer &&) = delete;
    auto operator=(const LoopbackServer &) -> LoopbackServer & = delete;
    auto operator=(LoopbackServer &&) -> LoopbackServer & = delete;

    auto stop() -> void
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_server.port(); }
    [[nodiscard]] auto request() const -> const HttpRequest & { return m_request; }

private:
    boost::asio::io_context m_io;
    transport::HttpServer m_server;
    HttpRequest m_request;
    std::thread m_thread;
};

Test(AdminClient, sendsARequestAndReturnsTheAnswer)
{
    auto server = LoopbackServer({202, {}, "draining"});
    const auto send = makeAdminSender({"127.0.0.1", server.port()}, Timeout);
    auto request = HttpRequest();
    request.method = "POST";
    request.target = "/drain";
    const auto response = send(request);
    server.stop();
    cr_assert_eq(response.status, 202);
    cr_assert_eq(response.body, "draining");
    cr_assert_eq(server.request().method, "POST");
    cr_assert_eq(server.request().target, "/drain");
}

Test(AdminClient, aPortThatNobodyListensOnIsUnreachable)
{
    // Bound, but not listening: nobody else can take the port meanwhile.
    auto io = boost::asio::io_context();
    auto socket = boost::asio::ip::tcp::socket(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto port = socket.local_endpoint().port();
    try {
        drain(makeAdminSender({"127.0.0.1", port}, Timeout));
        cr_assert_fail("reached port %d", port);
    } catch (const CommandError &error) {
        cr_assert(error.exitCode() == ExitCode::Unreachable);
    }
}
