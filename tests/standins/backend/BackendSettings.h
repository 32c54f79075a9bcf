#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace stairspur::standins {

/// What a stand-in backend server is told by its flags.
struct BackendSettings
{
    std::vector<std::string> addresses; ///< It listens on each of them, on the same port.
    std::uint16_t port = 0;
    std::string service;
    std::uint32_t slots = 100; ///< Calls that run at once.
    std::uint32_t queue = 8;   ///< Calls that wait for a slot; one more is shed.
    double serviceMs = 5;      ///< Mean time of a run.
    double rateLimit = 0;      ///< Calls per second that its answers state; 0: none.
    double serviceJitter = 0;  ///< A run takes the mean times 1 ± this share, evenly spread.
    std::uint32_t coldMs = 0;  ///< It starts slow for this long.
    double coldFactor = 5;     ///< A cold run takes this many times longer.
    std::uint32_t answerBytes = 512;
    std::optional<boost::asio::ip::tcp::endpoint> announceTo; ///< The host's admin port.
    std::optional<boost::asio::ip::tcp::endpoint> entry;      ///< The host's entry port.
    std::vector<std::string> calls; ///< Deeper services, called one after the other.
    std::set<std::string> keyed;    ///< Services whose calls carry an Idempotency-Key.
    bool liesAboutHealth = false;   ///< It always announces that nothing runs.
    std::uint32_t drainMs = 10'000; ///< Running calls get this long to end after SIGTERM.
    std::uint64_t seed = 1;
};

} // namespace stairspur::standins
