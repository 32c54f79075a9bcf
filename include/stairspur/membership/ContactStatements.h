#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/membership/Message.h>

namespace stairspur::membership {

/// What the own domain's relays say of their contact with other domains, passed on like updates.
class ContactStatements
{
public:
    /// Takes a newer statement in; tells whether it was one.
    auto merge(const ContactStatement &statement) -> bool
    {
        static constexpr auto MaxStatements = std::size_t{256};
        const auto key = Key{statement.domain, statement.relay};
        const auto it = m_held.find(key);
        if (it == m_held.end() && m_held.size() >= MaxStatements)
            return false;
        if (it != m_held.end() && it->second.statement.version >= statement.version)
            return false;
        m_held[key] = {statement, 0, false};
        return true;
    }

    /// Statements for one message; each is taken `sendLimit` times.
    auto take(std::size_t max, std::uint32_t sendLimit) -> std::vector<ContactStatement>
    {
        auto chosen = std::vector<ContactStatement>();
        for (auto &[key, held] : m_held) {
            if (held.isSpread || chosen.size() >= max)
                continue;
            chosen.push_back(held.statement);
            held.isSpread = ++held.sends >= sendLimit;
        }
        return chosen;
    }

    /// What `relay` last said of `domain`; null when it said nothing.
    [[nodiscard]] auto find(const std::string &domain, const NodeId &relay) const
            -> const ContactStatement *
    {
        const auto it = m_held.find(Key{domain, relay});
        return it == m_held.end() ? nullptr : &it->second.statement;
    }

    /// Whether some relay has not lost its contact. A relay that has said nothing has not.
    [[nodiscard]] auto isReachable(const std::string &domain,
                                   const std::vector<NodeId> &relays) const -> bool
    {
        const auto hasContact = [&](const NodeId &relay) {
            const auto *statement = find(domain, relay);
            return statement == nullptr || statement->isReachable;
        };
        return relays.empty() || std::any_of(relays.begin(), relays.end(), hasContact);
    }

    /// Drops what nodes said that are no relays any more.
    auto keepOnly(const std::vector<NodeId> &relays) -> void
    {
        std::erase_if(m_held, [&](const auto &it) {
            return std::find(relays.begin(), relays.end(), it.first.second) == relays.end();
        });
    }

private:
    using Key = std::pair<std::string, NodeId>;
    struct Held
    {
        ContactStatement statement;
        std::uint32_t sends = 0;
        bool isSpread = false;
    };

    std::map<Key, Held> m_held;
};

} // namespace stairspur::membership
