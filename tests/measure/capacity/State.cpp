#include "Measurements.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <stairspur/config/ConfigurationIndex.h>
#include <stairspur/core/Hash.h>
#include <stairspur/membership/MembershipState.h>
#include <stairspur/routing/UpstreamPool.h>

#include "Meters.h"

namespace stairspur::capacity {

using namespace membership;

static constexpr auto Services = 520U;
static constexpr auto Members = 14'000U;
static constexpr auto Domains = 13U;
static constexpr auto Now = TimePoint(Duration{1'000'000'000});

static auto serviceName(std::uint32_t index) -> std::string
{
    return "service-of-the-fleet-" + std::to_string(index);
}

static auto memberAt(std::uint32_t index) -> Member
{
    auto member = Member();
    member.node = nodeId(index);
    member.service = serviceName(index % Services);
    member.domain = "failure-domain-" + std::to_string(index % Domains);
    member.incarnation = 1'700'000'000'000;
    member.startIncarnation = member.incarnation;
    member.state = ServingState::Serving;
    member.slots = 100;
    return member;
}

static auto settingsOfNode() -> MembershipSettings
{
    auto settings = MembershipSettings();
    settings.node = "10.99.0.1:7100";
    settings.domain = memberAt(0).domain;
    return settings;
}

static auto measureMembers() -> void
{
    const auto before = heapBytes();
    auto state = std::make_unique<MembershipState>(settingsOfNode(), 1, Now);
    auto services = std::set<std::string>();
    for (auto index = 0U; index < Services; ++index)
        services.insert(serviceName(index));
    state->setServicesOfInterest(services);
    auto message = Message();
    message.kind = MessageKind::Gossip;
    message.self = memberAt(0);
    for (auto index = 1U; index < Members; ++index) {
        message.updates = {memberAt(index)};
        // Nodes speak for their own domain, so that each record comes from one of its own.
        message.self = memberAt(index % Domains);
        state->receive(Now, message.self.node, encode(message));
        state->takeEvents();
        state->takeDatagrams();
    }
    const auto held = heapBytes() - before;
    const auto view = std::make_shared<const MembershipView>(state->view());
    const auto known = static_cast<double>(view->members.size());
    print("members that the node knows", known, "");
    print("memory, a member in MembershipState", held / known, "B");
    print("memory, a member in one published view", (heapBytes() - before - held) / known, "B");
    static constexpr auto Views = 20U;
    measureProcessor("processor, making one view of all members", Views,
                     [&](auto) { return state->view(); });
}

static auto configurationOf(std::uint32_t services, std::uint32_t callers) -> config::Configuration
{
    auto made = config::Configuration();
    for (auto index = 0; index < 5; ++index)
        made.classes.push_back({"class-" + std::to_string(index), static_cast<ClassRank>(index)});
    for (auto index = 0U; index < services; ++index)
        made.services.push_back({.name = serviceName(index)});
    for (auto index = 0U; index + 10 <= services; index += 10) {
        auto path = config::CallPath{.name = "path-" + std::to_string(index)};
        for (auto depth = 0U; depth < 10; ++depth)
            path.services.push_back(serviceName(index + depth));
        made.paths.push_back(std::move(path));
    }
    for (auto index = 0U; index < callers; ++index)
        made.callers.push_back({.name = "caller-" + std::to_string(index),
                                .keySha256 = sha256Hex(std::to_string(index)),
                                .classes = {"class-0", "class-3"}});
    return made;
}

/// Bytes of a configuration with its index.
static auto bytesOf(std::uint32_t services, std::uint32_t callers) -> double
{
    const auto before = heapBytes();
    auto versioned = std::make_shared<config::VersionedConfiguration>();
    versioned->configuration = configurationOf(services, callers);
    const auto index = std::make_shared<const config::ConfigurationIndex>(std::move(versioned));
    return heapBytes() - before;
}

static auto measureConfiguration() -> void
{
    const auto empty = bytesOf(0, 0);
    print("memory, a service with its paths in ConfigurationIndex",
          (bytesOf(Services, 0) - empty) / Services, "B");
    print("memory, a caller in ConfigurationIndex", (bytesOf(0, Services) - empty) / Services, "B");
    const auto begin = processorMicroseconds();
    bytesOf(Services, Services);
    print("processor, building a whole one (520 services and callers)",
          processorMicroseconds() - begin, "us");
}

static auto upstreamsOf(std::uint32_t count) -> std::vector<routing::Upstream>
{
    auto upstreams = std::vector<routing::Upstream>();
    for (auto index = 0U; index < count; ++index)
        upstreams.push_back({nodeId(index), "failure-domain-" + std::to_string(index % Domains), 1,
                             100, false});
    return upstreams;
}

static auto measureUpstreams() -> void
{
    static constexpr auto Count = 1'000U;
    const auto before = heapBytes();
    auto settings = routing::RoutingSettings();
    settings.ownNode = "10.99.0.1:7100";
    settings.ownDomain = "failure-domain-0";
    auto pool = routing::UpstreamPool("service", settings);
    pool.setUpstreams(upstreamsOf(Count), Now);
    auto report = admission::LoadReport{.sequence = 1, .limit = 10};
    report.floors.resize(5);
    for (const auto &it : upstreamsOf(Count))
        pool.didReceiveReport(it.node, report, Now);
    print("memory, an upstream in UpstreamPool (5 classes)", (heapBytes() - before) / Count, "B");
}

auto measureState() -> void
{
    measureMembers();
    measureConfiguration();
    measureUpstreams();
}

} // namespace stairspur::capacity
