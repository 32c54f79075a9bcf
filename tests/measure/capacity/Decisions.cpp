#include <memory>
#include <string>
#include <vector>

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/membership/MembershipState.h>
#include <stairspur/routing/UpstreamPool.h>

#include "Measurements.h"
#include "Meters.h"

namespace stairspur::capacity {

using namespace membership;

static constexpr auto Runs = 100'000U;
static constexpr auto Begin = TimePoint(Duration{1'000'000'000});

/// A ping as peers send it in a domain of which one record changes at a time.
static auto measureDatagrams() -> void
{
    static constexpr auto Peers = 1'077U;
    auto settings = MembershipSettings();
    settings.node = "10.99.0.1:7100";
    settings.domain = "failure-domain-0";
    auto state = MembershipState(settings, 1, Begin);
    auto datagrams = std::vector<std::string>();
    auto senders = std::vector<NodeId>();
    for (auto index = 0U; index < Peers; ++index) {
        auto message = Message();
        message.self.node = nodeId(index);
        message.self.domain = settings.domain;
        message.self.service = "service-" + std::to_string(index % 520);
        message.self.incarnation = 1;
        message.self.state = ServingState::Serving;
        message.annotation = std::string(24, 'a');
        senders.push_back(message.self.node);
        datagrams.push_back(encode(message));
        state.receive(Begin, senders.back(), datagrams.back());
    }
    measureProcessor("processor, a ping taken in and answered (1,077 peers)", Runs, [&](auto n) {
        state.receive(Begin, senders[n % Peers], datagrams[n % Peers]);
        state.takeDatagrams();
        state.takeEvents();
    });
    auto now = Begin;
    static constexpr auto Periods = 1'000U;
    measureProcessor("processor, a protocol period of ten ticks (1,077 peers)", Periods, [&](auto) {
        for (auto tick = 0; tick < 10; ++tick)
            state.tick(now += Duration{100'000});
        state.takeDatagrams();
        state.takeEvents();
    });
}

static auto measureRouting(const char *name, std::uint32_t count) -> void
{
    auto settings = routing::RoutingSettings();
    settings.ownNode = "10.99.0.1:7100";
    settings.ownDomain = "failure-domain-0";
    auto pool = routing::UpstreamPool("service", settings);
    auto upstreams = std::vector<routing::Upstream>();
    for (auto index = 0U; index < count; ++index)
        upstreams.push_back({nodeId(index), settings.ownDomain, 1, 100, false});
    pool.setUpstreams(upstreams, Begin);
    auto random = Random(1);
    auto now = Begin;
    measureProcessor(name, Runs, [&](auto n) {
        now += Duration{1'000};
        const auto request =
                routing::RouteRequest{makeLevel(n % 5, n), now + Duration{1'000'000}, {}};
        const auto decision = pool.choose(request, now, random);
        if (!decision.node)
            return;
        pool.didSend(*decision.node, now);
        auto report = admission::LoadReport{.sequence = n + 1, .limit = 100};
        report.floors.resize(5);
        pool.didEnd({*decision.node, Outcome::Answered, Reason::None, Duration{500},
                     std::move(report), request.level},
                    now, random);
    });
}

static auto measureAdmission() -> void
{
    auto controller = admission::AdmissionController({.reportedSlots = 100});
    auto random = Random(1);
    auto now = Begin;
    measureProcessor("processor, an admission: offer, end and report", Runs, [&](auto n) {
        now += Duration{5'000};
        const auto id = CallId{n} + 1;
        controller.offer({id, makeLevel(n % 5, n), now + Duration{1'000'000}}, now, random);
        controller.didComplete(id, admission::Completion::Succeeded, Duration{4'000},
                               now + Duration{4'000}, random);
        controller.report(now + Duration{4'000});
    });
}

auto measureDecisions() -> void
{
    measureDatagrams();
    measureRouting("processor, a choice with its end, 27 upstreams", 27);
    measureRouting("processor, a choice with its end, 600 upstreams", 600);
    measureAdmission();
}

} // namespace stairspur::capacity
