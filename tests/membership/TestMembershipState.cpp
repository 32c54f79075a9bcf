#include <criterion/criterion.h>

#include "VirtualNetwork.h"

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Period = Duration{1'000'000};

static auto settingsOf(std::size_t index) -> MembershipSettings
{
    auto settings = MembershipSettings();
    settings.node = "192.0.2." + std::to_string(index) + ":7100";
    settings.domain = "lekki";
    settings.start = 1'700'000'000'000;
    settings.seeds = {"192.0.2.1:7100", "192.0.2.2:7100"};
    return settings;
}

static auto startDomain(VirtualNetwork<StandardPolicy> &network, std::size_t n) -> void
{
    for (std::size_t index = 1; index <= n; ++index)
        network.start(settingsOf(index))
                .setSelf(network.now(), "booking", 60, ServingState::Serving);
}

Test(MembershipState, nodesFindEachOtherThroughSeeds)
{
    auto network = VirtualNetwork<StandardPolicy>(1);
    startDomain(network, 20);
    network.run(20 * Period);
    for (auto &[id, node] : network.nodes()) {
        cr_assert_eq(node.state->view().members.size(), 20U, "%s knows %zu", id.c_str(),
                     node.state->view().members.size());
        for (const auto &it : node.state->view().members) {
            cr_assert(it.liveness == Liveness::Alive);
            cr_assert_eq(it.service, "booking");
        }
    }
}

Test(MembershipState, aKilledNodeIsDeadEverywhere)
{
    auto network = VirtualNetwork<StandardPolicy>(2);
    startDomain(network, 20);
    network.run(20 * Period);
    network.kill("192.0.2.9:7100");
    network.run(25 * Period);
    for (auto &[id, node] : network.nodes()) {
        if (node.state)
            cr_assert(node.state->find("192.0.2.9:7100")->liveness == Liveness::Dead);
    }
}
