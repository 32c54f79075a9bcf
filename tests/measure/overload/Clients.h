#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <stairspur/core/Random.h>

#include "Deployment.h"
#include "EventQueue.h"
#include "Messages.h"
#include "Results.h"

namespace stairspur::overload {

/// How clients behave.
struct ClientSettings
{
    std::vector<double> classShares{0.15, 0.25, 0.35, 0.25}; ///< Of the demand, by class rank.
    Duration timeout{2'000'000};                             ///< Of each try.
    std::uint32_t maxTries = 3;
    Duration minBackoff{50'000};
    Duration maxBackoff{100'000};
    bool honoursRetryAfter = false;
    bool hasHashLevels = true;
    PathKey path = NoPath; ///< Of all requests.
};

/// Clients that issue requests at a given rate and retry hard.
class Clients
{
public:
    /// Sends one try into the system; the handler gets its result where it entered.
    using Send = std::function<void(const RootRequestPtr &, ResultHandler)>;

    Clients(const ClientSettings &settings, Duration distance, EventQueue &events, Random &random,
            Results &results, Send send)
        : m_settings(settings)
        , m_distance(distance)
        , m_events(events)
        , m_random(random)
        , m_results(results)
        , m_send(std::move(send))
    {}

    /// Issues `perSecond` requests from now on, evenly but for a jitter, so that a second of them is as many as the next.
    auto setRate(double perSecond) -> void
    {
        const auto isFirst = m_rate == 0;
        m_rate = perSecond;
        if (isFirst)
            issueNext();
    }

    auto stop() -> void { m_isStopped = true; }

private:
    struct Request
    {
        ClassRank rank = 0;
        TimePoint issuedAt;
        std::uint32_t tries = 0;
    };

    using RequestPtr = std::shared_ptr<Request>;

    auto issueNext() -> void
    {
        if (m_isStopped)
            return;
        const auto gap = Duration(static_cast<Duration::rep>(1e6 / m_rate));
        const auto jitter = Duration(static_cast<Duration::rep>(
                randomBelow(m_random, static_cast<std::uint64_t>(gap.count()) + 1)));
        m_events.after(jitter, [this] { issue(); });
        m_events.after(gap, [this] { issueNext(); });
    }

    auto issue() -> void
    {
        auto request = std::make_shared<Request>(Request{drawClass(), m_events.now(), 0});
        m_results.didOffer(request->rank, request->issuedAt);
        startTry(request);
    }

    auto drawClass() -> ClassRank
    {
        auto point = randomUnit(m_random);
        for (std::size_t rank = 0; rank + 1 < m_settings.classShares.size(); ++rank) {
            point -= m_settings.classShares[rank];
            if (point < 0)
                return static_cast<ClassRank>(rank);
        }
        return static_cast<ClassRank>(m_settings.classShares.size() - 1);
    }

    /// Each try is a root request with an id of its own.
    auto startTry(const RequestPtr &request) -> void
    {
        ++request->tries;
        m_results.didTry(request->rank, request->issuedAt);
        auto root = std::make_shared<RootRequest>();
        root->rank = request->rank;
        root->level = makeLevel(request->rank, m_settings.hasHashLevels ? m_random() : 0);
        root->path = m_settings.path;
        root->issuedAt = request->issuedAt;
        root->deadline = m_events.now() + m_settings.timeout;
        m_events.at(root->deadline, [this, request, root] {
            didEnd(request, root, {Outcome::Unknown, Reason::DeadlineExceeded, Duration(0), 0});
        });
        m_events.after(m_distance, [this, request, root] {
            m_send(root, [this, request, root](const CallResult &result) {
                m_events.after(m_distance,
                               [this, request, root, result] { didEnd(request, root, result); });
            });
        });
    }

    auto didEnd(const RequestPtr &request, const RootRequestPtr &root, const CallResult &result)
            -> void
    {
        if (root->hasEnded)
            return;
        root->hasEnded = true;
        const auto isAnswered = result.outcome == Outcome::Answered;
        // Work that backend servers still do for it shows until all its calls have met their deadline.
        m_events.at(root->deadline + Duration(1'000'000),
                    [this, root, isAnswered] { m_results.didSettle(*root, isAnswered); });
        if (isAnswered) {
            m_results.didAnswer(request->rank, request->issuedAt, m_events.now());
            return;
        }
        m_results.didFail(request->rank, request->issuedAt, result.reason);
        if (request->tries >= m_settings.maxTries)
            return;
        m_events.after(backoff(result), [this, request] { startTry(request); });
    }

    auto backoff(const CallResult &result) -> Duration
    {
        const auto span = (m_settings.maxBackoff - m_settings.minBackoff).count() + 1;
        const auto extra = randomBelow(m_random, static_cast<std::uint64_t>(span));
        const auto own = m_settings.minBackoff + Duration(static_cast<Duration::rep>(extra));
        return m_settings.honoursRetryAfter ? std::max(own, result.retryAfter) : own;
    }

    ClientSettings m_settings;
    Duration m_distance;
    EventQueue &m_events;
    Random &m_random;
    Results &m_results;
    Send m_send;
    double m_rate = 0;
    bool m_isStopped = false;
};

} // namespace stairspur::overload
