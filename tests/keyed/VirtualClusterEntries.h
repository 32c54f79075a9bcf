#pragma once

// Member functions of VirtualCluster for callers and entries.

#include "VirtualCluster.h"

namespace stairspur::keyed::test {

template <typename Guards>
auto VirtualCluster<Guards>::begin(const std::string &key, std::uint64_t fingerprint,
                                   const NodeId &entry, Duration timeout, bool isQuery)
        -> std::uint64_t
{
    const auto id = ++m_lastAttempt;
    checker.attempts[id] = {key, fingerprint, time.now()};
    auto &attempt = m_attempts[id];
    attempt.id = id;
    attempt.entry = entry;
    attempt.deadline = time.now() + timeout;
    time.after(timeout, [this, id] { end(id, unknownAnswer(), false); });
    runOn(entry, [this, id, key, fingerprint, isQuery] {
        auto &it = m_attempts[id];
        auto &node = nodes[it.entry];
        auto call = KeyedCall{service, homeOf(key, node.callerHome, domains()), key, fingerprint};
        call.isHomeExplicit = explicitHomeOf(key, domains()).has_value();
        call.isQuery = isQuery;
        it.route = std::make_unique<KeyedRoute>(call, id, routeSettings(), node.tables);
        perform(id, it.route->start());
    });
    return id;
}

template <typename Guards>
auto VirtualCluster<Guards>::handleAtEntry(Node &entry, const Message &message) -> void
{
    if (const auto *notice = std::get_if<TableNotice>(&message.body)) {
        entry.tables.merge(notice->table);
        for (auto &[id, attempt] : m_attempts) {
            if (attempt.entry == entry.replica.node && attempt.isFetching)
                proceed(id, attempt.step, [this](auto &it) { return it.didFetch(random); });
        }
        return;
    }
    if (const auto *reply = std::get_if<Reply>(&message.body)) {
        const auto id = reply->waiter / stepsPerAttempt;
        proceed(id, reply->waiter % stepsPerAttempt,
                [&](auto &it) { return it.didReply(*reply, random); });
    }
}

template <typename Guards>
auto VirtualCluster<Guards>::perform(std::uint64_t id, const RouteAction &action) -> void
{
    auto &attempt = m_attempts[id];
    const auto step = ++attempt.step;
    attempt.isFetching = action.step == RouteStep::FetchTable;
    auto message = Message{service,
                           attempt.route->call().home,
                           action.slot,
                           nodes[attempt.entry].replica,
                           {action.target, 0},
                           TableRequest{}};
    const auto number = id * stepsPerAttempt + step;
    const auto key = attempt.route->call().key;
    switch (action.step) {
    case RouteStep::Finish:
        return end(id, action.answer, action.isReplay);
    case RouteStep::Wait:
        return time.after(action.delay, [this, id, step] {
            runOn(m_attempts[id].entry,
                  [this, id, step] { proceed(id, step, [](auto &it) { return it.didWait(); }); });
        });
    case RouteStep::FetchTable:
        message.to = {pickNode(message.domain), 0};
        break;
    case RouteStep::SendSubmit: {
        auto submit = action.submit;
        submit.waiter = number;
        if (action.notice) {
            message.body = *action.notice;
            transmit(attempt.entry, message);
        }
        message.body = submit;
        break;
    }
    case RouteStep::SendLookup:
        message.body = Lookup{number, action.submit.key, action.submit.fingerprint};
        break;
    }
    reach(Step::Resolve, key, false);
    transmit(attempt.entry, message);
    reach(Step::Resolve, key, true);
    time.after(replyTimeout, [this, id, step, isFetch = attempt.isFetching] {
        runOn(m_attempts[id].entry, [this, id, step, isFetch] {
            proceed(id, step, [&](auto &it) {
                return isFetch ? it.didFetch(random) : it.didLoseLink(random);
            });
        });
    });
}

template <typename Guards>
auto VirtualCluster<Guards>::pickNode(const std::string &domain) -> NodeId
{
    auto ids = std::vector<NodeId>();
    for (const auto &[id, node] : nodes) {
        if (node.domain == domain && node.isAlive)
            ids.push_back(id);
    }
    return ids.empty() ? NodeId("none") : ids[randomBelow(random, ids.size())];
}

template <typename Guards>
auto VirtualCluster<Guards>::end(std::uint64_t id, const RecordedAnswer &answer, bool isReplay)
        -> void
{
    auto &attempt = m_attempts[id];
    if (attempt.hasEnded)
        return;
    attempt.hasEnded = true;
    auto &seen = checker.attempts[id];
    seen.end = time.now();
    seen.answer = answer;
    seen.isReplay = isReplay;
    if (didEnd)
        didEnd(seen);
}

} // namespace stairspur::keyed::test
