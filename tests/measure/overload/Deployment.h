#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Time.h>

namespace stairspur::overload {

/// One service of the chain.
struct ServiceModel
{
    std::string name;
    std::uint32_t upstreams = 1;
    std::uint32_t slots = 1;       ///< Calls that one backend server works on at once.
    std::uint32_t connections = 1; ///< Calls that it takes before it sheds.
    Duration serviceTime{0};       ///< Mean of its own work for one call.
};

/// One chain of services, each of which calls the next, over some failure domains.
struct Deployment
{
    std::string name;
    std::vector<ServiceModel> chain;
    Duration clientDistance{0}; ///< One way.
    std::uint32_t domains = 3;

    /// Calls per second that the deepest service can answer when its work takes `slowdown` times as long.
    [[nodiscard]] auto capacity(double slowdown) const -> double
    {
        const auto &deepest = chain.back();
        const auto slots = static_cast<double>(deepest.upstreams) * deepest.slots;
        return slots * 1e6 / (static_cast<double>(deepest.serviceTime.count()) * slowdown);
    }
};

/// Counts, slots, connections and distances are the operators' own figures; the service times are chosen so that the
/// deepest service, which has the fewest slots, is the first to be overloaded.
inline auto association() -> Deployment
{
    return {"association",
            {{"order-intake", 4, 110, 770, Duration(10'000)},
             {"courier-maps", 3, 150, 1000, Duration(20'000)},
             {"courier-payouts", 3, 20, 220, Duration(100'000)}},
            Duration(8'000)};
}

inline auto kargoleaf() -> Deployment
{
    return {"kargoleaf",
            {{"manifest-query", 5, 170, 1100, Duration(10'000)},
             {"load-sheet-computation", 3, 280, 1800, Duration(60'000)},
             {"uplift-booking", 3, 60, 480, Duration(150'000)}},
            Duration(3'000)};
}

/// A chain of four services that grows with the fleet in the proportions of the operators' largest deployment, so that each
/// host's share of the load is the same at every size: what one host asks of another thins instead.
inline auto fleetOf(std::uint32_t hosts) -> Deployment
{
    const auto share = [hosts](double of) {
        return std::max(1U, static_cast<std::uint32_t>(std::lround(of * hosts)));
    };
    return {"fleet",
            {{"menu", share(0.49), 30, 1200, Duration(110'000)},
             {"order-intake", share(0.355), 30, 1200, Duration(15'000)},
             {"courier-maps", share(0.105), 67, 1200, Duration(15'000)},
             {"courier-payouts", share(0.05), 35, 1200, Duration(220'000)}},
            Duration(3'000),
            5};
}

inline constexpr auto SameHostDistance = Duration(50);
inline constexpr auto SameDomainDistance = Duration(300);
inline constexpr auto OtherDomainDistance = Duration(1'000);

} // namespace stairspur::overload
