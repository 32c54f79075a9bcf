#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include <stairspur/routing/UpstreamPool.h>

/// Entries that place calls on upstreams in virtual time, for comparisons of ways to choose.
namespace stairspur::routing {

enum class Way {
    Random,
    RoundRobin,
    LeastReported, ///< The least (in flight + queued) / limit of the last reports.
    Pool,          ///< UpstreamPool.
};

struct SimulationSettings
{
    Way way = Way::Pool;
    Duration halfLife{500'000};
    std::size_t entries = 12;
    std::vector<std::uint32_t> limits; ///< Of the upstreams.
    double utilisation = 0.8;
    Duration serviceTime{10'000}; ///< Mean; exponential.
    Duration distance{1'000};     ///< One way.
    Duration length{20'000'000};
};

struct SimulationResult
{
    double maxToMean = 0; ///< Greatest load of an upstream by the mean load, over samples.
    double meanWaitMs = 0;
    double p99WaitMs = 0;
};

class Simulation
{
public:
    Simulation(SimulationSettings settings, std::uint64_t seed);

    auto run() -> SimulationResult;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        auto operator<(const Event &other) const -> bool
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct Call
    {
        std::size_t entry = 0;
        TimePoint sentAt;
        TimePoint queuedAt;
    };

    struct Server
    {
        std::uint32_t running = 0;
        std::uint64_t sequence = 0;
        std::deque<Call> queue;
    };

    struct Entry
    {
        UpstreamPool pool;
        std::vector<double> reported;
        std::size_t next = 0;
    };

    auto in(Duration delay, std::function<void()> action) -> void;
    auto exponential(Duration mean) -> Duration;
    auto arrive(std::size_t entry) -> void;
    auto chooseFor(Entry &entry) -> std::size_t;
    auto start(std::size_t server, const Call &call) -> void;
    auto finish(std::size_t server, const Call &call) -> void;
    auto sample() -> void;
    [[nodiscard]] auto loadOf(std::size_t server) const -> double;

    SimulationSettings m_settings;
    Random m_random;
    TimePoint m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::vector<double> m_waits;
    Duration m_interval{0}; ///< Mean time between the calls of one entry.
    double m_ratios = 0;
    std::uint64_t m_samples = 0;
};

} // namespace stairspur::routing
