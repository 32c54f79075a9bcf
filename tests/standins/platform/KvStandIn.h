#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <stairspur/store/Base64.h>
#include <stairspur/transport/HttpServer.h>

namespace stairspur::standin {

/// What goes wrong at the platform's store.
enum class KvFault {
    None,
    Busy,       ///< 503: nothing is done.
    TooMany,    ///< 429: nothing is done.
    LoseAnswer, ///< The call is carried out, and its connection ends without an answer.
    Garbage,    ///< 200 with a body that is no JSON.
    RepeatPage, ///< Pages of a range begin anew instead of after the last key.
};

/// The platform's key-value store as its pages describe it, in memory, on the thread of its io_context.
class KvStandIn
{
public:
    explicit KvStandIn(boost::asio::io_context &io)
        : m_io(io)
        , m_server(io, {},
                   [this](transport::HttpRequest request, auto) {
                       return answer(std::move(request));
                   })
        , m_changed(io)
    {
        m_server.start();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_server.port(); }
    [[nodiscard]] auto calls() const -> std::uint32_t { return m_calls; }
    /// Pages that the reader allowed to be old.
    [[nodiscard]] auto staleReads() const -> std::uint32_t { return m_staleReads; }

    /// The next `n` calls fail.
    auto failNext(KvFault fault, std::uint32_t n = 1) -> void
    {
        m_fault = fault;
        m_faultsLeft = n;
    }

    /// As the operator, who needs no call.
    auto put(const std::string &key, const std::string &value) -> void
    {
        write(key, value, 0);
        wakeWatches();
    }

    /// Stores an item as it is, readable or not.
    auto putItem(const std::string &key, nlohmann::json item) -> void
    {
        ++m_revision;
        m_items[key] = item;
        m_events.push_back({key, m_revision, std::move(item)});
        wakeWatches();
    }

    auto remove(const std::string &key) -> void
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_events.push_back(
                {key, m_revision, {{"key", key}, {"revision", m_revision}, {"deleted", true}}});
        wakeWatches();
    }

    /// Forgets the history so far.
    auto compact() -> void
    {
        m_compacted = m_revision;
        m_events.clear();
        wakeWatches();
    }

    auto endLease(std::int64_t lease) -> void
    {
        m_leases.erase(lease);
        for (const auto &[key, item] : std::map(m_items)) {
            if (item.at("lease") == lease)
                remove(key);
        }
    }

    [[nodiscard]] auto items() const -> const std::map<std::string, nlohmann::json> &
    {
        return m_items;
    }
    [[nodiscard]] auto revision() const -> std::int64_t { return m_revision; }

private:
    using Json = nlohmann::json;
    using Response = transport::HttpResponse;

    /// One change, with the item that a watch returns.
    struct Event
    {
        std::string key;
        std::int64_t revision = 0;
        Json item;
    };

    static constexpr auto PageSize = std::size_t{3}; ///< Small, so that tests meet several pages.

    static auto reply(std::uint32_t status, const Json &body) -> Response
    {
        auto response = Response();
        response.status = status;
        response.headers.set("Content-Type", "application/json");
        response.body = body.dump();
        return response;
    }

    static auto parameter(const std::string &target, const std::string &name) -> std::string
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 1;
        return unescape(target.substr(begin, target.find('&', begin) - begin));
    }

    /// Percent encoding (RFC 3986, section 2.1).
    static auto unescape(const std::string &text) -> std::string
    {
        auto result = std::string();
        for (auto n = std::size_t{0}; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                result.push_back(static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16)));
                n += 2;
            } else {
                result.push_back(text[n]);
            }
        }
        return result;
    }

    auto answer(transport::HttpRequest request) -> transport::Task<Response>
    {
        ++m_calls;
        const auto fault = m_faultsLeft > 0 ? m_fault : KvFault::None;
        m_faultsLeft -= m_faultsLeft > 0 ? 1 : 0;
        if (fault == KvFault::Busy)
            co_return reply(503, {{"error", "busy"}});
        if (fault == KvFault::TooMany)
            co_return reply(429, {{"error", "rate"}});
        if (fault == KvFault::Garbage) {
            auto response = Response();
            response.body = "<html>";
            co_return response;
        }
        auto response = co_await carryOut(request, fault);
        if (fault == KvFault::LoseAnswer) {
            auto never = boost::asio::steady_timer(m_io, std::chrono::hours(1));
            co_await never.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return response;
    }

    auto carryOut(const transport::HttpRequest &request, KvFault fault) -> transport::Task<Response>
    {
        const auto path = request.target.substr(0, request.target.find('?'));
        const auto body = Json::parse(request.body, nullptr, false);
        if (path == "/v1/kv-key")
            co_return readKey(parameter(request.target, "key"));
        if (path == "/v1/kv-range" && parameter(request.target, "allow_stale") == "1")
            ++m_staleReads;
        if (path == "/v1/kv-range")
            co_return readRange(parameter(request.target, "prefix"),
                                fault == KvFault::RepeatPage ? ""
                                                             : parameter(request.target, "after"));
        if (path == "/v1/kv-watch")
            co_return co_await watch(request.target);
        if (path == "/v1/kv-txn")
            co_return commit(body);
        if (path == "/v1/kv-lease")
            co_return grant(body);
        if (path.starts_with("/v1/kv-keep/"))
            co_return keep(std::stoll(path.substr(std::string("/v1/kv-keep/").size())));
        if (path.starts_with("/v1/kv-lease-end/")) {
            endLease(std::stoll(path.substr(std::string("/v1/kv-lease-end/").size())));
            co_return reply(200, Json::object());
        }
        co_return reply(404, {{"error", "no such call"}});
    }

    auto readKey(const std::string &key) -> Response
    {
        const auto it = m_items.find(key);
        if (it == m_items.end())
            return reply(404, {{"error", "no such key"}});
        auto item = it->second;
        item["as_of"] = m_revision;
        return reply(200, item);
    }

    auto readRange(const std::string &prefix, const std::string &after) -> Response
    {
        auto items = Json::array();
        auto hasMore = false;
        for (const auto &[key, item] : m_items) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            hasMore = items.size() == PageSize;
            if (hasMore)
                break;
            items.push_back(item);
        }
        return reply(200, {{"items", items}, {"more_pages", hasMore}, {"as_of", m_revision}});
    }

    auto watch(const std::string &target) -> transport::Task<Response>
    {
        const auto prefix = parameter(target, "prefix");
        const auto after = std::stoll(parameter(target, "after"));
        const auto wait = std::chrono::milliseconds(std::stoll(parameter(target, "wait_ms")));
        const auto deadline = std::chrono::steady_clock::now() + wait;
        while (true) {
            if (after < m_compacted)
                co_return reply(410, {{"error", "the history is gone"}});
            auto events = eventsAfter(prefix, after);
            const auto isLate = std::chrono::steady_clock::now() >= deadline;
            if (!events.empty() || isLate)
                co_return reply(200, {{"events", events}, {"as_of", m_revision}});
            m_changed.expires_at(deadline);
            co_await m_changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
    }

    auto eventsAfter(const std::string &prefix, std::int64_t after) -> Json
    {
        auto events = Json::array();
        for (const auto &it : m_events) {
            if (it.revision > after && it.key.starts_with(prefix))
                events.push_back(it.item);
        }
        return events;
    }

    auto commit(const Json &body) -> Response
    {
        auto failed = Json::array();
        for (const auto &it : body.at("expected_revision")) {
            const auto found = m_items.find(it.at("key"));
            const auto revision = found == m_items.end() ? Json(0) : found->second.at("revision");
            if (revision != it.at("revision"))
                failed.push_back(it);
        }
        if (!failed.empty())
            return reply(412, {{"items", failed}});
        for (const auto &it : body.at("puts")) {
            const auto lease = it.value("lease", std::int64_t{0});
            if (lease != 0 && !m_leases.contains(lease))
                return reply(404, {{"error", "no such lease"}});
        }
        for (const auto &it : body.at("puts"))
            write(it.at("key"), store::fromBase64(it.at("value").get<std::string>()),
                  it.value("lease", std::int64_t{0}));
        for (const auto &it : body.at("deletes"))
            remove(it);
        wakeWatches();
        return reply(200, {{"revision", m_revision}});
    }

    auto write(const std::string &key, const std::string &value, std::int64_t lease) -> void
    {
        const auto known = m_items.find(key);
        ++m_revision;
        const auto isNew = known == m_items.end() || !known->second.is_object();
        const auto created = isNew ? m_revision : known->second.value("created", m_revision);
        m_items[key] = {{"key", key},
                        {"value", store::toBase64(value)},
                        {"revision", m_revision},
                        {"created", created},
                        {"lease", lease}};
        m_events.push_back({key, m_revision, m_items[key]});
    }

    auto grant(const Json &body) -> Response
    {
        const auto lease = ++m_lastLease;
        m_leases[lease] = body.at("ttl_s_time").get<double>();
        return reply(200, {{"lease", lease}, {"ttl_s_time", m_leases[lease]}});
    }

    auto keep(std::int64_t lease) -> Response
    {
        const auto it = m_leases.find(lease);
        if (it == m_leases.end())
            return reply(404, {{"error", "the lease has ended"}});
        return reply(200, {{"ttl_s_time", it->second}});
    }

    auto wakeWatches() -> void { m_changed.cancel(); }

    boost::asio::io_context &m_io;
    transport::HttpServer m_server;
    boost::asio::steady_timer m_changed;
    std::map<std::string, Json> m_items;
    std::vector<Event> m_events;
    std::map<std::int64_t, double> m_leases;
    std::uint32_t m_staleReads = 0;
    std::int64_t m_revision = 100;
    std::int64_t m_compacted = 0;
    std::int64_t m_lastLease = 0;
    std::uint32_t m_calls = 0;
    KvFault m_fault = KvFault::None;
    std::uint32_t m_faultsLeft = 0;
};

} // namespace stairspur::standin
