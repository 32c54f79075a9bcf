#include "TcpListener.h"

#include <utility>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::transport {

namespace asio = boost::asio;

/// Pause after a failed accept, so that a lasting failure takes no processor time.
static constexpr auto AcceptRest = std::chrono::milliseconds(20);

TcpListener::TcpListener(asio::io_context &io)
    : m_acceptor(io)
    , m_rest(io)
{}

auto TcpListener::listen(const std::string &address, std::uint16_t port) -> void
{
    try {
        const auto endpoint = asio::ip::tcp::endpoint(asio::ip::make_address(address), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &error) {
        throw SettingError("cannot listen on " + address + ":" + std::to_string(port) + " ("
                                   + error.what() + ")",
                           "name an address of this host and a port that is free");
    }
}

auto TcpListener::accept(DidAccept didAccept) -> void
{
    m_didAccept = std::move(didAccept);
    acceptOne();
}

auto TcpListener::acceptOne() -> void
{
    m_acceptor.async_accept([self = shared_from_this()](auto ec, auto socket) {
        if (!self->m_acceptor.is_open())
            return;
        if (ec) {
            self->restThenAccept(ec);
            return;
        }
        const auto didAccept =
                self->m_didAccept; // Lives on while it runs, also when it closes this.
        didAccept(std::move(socket));
        if (self->m_acceptor.is_open())
            self->acceptOne();
    });
}

auto TcpListener::restThenAccept(boost::system::error_code why) -> void
{
    log::Line(log::Severity::Warning, "accept-failed")
            .add("port", m_port)
            .add("error", why.message());
    m_rest.expires_after(AcceptRest);
    m_rest.async_wait([self = shared_from_this()](auto ec) {
        if (!ec && self->m_acceptor.is_open())
            self->acceptOne();
    });
}

auto TcpListener::close() -> void
{
    auto ec = boost::system::error_code();
    m_acceptor.close(ec);
    m_rest.cancel();
    // It holds whoever owns this listener.
    m_didAccept = nullptr;
}

} // namespace stairspur::transport
