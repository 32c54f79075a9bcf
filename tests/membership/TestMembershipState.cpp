#include <algorithm>

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
    settings.startIncarnation = 1'700'000'000'000;
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
        cr_assert_eq(node.state->view().members.size(), 20U, "%s has %zu members", id.c_str(),
                     node.state->view().members.size());
        for (const auto &it : node.state->view().members) {
            cr_assert(it.liveness == Liveness::Alive);
            cr_assert_eq(it.service, "booking");
        }
    }
}

/// Returns the time that twenty nodes that start simultaneously take until each has all members.
static auto timeToFullView(std::uint32_t quickPeriods, std::uint64_t seed) -> Duration
{
    static constexpr auto Size = std::size_t{20};
    static constexpr auto Step = Period / 10;
    auto network = VirtualNetwork<StandardPolicy>(seed);
    for (std::size_t index = 1; index <= Size; ++index) {
        auto settings = settingsOf(index);
        settings.quickPeriods = quickPeriods;
        network.start(settings).setSelf(network.now(), "booking", 60, ServingState::Serving);
    }
    const auto hasAllMembers = [](auto &it) {
        return it.second.state->view().members.size() == Size;
    };
    auto taken = Duration::zero();
    while (!std::ranges::all_of(network.nodes(), hasAllMembers)) {
        cr_assert_lt(taken, 60 * Period);
        network.run(Step);
        taken += Step;
    }
    return taken;
}

Test(MembershipState, nodesFindEachOtherSoonerInQuickPeriods)
{
    auto plain = Duration::zero();
    auto quick = Duration::zero();
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        plain += timeToFullView(0, seed);
        quick += timeToFullView(30, seed);
    }
    cr_assert_lt(quick * 2, plain, "%ld us instead of %ld us", quick.count(), plain.count());
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

Test(MembershipState, invalidDatagramsAndForgedSendersAreCountedAndChangeNothing)
{
    auto network = VirtualNetwork<StandardPolicy>(3);
    startDomain(network, 2);
    network.run(5 * Period);
    auto &state = *network.node("192.0.2.1:7100").state;
    const auto before = state.view().members;
    auto forged = Message();
    forged.self = *state.find("192.0.2.2:7100");
    forged.self.incarnation += 9;
    state.receive(network.now(), "192.0.2.77:7100", encode(forged));
    state.receive(network.now(), "192.0.2.1:7100", encode(forged));
    state.receive(network.now(), "192.0.2.2:7100", "");
    state.receive(network.now(), "192.0.2.2:7100", std::string(60'000, '\x81'));
    cr_assert_eq(state.counters().rejectedDatagrams, 4U);
    cr_assert(state.view().members == before);
}

Test(MembershipState, annotationsAreSentWithProbes)
{
    auto network = VirtualNetwork<StandardPolicy>(4);
    startDomain(network, 2);
    network.node("192.0.2.2:7100").state->setAnnotation("version 7");
    cr_assert_throw(network.node("192.0.2.2:7100").state->setAnnotation(std::string(25, 'x')),
                    InputError);
    network.run(5 * Period);
    const auto &events = network.node("192.0.2.1:7100").events;
    cr_assert(std::any_of(events.begin(), events.end(), [](const MembershipEvent &it) {
        return it.kind == MembershipEventKind::Annotation && it.member.node == "192.0.2.2:7100"
               && it.annotation == "version 7";
    }));
}

Test(MembershipState, deadMembersAreRemovedAfterTheirRetention)
{
    auto network = VirtualNetwork<StandardPolicy>(5);
    for (std::size_t index = 1; index <= 3; ++index) {
        auto settings = settingsOf(index);
        settings.deadRetention = 60 * Period;
        network.start(settings);
    }
    network.run(10 * Period);
    network.kill("192.0.2.3:7100");
    network.run(30 * Period);
    cr_assert_not_null(network.node("192.0.2.1:7100").state->find("192.0.2.3:7100"));
    network.run(90 * Period);
    cr_assert_null(network.node("192.0.2.1:7100").state->find("192.0.2.3:7100"));
}

Test(MembershipState, aNodeWhoseBackendServerLeftStaysAMember)
{
    auto network = VirtualNetwork<StandardPolicy>(6);
    startDomain(network, 4);
    network.run(10 * Period);
    network.node("192.0.2.4:7100").state->setSelf(network.now(), "booking", 60, ServingState::Left);
    network.run(30 * Period);
    const auto *member = network.node("192.0.2.1:7100").state->find("192.0.2.4:7100");
    cr_assert(member->state == ServingState::Left && member->liveness == Liveness::Alive);
    network.node("192.0.2.4:7100")
            .state->setSelf(network.now(), "booking", 60, ServingState::Serving);
    network.run(5 * Period);
    cr_assert(network.node("192.0.2.1:7100").state->find("192.0.2.4:7100")->state
              == ServingState::Serving);
}
