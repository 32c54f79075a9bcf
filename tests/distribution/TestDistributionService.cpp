#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/distribution/ConfigurationPublisher.h>
#include <stairspur/distribution/DistributionService.h>
#include <stairspur/store/EtcdStore.h>

#include "standins/store/StoreServer.h"

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests the whole path (apply, store, relay, peers) on loopback with one io_context.
using namespace stairspur;
using namespace stairspur::distribution;

static auto configurationWith(int services, std::uint32_t queue) -> config::Configuration
{
    auto configuration = config::Configuration();
    configuration.domains.push_back({"centre", ""});
    configuration.classes.push_back({"paid", 0});
    for (auto index = 0; index < services; ++index) {
        auto service = config::Service();
        service.name = "service-" + std::to_string(index);
        service.limits.maxQueue = queue;
        configuration.services.push_back(service);
    }
    return configuration;
}

struct ServiceNode
{
    ServiceNode(boost::asio::io_context &io, std::uint16_t storePort)
        : server(io, "127.0.0.1", 0, {})
        , store(storePort == 0 ? nullptr
                               : std::make_unique<store::AnyStore>(openStore(io, storePort)))
    {
        server.start();
        id = "127.0.0.1:" + std::to_string(server.port());
        peers = std::make_unique<transport::PeerClient>(io, transport::PeerSettings{.ownNode = id});
        datagrams = std::make_unique<transport::DatagramChannel>(
                io, transport::DatagramSettings{.port = server.port()});
        service = std::make_unique<DistributionService>(
                io, id, "centre", DistributionSettings(),
                DistributionParts{*peers, *datagrams, store.get(), [this] { return view; },
                                  [this](auto it) { inForce = std::move(it); }},
                1);
        server.setRequestHandler(ConfigTopic, service->requestHandler());
        service->start();
        datagrams->start();
    }

    static auto openStore(boost::asio::io_context &io, std::uint16_t port)
            -> std::unique_ptr<store::EtcdStore>
    {
        auto settings = store::StoreSettings();
        settings.port = port;
        settings.callsPerSecond = 1000;
        return std::make_unique<store::EtcdStore>(io, settings, 1);
    }

    transport::PeerServer server;
    std::unique_ptr<store::AnyStore> store;
    NodeId id;
    std::unique_ptr<transport::PeerClient> peers;
    std::unique_ptr<transport::DatagramChannel> datagrams;
    std::shared_ptr<const membership::MembershipView> view;
    config::ConfigurationPtr inForce;
    std::unique_ptr<DistributionService> service;
};

struct TestCluster
{
    boost::asio::io_context io{1};
    std::shared_ptr<standin::StoreServer> server =
            std::make_shared<standin::StoreServer>(io, std::uint16_t{0}, std::uint16_t{0});
    std::vector<std::unique_ptr<ServiceNode>> nodes;
    std::unique_ptr<store::EtcdStore> store;

    TestCluster()
    {
        server->start();
        store = ServiceNode::openStore(io, server->port());
    }

    auto addNode(bool hasStore) -> void
    {
        nodes.push_back(std::make_unique<ServiceNode>(io, hasStore ? server->port() : 0));
        auto view = std::make_shared<membership::MembershipView>();
        for (const auto &it : nodes) {
            auto member = membership::Member();
            member.node = it->id;
            member.domain = "centre";
            view->members.push_back(member);
        }
        for (const auto &it : nodes)
            it->view = view;
    }

    auto apply(const config::Configuration &configuration, const std::string &id) -> PublishResult
    {
        auto publisher = ConfigurationPublisher<store::EtcdStore>(*store, 1);
        auto request = PublishRequest();
        request.sections = config::splitIntoSections(configuration);
        request.applyId = id;
        request.appliedBy = "test";
        auto result = std::optional<PublishResult>();
        boost::asio::co_spawn(io, publisher.publish(request),
                              [&](const std::exception_ptr &, auto it) { result = it; });
        while (!result)
            io.run_one();
        return *result;
    }

    /// Fails the test when the store was not reached or refuses, since a later wait for the version would not end.
    auto applyOrFail(const config::Configuration &configuration, const std::string &id)
            -> PublishResult
    {
        auto result = apply(configuration, id);
        const auto received = nlohmann::json(server->counters()).dump();
        cr_assert(result.outcome == PublishOutcome::Applied, "%s: %s (%s); the store received %s",
                  id.c_str(), nameOf(result.outcome).data(), result.detail.c_str(),
                  received.c_str());
        return result;
    }

    /// Exchanges digests between all nodes as membership's probes do, since the datagrams of an adoption may miss a node.
    auto exchangeDigests() -> void
    {
        for (const auto &from : nodes) {
            for (const auto &to : nodes) {
                if (to != from)
                    to->service->didReceiveDigest(from->id, from->service->digest());
            }
        }
    }

    auto waitForVersion(std::uint64_t version) -> void
    {
        for (const auto &it : nodes) {
            while (!it->inForce || it->inForce->version < version) {
                exchangeDigests();
                io.run_one();
            }
        }
    }
};

Test(DistributionService, anAppliedFileComesIntoForceOnEveryNode, .timeout = 60)
{
    auto cluster = TestCluster();
    for (const auto hasStore : {true, false, false, true})
        cluster.addNode(hasStore);
    cluster.applyOrFail(configurationWith(80, 100), "first");
    cluster.waitForVersion(1);
    auto second = configurationWith(80, 100);
    second.services[7].limits.maxQueue = 7;
    const auto applied = cluster.applyOrFail(second, "second");
    cluster.waitForVersion(2);
    for (const auto &it : cluster.nodes) {
        const auto *service = it->inForce->configuration.findService("service-7");
        cr_assert(service != nullptr);
        cr_assert_eq(service->limits.maxQueue, 7);
        cr_assert_eq(it->inForce->hash, applied.inForce.hash);
    }
}

Test(DistributionService, aFreshNodeLearnsFromPeersWhileTheStoreIsDown, .timeout = 60)
{
    auto cluster = TestCluster();
    cluster.addNode(true);
    // This is more than one piece of a reply and far more than one datagram.
    cluster.applyOrFail(configurationWith(1500, 100), "first");
    cluster.waitForVersion(1);
    cluster.server->setFault({standin::FaultMode::Down, 0, 0, ""});
    cluster.addNode(true);
    cluster.waitForVersion(1);
    cr_assert_eq(cluster.nodes[1]->inForce->configuration.services.size(), 1500);
    cr_assert(cluster.nodes[1]->service->counters().requestsSent > 1);
}

Test(DistributionService, aLostAnswerOfTheRealProtocolIsResolved, .timeout = 60)
{
    auto cluster = TestCluster();
    cluster.server->setFault({standin::FaultMode::LostAnswer, 0, 1, "txn"});
    const auto result = cluster.applyOrFail(configurationWith(3, 100), "first");
    cr_assert_eq(result.version, 1);
}
