#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Http.h"

namespace review {

inline auto toBase64(const std::string &text) -> std::string
{
    static constexpr auto Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto result = std::string();
    for (auto at = std::size_t{0}; at < text.size(); at += 3) {
        const auto byte = [&](std::size_t n) {
            return at + n < text.size() ? static_cast<unsigned char>(text[at + n]) : 0U;
        };
        const auto bits = byte(0) << 16U | byte(1) << 8U | byte(2);
        for (auto n = 0U; n < 4; ++n)
            result += at + n > text.size() ? '=' : Digits[bits >> (18 - 6 * n) & 63U];
    }
    return result;
}

/// The platform's metadata store as PROTOCOL.md describes it, in memory, always up and complete.
class Store
{
public:
    Store()
        : m_server("127.0.0.1", 0,
                   [this](Connection &, const Message &request) { return answer(request); })
    {
        std::thread([this] { endLeases(); }).detach();
    }

    auto address() const -> const Address & { return m_server.address(); }

    /// A write of the operator.
    auto put(const std::string &key, const std::string &value) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        write(key, toBase64(value), 0, ++m_revision);
        m_changed.notify_all();
    }

private:
    using Json = nlohmann::json;

    static auto reply(const std::string &status, const Json &body) -> std::string
    {
        return response(status, "Content-Type: application/json\r\n", body.dump());
    }

    static auto parameter(const std::string &target, const std::string &name) -> std::string
    {
        auto at = target.find('?' + name + '=');
        if (at == std::string::npos)
            at = target.find('&' + name + '=');
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 2;
        const auto text = target.substr(begin, target.find('&', begin) - begin);
        auto result = std::string();
        for (auto n = std::size_t{0}; n < text.size(); ++n) {
            const auto isEscape = text[n] == '%' && n + 2 < text.size();
            result += isEscape ? static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16))
                               : text[n];
            n += isEscape ? 2 : 0;
        }
        return result;
    }

    auto answer(const Message &request) -> std::string
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        const auto body = Json::parse(request.body, nullptr, false);
        auto lock = std::unique_lock(m_mutex);
        if (path == "/v1/kv-key")
            return readKey(parameter(target, "key"));
        if (path == "/v1/kv-range")
            return readRange(parameter(target, "prefix"), parameter(target, "after"));
        if (path == "/v1/kv-watch")
            return watch(target, lock);
        if (path == "/v1/kv-txn")
            return commit(body);
        if (path == "/v1/kv-lease")
            return grant(body.at("ttl_s_time").get<double>());
        if (path.starts_with("/v1/kv-keep/"))
            return keep(std::stoll(path.substr(12)));
        if (path.starts_with("/v1/kv-lease-end/")) {
            endLease(std::stoll(path.substr(17)));
            return reply("200 OK", Json::object());
        }
        return reply("404 Not Found", Json::object());
    }

    auto readKey(const std::string &key) -> std::string
    {
        const auto it = m_items.find(key);
        if (it == m_items.end())
            return reply("404 Not Found", Json::object());
        auto item = it->second;
        item["as_of"] = m_revision;
        return reply("200 OK", item);
    }

    auto readRange(const std::string &prefix, const std::string &after) -> std::string
    {
        static constexpr auto PageSize = std::size_t{500};
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
        return reply("200 OK", {{"items", items}, {"more_pages", hasMore}, {"as_of", m_revision}});
    }

    auto watch(const std::string &target, std::unique_lock<std::mutex> &lock) -> std::string
    {
        const auto prefix = parameter(target, "prefix");
        const auto after = std::stoll(parameter(target, "after"));
        const auto wait = Milliseconds(std::stoll(parameter(target, "wait_ms")));
        auto events = Json::array();
        const auto collect = [&] {
            for (const auto &it : m_events) {
                if (it.at("revision") > after && it.at("key").get<std::string>().starts_with(prefix))
                    events.push_back(it);
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, wait, collect);
        return reply("200 OK", {{"events", events}, {"as_of", m_revision}});
    }

    auto commit(const Json &body) -> std::string
    {
        auto holds = true;
        auto present = Json::array();
        for (const auto &it : body.at("expected_revision")) {
            const auto item = m_items.find(it.at("key").get<std::string>());
            const auto revision = item == m_items.end() ? Json(0) : item->second.at("revision");
            holds = holds && revision == it.at("revision");
            if (item != m_items.end())
                present.push_back(item->second);
        }
        if (!holds)
            return reply("412 Precondition Failed", {{"items", present}});
        for (const auto &it : body.at("puts")) {
            const auto lease = it.value("lease", 0LL);
            if (lease != 0 && !m_leases.contains(lease))
                return reply("404 Not Found", Json::object());
        }
        const auto revision = ++m_revision;
        for (const auto &it : body.at("puts"))
            write(it.at("key"), it.at("value"), it.value("lease", 0LL), revision);
        for (const auto &it : body.at("deletes"))
            remove(it.get<std::string>(), revision);
        m_changed.notify_all();
        return reply("200 OK", {{"revision", revision}});
    }

    auto grant(double seconds) -> std::string
    {
        const auto lease = ++m_lastLease;
        m_leases[lease] = {seconds, endOf(seconds)};
        return reply("200 OK", {{"lease", lease}, {"ttl_s_time", seconds}});
    }

    auto keep(long long lease) -> std::string
    {
        const auto it = m_leases.find(lease);
        if (it == m_leases.end())
            return reply("404 Not Found", Json::object());
        it->second.end = endOf(it->second.seconds);
        return reply("200 OK", {{"ttl_s_time", it->second.seconds}});
    }

    auto endLease(long long lease) -> void
    {
        m_leases.erase(lease);
        auto keys = std::vector<std::string>();
        for (const auto &[key, item] : m_items) {
            if (item.at("lease") == lease)
                keys.push_back(key);
        }
        if (keys.empty())
            return;
        ++m_revision;
        for (const auto &it : keys)
            remove(it, m_revision);
        m_changed.notify_all();
    }

    auto endLeases() -> void
    {
        while (true) {
            std::this_thread::sleep_for(Milliseconds(50));
            const auto lock = std::scoped_lock(m_mutex);
            auto ended = std::vector<long long>();
            for (const auto &[lease, it] : m_leases) {
                if (it.end < Clock::now())
                    ended.push_back(lease);
            }
            for (const auto it : ended)
                endLease(it);
        }
    }

    auto write(const std::string &key, const std::string &value, long long lease, long long revision)
            -> void
    {
        const auto former = m_items.find(key);
        const auto created = former == m_items.end() ? Json(revision) : former->second.at("created");
        m_items[key] = {{"key", key},         {"value", value}, {"revision", revision},
                        {"created", created}, {"lease", lease}};
        m_events.push_back(m_items[key]);
    }

    auto remove(const std::string &key, long long revision) -> void
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({{"key", key}, {"revision", revision}, {"deleted", true}});
    }

    static auto endOf(double seconds) -> Clock::time_point
    {
        return Clock::now() + Milliseconds(static_cast<long long>(seconds * 1000));
    }

    struct Lease
    {
        double seconds = 0;
        Clock::time_point end;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Json> m_items;
    std::vector<Json> m_events;
    std::map<long long, Lease> m_leases;
    long long m_revision = 0;
    long long m_lastLease = 0;
    Server m_server;
};

} // namespace review
