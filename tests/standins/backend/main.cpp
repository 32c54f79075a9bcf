// A stand-in backend server: serves one service as a real one would, badly where told to, and records what it ran.

#include <csignal>
#include <cstdio>
#include <exception>

#include <gflags/gflags.h>

#include <stairspur/core/Error.h>

#include "../shared/Endpoint.h"
#include "../shared/FileLimit.h"
#include "Announcer.h"
#include "BackendServer.h"

DEFINE_string(address, "127.0.0.1", "Addresses to listen on, separated by commas");
DEFINE_int32(port, 0, "Port to listen on, the same for each address");
DEFINE_string(service, "", "Name of the service");
DEFINE_int32(slots, 100, "Calls that run at once");
DEFINE_int32(queue, 8, "Calls that wait for a slot before one more is shed");
DEFINE_double(service_ms, 5, "Mean time of a run, in milliseconds");
DEFINE_double(service_jitter, 0, "A run takes the mean times 1 +- this share");
DEFINE_int32(cold_ms, 0, "Starts slow for this many milliseconds");
DEFINE_double(cold_factor, 5, "A cold run takes this many times longer");
DEFINE_int32(answer_bytes, 512, "Size of an answer's body");
DEFINE_string(announce, "", "address:port of the host's admin port");
DEFINE_string(entry, "", "address:port of the host's entry, for deeper calls");
DEFINE_string(calls, "", "Deeper services, called one after the other, separated by commas");
DEFINE_string(keyed, "", "Services whose calls carry an Idempotency-Key, separated by commas");
DEFINE_bool(lie_health, false, "Announces that nothing is in flight");
DEFINE_int32(drain_ms, 10'000, "Time that running calls get to end after SIGTERM, in milliseconds");
DEFINE_uint64(seed, 1, "Seed of the service times");

namespace stairspur::standins {
namespace {

constexpr auto exitBadSetting = 2;

auto readSettings() -> BackendSettings
{
    if (FLAGS_service.empty())
        throw SettingError("--service is missing",
                           "name the service, for example --service=order-intake");
    if (FLAGS_port <= 0 || FLAGS_port > 65535)
        throw SettingError("--port is missing or out of range", "give one between 1 and 65535");
    if (!FLAGS_calls.empty() && FLAGS_entry.empty())
        throw SettingError("--calls needs --entry", "give the entry's address:port");
    BackendSettings settings;
    settings.addresses = splitText(FLAGS_address, ',');
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    settings.service = FLAGS_service;
    settings.slots = static_cast<std::uint32_t>(FLAGS_slots);
    settings.queue = static_cast<std::uint32_t>(FLAGS_queue);
    settings.serviceMs = FLAGS_service_ms;
    settings.serviceJitter = FLAGS_service_jitter;
    settings.coldMs = static_cast<std::uint32_t>(FLAGS_cold_ms);
    settings.coldFactor = FLAGS_cold_factor;
    settings.answerBytes = static_cast<std::uint32_t>(FLAGS_answer_bytes);
    if (!FLAGS_announce.empty())
        settings.announceTo = parseEndpoint(FLAGS_announce);
    if (!FLAGS_entry.empty())
        settings.entry = parseEndpoint(FLAGS_entry);
    settings.calls = splitText(FLAGS_calls, ',');
    for (const auto &it : splitText(FLAGS_keyed, ','))
        settings.keyed.insert(it);
    settings.liesAboutHealth = FLAGS_lie_health;
    settings.drainMs = static_cast<std::uint32_t>(FLAGS_drain_ms);
    settings.seed = FLAGS_seed;
    return settings;
}

/// Ends running calls whole after the first SIGTERM or SIGINT, then the process.
auto drainUponSignal(asio::io_context &io, BackendServer &server, Announcer &announcer)
        -> Task<void>
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    server.drain();
    announcer.hurry();
    const auto deadline = monotonicNow() + std::chrono::milliseconds(server.settings().drainMs);
    asio::steady_timer timer(io);
    // One more step after the last call, so that its answer is written and the node has heard of the drain.
    for (auto quietSteps = 0; quietSteps < 2 && monotonicNow() < deadline;) {
        constexpr auto step = std::chrono::milliseconds(50);
        timer.expires_after(step);
        co_await timer.async_wait(asTuple);
        quietSteps = server.inFlight() == 0 ? quietSteps + 1 : 0;
    }
    co_await announcer.announceLeft();
    io.stop();
}

auto run() -> int
{
    raiseFileLimit();
    asio::io_context io(1);
    BackendServer server(io, readSettings());
    const auto handler = [&server](const Request &request, CancellationPtr cancellation) {
        return server.handle(request, std::move(cancellation));
    };
    HttpListener listener(io, handler);
    for (const auto &it : server.settings().addresses)
        listener.listen({asio::ip::make_address(it), server.settings().port});
    Announcer announcer(io, server);
    asio::co_spawn(io, announcer.run(), asio::detached);
    asio::co_spawn(io, drainUponSignal(io, server, announcer), asio::detached);
    io.run();
    return server.inFlight() == 0 ? 0 : 1;
}

} // namespace
} // namespace stairspur::standins

auto main(int argc, char **argv) -> int
{
    try {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        return stairspur::standins::run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin_backend: %s\n", error.what());
        return stairspur::standins::exitBadSetting;
    }
}
