#include <stairspur/cli/StatusWatch.h>

#include <csignal>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <stairspur/transport/Timer.h>

namespace stairspur::cli {

namespace asio = boost::asio;

/// Cursor to the upper left corner, then erase the display (ECMA-48, CUP and ED).
static constexpr auto ClearTerminal = "\x1b[H\x1b[2J";

auto watchReports(const std::function<CommandReport()> &look, const Pacer &wait, std::ostream &out)
        -> CommandReport
{
    while (true) {
        auto report = look();
        out << ClearTerminal << report.text << std::flush;
        if (!out || !wait())
            return {report.exitCode, {}, std::move(report.json)};
    }
}

/// Waits for the time to pass or for a signal, whichever comes first.
class SecondPacer
{
public:
    SecondPacer()
    {
        m_signals.async_wait([this](const boost::system::error_code &ec, int) {
            m_isInterrupted = m_isInterrupted || !ec;
        });
    }

    auto wait() -> bool
    {
        m_timer.expires_after(std::chrono::seconds(1));
        m_timer.async_wait([](const boost::system::error_code &) {});
        m_io.run_one();
        return !m_isInterrupted;
    }

private:
    asio::io_context m_io{1};
    asio::signal_set m_signals{m_io, SIGINT, SIGTERM};
    transport::Timer m_timer{m_io};
    bool m_isInterrupted = false;
};

auto makeSecondPacer() -> Pacer
{
    return [pacer = std::make_shared<SecondPacer>()] { return pacer->wait(); };
}

} // namespace stairspur::cli
