#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/retry/RetryPolicy.h>
#include <stairspur/retry/RetryTokenBucket.h>
#include <stairspur/routing/UpstreamPool.h>

#include "Deployment.h"
#include "EventQueue.h"
#include "Messages.h"
#include "Policy.h"

namespace stairspur::overload {

/// The entry of one host for one service: places calls by the pool, and sends them again as the retry policy decides.
template <typename Host>
class Entry
{
public:
    struct Settings
    {
        std::string service;
        NodeId ownNode;
        std::string ownDomain;
        PolicyTraits traits;
        bool hasDeeperCalls = false; ///< The service calls others.
        bool isRoot = false; ///< Takes calls from clients; else from the host's backend server.
    };

    /// A call under way.
    struct Call
    {
        RootRequestPtr root;
        retry::CallBudget budget;
        ResultHandler done;
        std::vector<NodeId> excluded;
        std::uint32_t elsewhereTries = 0;
        std::uint32_t plainRetries = 0;
        CallId attempt = 0;
        Host *host = nullptr; ///< Where the attempt is; none between attempts.
        bool hasEnded = false;
    };

    using CallPtr = std::shared_ptr<Call>;

    Entry(const Settings &settings, const std::vector<std::unique_ptr<Host>> &hosts,
          const std::vector<routing::Upstream> &upstreams, EventQueue &events, Random &random)
        : m_settings(settings)
        , m_events(events)
        , m_random(random)
        , m_pool(settings.service, routingSettings(settings))
        , m_bucket(RetrySuccessShare, RetryBucketSize)
    {
        for (const auto &it : upstreams)
            m_hosts.emplace(it.node, nullptr);
        for (const auto &it : hosts) {
            if (const auto known = m_hosts.find(it->node()); known != m_hosts.end())
                known->second = it.get();
        }
        m_pool.setUpstreams(upstreams, events.now());
    }

    /// Places a call. `done` is called once, unless the call is abandoned before.
    auto place(RootRequestPtr root, const retry::CallBudget &budget, ResultHandler done) -> CallPtr
    {
        auto call = std::make_shared<Call>(Call{std::move(root), budget, std::move(done), {}});
        attempt(call);
        return call;
    }

    /// Whoever made the call no longer waits for it.
    auto abandon(Call &call) -> void
    {
        call.hasEnded = true;
        if (call.host == nullptr)
            return;
        auto result = routing::AttemptResult();
        result.node = call.host->node();
        result.outcome = Outcome::Unknown;
        result.reason = Reason::Cancelled;
        m_pool.didEnd(result, m_events.now(), m_random);
        call.host->abandon(call.attempt);
        call.host = nullptr;
    }

    [[nodiscard]] auto floorFor(FloorKey key) const -> Level
    {
        return m_pool.floorFor(key, m_events.now());
    }

private:
    static constexpr auto RetrySuccessShare = 0.1;
    static constexpr auto RetryBucketSize = 10.0;

    static auto routingSettings(const Settings &settings) -> routing::RoutingSettings
    {
        auto result = routing::RoutingSettings();
        result.ownNode = settings.ownNode;
        result.ownDomain = settings.ownDomain;
        return result;
    }

    static auto nextId() -> CallId
    {
        static auto next = CallId{0};
        return ++next;
    }

    /// Where floors are told by path, they bind a request only until it runs.
    [[nodiscard]] auto isDeeperCall(const RootRequest &root) const -> bool
    {
        return root.path != NoPath && !m_settings.isRoot;
    }

    auto attempt(const CallPtr &call) -> void
    {
        const auto now = m_events.now();
        const auto request = routing::RouteRequest{.level = call->root->level,
                                                   .deadline = call->root->deadline,
                                                   .excluded = call->excluded,
                                                   .mayProbe = m_settings.isRoot,
                                                   .path = call->root->path,
                                                   .isDeeperCall = isDeeperCall(*call->root)};
        const auto decision = m_pool.choose(request, now, m_random);
        if (!decision.node) {
            finish(call, {Outcome::NotRun, decision.refusal, decision.retryAfter, 0});
            return;
        }
        auto *host = m_hosts.at(*decision.node);
        const auto id = nextId();
        call->attempt = id;
        call->host = host;
        const auto budget = call->budget.startAttempt(m_settings.hasDeeperCalls);
        m_pool.didSend(host->node(), now);
        m_events.after(distanceTo(*host), [this, call, host, id, budget, now] {
            if (call->attempt == id && call->host != nullptr)
                send(call, *host, {id, call->root, budget, isDeeperCall(*call->root)}, now);
        });
        if (m_settings.traits.attemptTimeout > Duration(0))
            m_events.after(m_settings.traits.attemptTimeout,
                           [this, call, id, now] { didTimeOut(call, id, now); });
    }

    auto send(const CallPtr &call, Host &host, const AttemptRequest &request, TimePoint sentAt)
            -> void
    {
        host.receive(request, [this, call, &host, id = request.id, sentAt](const auto &answer) {
            m_events.after(distanceTo(host), [this, call, id, sentAt, answer] {
                if (call->attempt == id && call->host != nullptr)
                    didAnswer(call, answer, sentAt);
            });
        });
    }

    auto didTimeOut(const CallPtr &call, CallId id, TimePoint sentAt) -> void
    {
        if (call->attempt != id || call->host == nullptr)
            return;
        call->host->abandon(id);
        auto answer = AttemptAnswer();
        answer.wasDispatched = true;
        didAnswer(call, answer, sentAt);
    }

    auto didAnswer(const CallPtr &call, const AttemptAnswer &answer, TimePoint sentAt) -> void
    {
        const auto now = m_events.now();
        const auto node = call->host->node();
        call->host = nullptr;
        auto result = routing::AttemptResult{
                node,         answer.outcome,    answer.reason,   now - sentAt,
                std::nullopt, call->root->level, call->root->path};
        if (answer.report.sequence > 0)
            result.report = answer.report;
        m_pool.didEnd(result, now, m_random);
        call->budget.didReceiveAnswer(answer.unspent);
        if (answer.outcome == Outcome::Answered) {
            m_bucket.didSucceed();
            finish(call, {Outcome::Answered, Reason::None, Duration(0), 0});
            return;
        }
        if (shouldSendAgain(*call, answer)) {
            call->excluded.push_back(node);
            attempt(call);
            return;
        }
        finish(call, {answer.outcome, answer.reason, answer.retryAfter, 0});
    }

    auto shouldSendAgain(Call &call, const AttemptAnswer &answer) -> bool
    {
        const auto &traits = m_settings.traits;
        const auto remaining = call.root->deadline - m_events.now();
        if (!traits.hasRetryBudget) {
            call.excluded.clear();
            return remaining > Duration(0) && call.plainRetries++ < traits.retriesPerHop;
        }
        auto end = retry::EndedAttempt{
                answer.outcome, answer.reason,           answer.wasDispatched,
                true,           call.budget.remaining(), m_bucket.tokens() >= 1.0,
                remaining,      m_pool.expectedLatency()};
        switch (retry::decideRetry(end)) {
        case retry::RetryDecision::Elsewhere:
            return call.elsewhereTries++ < retry::MaxElsewhereTries;
        case retry::RetryDecision::Retry:
            return m_bucket.tryTake() && call.budget.trySpend();
        case retry::RetryDecision::GiveUp:
            break;
        }
        return false;
    }

    auto finish(const CallPtr &call, CallResult result) -> void
    {
        call->hasEnded = true;
        result.unspent = call->budget.remaining();
        const auto done = std::move(call->done);
        done(result);
    }

    [[nodiscard]] auto distanceTo(const Host &host) const -> Duration
    {
        if (host.node() == m_settings.ownNode)
            return SameHostDistance;
        return host.domain() == m_settings.ownDomain ? SameDomainDistance : OtherDomainDistance;
    }

    Settings m_settings;
    EventQueue &m_events;
    Random &m_random;
    routing::UpstreamPool m_pool;
    retry::RetryTokenBucket m_bucket;
    std::unordered_map<NodeId, Host *> m_hosts;
};

} // namespace stairspur::overload
