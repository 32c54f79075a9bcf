#include <csignal>

#include <boost/asio/signal_set.hpp>

#include <stairspur/core/Memory.h>
#include <stairspur/log/Log.h>
#include <stairspur/node/NodeAdapter.h>
#include <stairspur/node/NodeSettings.h>

#include "IoThread.h"
#include "Node.h"
#include "PeriodicTask.h"

/// The node as a process: its log, its signals, and the reload of its settings file.
namespace stairspur::node {

namespace asio = transport::asio;

/// Reads the settings again on each SIGHUP. Without a settings file SIGHUP has no effect; it never ends the process.
static auto reloadUponSignal(asio::signal_set &hangUp, const NodeAdapter &adapter) -> void
{
    hangUp.async_wait([&hangUp, &adapter](const boost::system::error_code &ec, int) {
        if (ec)
            return;
        log::Line(log::Severity::Info, "reload").add("has_settings_file", bool(adapter.reload));
        if (adapter.reload)
            adapter.reload(ReloadCause::Signal);
        reloadUponSignal(hangUp, adapter);
    });
}

auto runNode(const NodeSettings &settings) -> int
{
    return runAdaptedNode(settings, NodeAdapter());
}

auto runAdaptedNode(const NodeSettings &settings, const NodeAdapter &adapter) -> int
{
    static constexpr auto DrainTimedOut = 1;
    returnLargeBlocks();
    const auto logging =
            log::Session({fromName<log::Severity>(settings.logLevel).value_or(log::Severity::Info),
                          settings.nodeId(), settings.logDecisionSample});
    auto signals = IoThread("signals");
    auto terminate = asio::signal_set(signals.io(), SIGTERM, SIGINT);
    auto hangUp = asio::signal_set(signals.io(), SIGHUP);
    reloadUponSignal(hangUp, adapter);
    auto reloadTask = PeriodicTask(signals.io(), adapter.reloadInterval,
                                   [&adapter] { adapter.reload(ReloadCause::Timer); });
    if (adapter.reload && adapter.reloadInterval > Duration::zero())
        reloadTask.start();
    auto node = Node(settings, adapter);
    node.start();
    terminate.async_wait([&node](const boost::system::error_code &ec, int number) {
        if (!ec)
            node.startDrain(number == SIGTERM ? "sigterm" : "sigint");
    });
    signals.start();
    const auto isComplete = node.waitUntilStopped();
    signals.stop();
    return isComplete ? 0 : DrainTimedOut;
}

} // namespace stairspur::node
