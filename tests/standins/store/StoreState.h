#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/core/Time.h>

#include "Base64.h"
#include "StoreRecords.h"

namespace stairspur::standin {

/// The keys, leases and history of the store stand-in, with the revisions that etcd has. No I/O and no clock: requests
/// come as the gateway's JSON, with the time.
class StoreState
{
public:
    /// The largest value that the platform's service holds.
    static constexpr auto MaxValueBytes = std::size_t{1'000'000};
    /// Events kept for watches that start in the past; older ones count as compacted.
    static constexpr auto MaxHistory = std::size_t{50'000};

    /// Carries out one unary request: `range`, `put`, `deleterange`, `txn`, `lease/grant`, `lease/keepalive`,
    /// `lease/revoke`. Throws StoreError.
    auto handle(std::string_view kind, const Json &body, TimePoint now) -> Json
    {
        expireLeases(now);
        try {
            if (kind == "lease/grant")
                return grant(body, now);
            if (kind == "lease/keepalive")
                return keepAlive(body, now);
            if (kind == "lease/revoke")
                return revoke(body);
            return handleKeys(kind, body);
        } catch (const std::invalid_argument &error) {
            throw StoreError(400, InvalidArgument, error.what());
        } catch (const Json::exception &error) {
            throw StoreError(400, InvalidArgument, error.what());
        }
    }

    /// Deletes the keys of leases whose time is up.
    auto expireLeases(TimePoint now) -> void
    {
        auto expired = std::vector<std::int64_t>();
        for (const auto &[id, lease] : m_leases) {
            if (lease.expiry <= now)
                expired.push_back(id);
        }
        for (const auto id : expired)
            endLease(id);
    }

    /// Ends every lease at once, as when their holders were paused for too long.
    auto lapseLeases() -> void
    {
        while (!m_leases.empty())
            endLease(m_leases.begin()->first);
    }

    [[nodiscard]] auto revision() const -> std::int64_t { return m_revision; }

    /// One message of a watch: the events on [key, rangeEnd) from `fromRevision` on, or null when there are none yet.
    /// Throws StoreError when that revision has been compacted.
    [[nodiscard]] auto eventsFrom(const std::string &key, const std::string &rangeEnd,
                                  std::int64_t fromRevision) const -> Json
    {
        if (fromRevision <= m_compactedRevision)
            throw StoreError(400, OutOfRange,
                             "etcdserver: mvcc: required revision has been compacted");
        auto events = Json::array();
        for (const auto &it : m_history) {
            if (it.pair.modRevision >= fromRevision && isWithin(it.pair.key, key, rangeEnd))
                events.push_back(eventJson(it));
        }
        if (events.empty())
            return nullptr;
        return {{"header", header()}, {"events", events}};
    }

    [[nodiscard]] auto header() const -> Json
    {
        return {{"cluster_id", "1"},
                {"member_id", "1"},
                {"revision", std::to_string(m_revision)},
                {"raft_term", "1"}};
    }

    [[nodiscard]] auto compactedRevision() const -> std::int64_t { return m_compactedRevision; }

    static auto isWithin(const std::string &key, const std::string &first, const std::string &end)
            -> bool
    {
        if (end.empty())
            return key == first;
        return key >= first && (end == std::string(1, '\0') || key < end);
    }

private:
    auto handleKeys(std::string_view kind, const Json &body) -> Json
    {
        if (kind == "range")
            return range(body);
        if (kind == "txn")
            return transact(body);
        const auto next = m_revision + 1;
        if (kind == "put")
            return put(body, next);
        if (kind == "deleterange")
            return erase(body, next);
        throw StoreError(404, NotFound, "Not Found");
    }

    [[nodiscard]] auto range(const Json &body) const -> Json
    {
        const auto first = bytes(field(body, "key"));
        const auto end = bytes(field(body, "range_end", "rangeEnd"));
        const auto limit = number(field(body, "limit"));
        const auto keysOnly = field(body, "keys_only", "keysOnly");
        auto pairs = Json::array();
        auto count = std::int64_t{0};
        for (auto it = m_pairs.lower_bound(first); it != m_pairs.end(); ++it) {
            if (!isWithin(it->first, first, end))
                break;
            if (limit == 0 || count < limit)
                pairs.push_back(pairJson(it->second));
            ++count;
        }
        if (keysOnly.is_boolean() && keysOnly.get<bool>()) {
            for (auto &it : pairs)
                it.erase("value");
        }
        auto answer = Json{{"header", header()}};
        if (count == 0)
            return answer;
        answer["kvs"] = pairs;
        answer["count"] = std::to_string(count);
        if (limit != 0 && count > limit)
            answer["more"] = true;
        return answer;
    }

    auto put(const Json &body, std::int64_t revision) -> Json
    {
        auto key = bytes(field(body, "key"));
        auto value = bytes(field(body, "value"));
        const auto lease = number(field(body, "lease"));
        checkPut(key, value, lease);
        auto &pair = m_pairs[key];
        pair.key = key;
        pair.value = std::move(value);
        pair.createRevision = pair.version == 0 ? revision : pair.createRevision;
        pair.modRevision = revision;
        pair.version += 1;
        pair.lease = lease;
        didChange({false, pair}, revision);
        return {{"header", header()}};
    }

    auto checkPut(const std::string &key, const std::string &value, std::int64_t lease) const
            -> void
    {
        if (key.empty())
            throw StoreError(400, InvalidArgument, "etcdserver: key is not provided");
        if (value.size() > MaxValueBytes)
            throw StoreError(400, InvalidArgument, "etcdserver: request is too large");
        if (lease != 0 && !m_leases.contains(lease))
            throw StoreError(404, NotFound, "etcdserver: requested lease not found");
    }

    auto erase(const Json &body, std::int64_t revision) -> Json
    {
        const auto first = bytes(field(body, "key"));
        const auto end = bytes(field(body, "range_end", "rangeEnd"));
        auto doomed = std::vector<std::string>();
        for (auto it = m_pairs.lower_bound(first);
             it != m_pairs.end() && isWithin(it->first, first, end); ++it)
            doomed.push_back(it->first);
        for (const auto &it : doomed)
            eraseKey(it, revision);
        return {{"header", header()}, {"deleted", std::to_string(doomed.size())}};
    }

    auto eraseKey(const std::string &key, std::int64_t revision) -> void
    {
        m_pairs.erase(key);
        auto event = Event{true, {}};
        event.pair.key = key;
        event.pair.modRevision = revision;
        didChange(std::move(event), revision);
    }

    auto didChange(Event event, std::int64_t revision) -> void
    {
        m_revision = revision;
        m_history.push_back(std::move(event));
        while (m_history.size() > MaxHistory) {
            m_compactedRevision = m_history.front().pair.modRevision;
            m_history.pop_front();
        }
    }

    /// A transaction is checked as a whole before any of it is applied, and all of it has one revision.
    auto transact(const Json &body) -> Json
    {
        auto succeeded = true;
        for (const auto &it : body.value("compare", Json::array()))
            succeeded = succeeded && holds(it);
        const auto operations = body.value(succeeded ? "success" : "failure", Json::array());
        checkOperations(operations);
        const auto revision = m_revision + 1;
        auto responses = Json::array();
        for (const auto &it : operations)
            responses.push_back(carryOut(it, revision));
        auto answer = Json{{"header", header()}};
        if (succeeded)
            answer["succeeded"] = true;
        if (!responses.empty())
            answer["responses"] = responses;
        return answer;
    }

    auto checkOperations(const Json &operations) const -> void
    {
        auto keys = std::set<std::string>();
        for (const auto &it : operations) {
            const auto request = field(it, "request_put", "requestPut");
            if (request.is_null())
                continue;
            auto key = bytes(field(request, "key"));
            checkPut(key, bytes(field(request, "value")), number(field(request, "lease")));
            if (!keys.insert(std::move(key)).second)
                throw StoreError(400, InvalidArgument,
                                 "etcdserver: duplicate key given in txn request");
        }
    }

    auto carryOut(const Json &operation, std::int64_t revision) -> Json
    {
        if (const auto it = field(operation, "request_put", "requestPut"); !it.is_null())
            return {{"response_put", put(it, revision)}};
        if (const auto it = field(operation, "request_delete_range", "requestDeleteRange");
            !it.is_null())
            return {{"response_delete_range", erase(it, revision)}};
        if (const auto it = field(operation, "request_range", "requestRange"); !it.is_null())
            return {{"response_range", range(it)}};
        throw StoreError(400, InvalidArgument, "etcdserver: unknown request in txn");
    }

    [[nodiscard]] auto holds(const Json &compare) const -> bool
    {
        const auto found = m_pairs.find(bytes(field(compare, "key")));
        const auto pair = found == m_pairs.end() ? Pair{} : found->second;
        const auto result = compare.value("result", std::string("EQUAL"));
        const auto target = compare.value("target", std::string("VERSION"));
        if (target == "VALUE")
            return found != m_pairs.end()
                   && isOrdered(pair.value.compare(bytes(field(compare, "value"))), result);
        const auto actual = target == "CREATE"  ? pair.createRevision
                            : target == "MOD"   ? pair.modRevision
                            : target == "LEASE" ? pair.lease
                                                : pair.version;
        const auto wanted = target == "CREATE" ? field(compare, "create_revision", "createRevision")
                            : target == "MOD"  ? field(compare, "mod_revision", "modRevision")
                            : target == "LEASE" ? field(compare, "lease")
                                                : field(compare, "version");
        const auto expected = number(wanted);
        return isOrdered(actual < expected ? -1 : actual > expected ? 1 : 0, result);
    }

    static auto isOrdered(int order, const std::string &result) -> bool
    {
        if (result == "EQUAL")
            return order == 0;
        if (result == "NOT_EQUAL")
            return order != 0;
        if (result == "GREATER")
            return order > 0;
        if (result == "LESS")
            return order < 0;
        throw StoreError(400, InvalidArgument, "unknown compare result");
    }

    auto grant(const Json &body, TimePoint now) -> Json
    {
        const auto seconds = std::max<std::int64_t>(1, number(field(body, "TTL", "ttl")));
        auto id = number(field(body, "ID", "id"));
        if (id == 0)
            id = ++m_lastLease;
        m_leases[id] = {seconds, now + std::chrono::seconds(seconds)};
        return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
    }

    /// A stream in the gateway, hence the `result`; an unknown lease has no TTL.
    auto keepAlive(const Json &body, TimePoint now) -> Json
    {
        const auto id = number(field(body, "ID", "id"));
        auto result = Json{{"header", header()}, {"ID", std::to_string(id)}};
        const auto it = m_leases.find(id);
        if (it != m_leases.end()) {
            it->second.expiry = now + std::chrono::seconds(it->second.seconds);
            result["TTL"] = std::to_string(it->second.seconds);
        }
        return {{"result", result}};
    }

    auto revoke(const Json &body) -> Json
    {
        const auto id = number(field(body, "ID", "id"));
        if (!m_leases.contains(id))
            throw StoreError(404, NotFound, "etcdserver: requested lease not found");
        endLease(id);
        return {{"header", header()}};
    }

    auto endLease(std::int64_t id) -> void
    {
        m_leases.erase(id);
        auto doomed = std::vector<std::string>();
        for (const auto &[key, pair] : m_pairs) {
            if (pair.lease == id)
                doomed.push_back(key);
        }
        const auto revision = m_revision + 1;
        for (const auto &it : doomed)
            eraseKey(it, revision);
    }

    std::map<std::string, Pair> m_pairs;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_lastLease = 1000;
};

} // namespace stairspur::standin
