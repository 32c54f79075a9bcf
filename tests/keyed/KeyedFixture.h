#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/keyed/KeyedRouterCode.h>
#include <stairspur/keyed/KeyedServiceCode.h>

namespace stairspur::keyed::test {

/// A store in memory.
struct FakeStore
{
    std::map<std::string, store::KeyValue> pairs;
    store::Revision revision = 0;
    bool isDown = false;

    auto range(store::RangeRequest request)
            -> transport::Task<store::StoreResult<store::RangeAnswer>>
    {
        auto result = store::StoreResult<store::RangeAnswer>();
        result.status = isDown ? store::StoreStatus::Unreachable : store::StoreStatus::Ok;
        const auto it = pairs.find(request.key);
        if (it != pairs.end())
            result.value.pairs.push_back(it->second);
        co_return result;
    }

    auto txn(store::Transaction transaction)
            -> transport::Task<store::StoreResult<store::WriteAnswer>>
    {
        auto result = store::StoreResult<store::WriteAnswer>();
        const auto &compare = transaction.compares.front();
        auto &pair = pairs[compare.key];
        if (isDown) {
            result.status = store::StoreStatus::Unreachable;
        } else if (pair.modRevision != compare.number) {
            result.status = store::StoreStatus::CasFailed;
        } else {
            pair.value = transaction.operations.front().value;
            pair.modRevision = ++revision;
            result.status = store::StoreStatus::Ok;
            result.value.revision = revision;
        }
        co_return result;
    }
};

/// The links of one node to the others, as direct calls without a network.
struct FakePeers
{
    struct Handlers
    {
        std::function<transport::Task<transport::CallAnswer>(transport::CallRequest,
                                                             transport::CancellationPtr)>
                call;
        std::function<transport::Task<std::string>(NodeId, std::string)> request;
    };

    NodeId own;
    std::map<NodeId, Handlers> &nodes;

    auto call(NodeId node, transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>
    {
        auto answer = transport::CallAnswer();
        const auto it = nodes.find(node);
        if (it != nodes.end())
            answer = co_await it->second.call(std::move(request), std::move(cancellation));
        co_return answer;
    }

    auto request(NodeId node, std::string /*topic*/, std::string payload, Duration /*timeout*/)
            -> transport::Task<std::string>
    {
        const auto it = nodes.find(node);
        if (it == nodes.end())
            throw Error("no link to " + node, "wait");
        co_return co_await it->second.request(own, std::move(payload));
    }
};

/// Three nodes of one service in one domain, an entry and a store, with real coroutines and timers but without sockets.
class KeyedFixture
{
public:
    using Service = KeyedService<FakeStore, FakePeers>;

    KeyedFixture()
    {
        auto view = std::make_shared<membership::MembershipView>();
        auto configuration = std::make_shared<config::VersionedConfiguration>();
        configuration->configuration.domains = {{"centre", ""}};
        configuration->configuration.callers = {{"kitchen", "", {}, "centre"}};
        configuration->configuration.services = {config::Service{"order-intake", {}, false}};
        for (const auto *id : {"10.0.1.1:7100", "10.0.2.1:7100", "10.0.3.1:7100"}) {
            auto member = membership::Member{id, "order-intake", "centre", 5};
            member.startIncarnation = 5;
            member.state = membership::ServingState::Serving;
            view->members.push_back(member);
        }
        for (const auto &it : view->members)
            addNode(it.node, view, configuration);
        m_entryPeers = std::make_unique<FakePeers>(FakePeers{"entry", handlers});
        auto settings = KeyedRouterSettings();
        settings.own = {"entry", 1};
        settings.route.retryDelay = Duration(4'000);
        router = std::make_unique<KeyedRouter<FakePeers>>(io, settings, *m_entryPeers, 9);
        router->setMembers(view);
        router->setConfiguration(configuration);
    }

    boost::asio::io_context io;
    FakeStore store;
    std::map<NodeId, FakePeers::Handlers> handlers;
    std::map<NodeId, std::unique_ptr<Service>> services;
    std::unique_ptr<KeyedRouter<FakePeers>> router;
    /// Answer of the next dispatches.
    transport::CallAnswer nextAnswer;
    int dispatches = 0;

    auto route(const std::string &key, const std::string &body = "", bool isQuery = false)
            -> transport::CallAnswer
    {
        auto request = transport::CallRequest();
        request.service = "order-intake";
        request.idempotencyKey = key;
        request.caller = "kitchen";
        request.method = "POST";
        request.body = body;
        request.remaining = Duration(20'000'000);
        return run(router->route(request, std::make_shared<transport::Cancellation>(), isQuery));
    }

    template <typename Value>
    auto run(transport::Task<Value> task) -> Value
    {
        auto result = std::optional<Value>();
        boost::asio::co_spawn(io, std::move(task), [&](std::exception_ptr error, Value value) {
            if (error)
                std::rethrow_exception(error);
            result = std::move(value);
        });
        while (!result)
            io.run_one();
        return std::move(*result);
    }

private:
    auto addNode(const NodeId &id, std::shared_ptr<const membership::MembershipView> view,
                 config::ConfigurationPtr configuration) -> void
    {
        auto settings = KeyedServiceSettings();
        settings.own = {id, 5};
        settings.domain = "centre";
        settings.tickInterval = Duration(2'000);
        settings.keeper.batchWindow = Duration(5'000);
        settings.keeper.storeBackoff = Duration(5'000);
        settings.keeper.planInterval = Duration(5'000);
        settings.reachability = {Duration(20'000), Duration(4'000)};
        m_peers[id] = std::make_unique<FakePeers>(FakePeers{id, handlers});
        services[id] = std::make_unique<Service>(
                io, settings, store, *m_peers[id],
                [this](transport::CallRequest,
                       transport::CancellationPtr) -> transport::Task<transport::CallAnswer> {
                    ++dispatches;
                    co_return nextAnswer;
                },
                id.size());
        auto *service = services[id].get();
        service->setMembers(std::move(view));
        service->setConfiguration(std::move(configuration));
        service->start();
        handlers[id].call = [service](auto request, auto cancellation) {
            return service->handle(std::move(request), std::move(cancellation));
        };
        handlers[id].request = [service](auto from, auto payload) {
            return service->handleRequest(std::move(from), std::move(payload));
        };
    }

    std::map<NodeId, std::unique_ptr<FakePeers>> m_peers;
    std::unique_ptr<FakePeers> m_entryPeers;
};

} // namespace stairspur::keyed::test
