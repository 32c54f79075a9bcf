#include <cstdint>
#include <iostream>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "StoreServer.h"

DEFINE_uint32(port, 2379, "TCP port of the gateway on loopback; 0 takes a free one");
DEFINE_uint32(fault_port, 0, "TCP port for /fault and /counters on loopback; 0 takes a free one");

using namespace stairspur::standin;

/// The stand-in of the platform's key-value service. Prints its two ports, then serves until SIGTERM or SIGINT.
auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("stand-in of the platform's key-value service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto io = boost::asio::io_context(1);
    const auto server = std::make_shared<StoreServer>(io, static_cast<std::uint16_t>(FLAGS_port),
                                                      static_cast<std::uint16_t>(FLAGS_fault_port));
    server->start();
    auto signals = boost::asio::signal_set(io, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) {
        server->stop();
        io.stop();
    });
    std::cout << "port=" << server->port() << " fault_port=" << server->faultPort() << std::endl;
    io.run();
    return 0;
}
