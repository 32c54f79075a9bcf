#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/membership/Message.h>

namespace stairspur::membership {

/// The statements of the own domain's relays about their contact with other domains. They are forwarded like updates.
class ContactStatements
{
public:
    /// Stores `statement` if it is newer than the stored one. Returns whether it was stored.
    auto merge(const ContactStatement &statement) -> bool
    {
        static constexpr auto MaxStatements = std::size_t{256};
        const auto key = Key{statement.domain, statement.relay};
        const auto it = m_entries.find(key);
        if (it == m_entries.end() && m_entries.size() >= MaxStatements)
            return false;
        if (it != m_entries.end() && it->second.statement.version >= statement.version)
            return false;
        m_entries[key] = {statement, 0, false};
        return true;
    }

    /// Returns at most `max` statements for one message. Each statement is returned `sendLimit` times in total.
    auto take(std::size_t max, std::uint32_t sendLimit) -> std::vector<ContactStatement>
    {
        auto chosen = std::vector<ContactStatement>();
        for (auto &[key, entry] : m_entries) {
            if (entry.isFullySent || chosen.size() >= max)
                continue;
            chosen.push_back(entry.statement);
            entry.isFullySent = ++entry.sendCount >= sendLimit;
        }
        return chosen;
    }

    /// Returns the latest statement of `relay` about `domain`, or null if there is none.
    [[nodiscard]] auto find(const std::string &domain, const NodeId &relay) const
            -> const ContactStatement *
    {
        const auto it = m_entries.find(Key{domain, relay});
        return it == m_entries.end() ? nullptr : &it->second.statement;
    }

    /// Returns whether at least one relay has contact with `domain`. A relay without a statement counts as having
    /// contact.
    [[nodiscard]] auto isReachable(const std::string &domain,
                                   const std::vector<NodeId> &relays) const -> bool
    {
        const auto hasContact = [&](const NodeId &relay) {
            const auto *statement = find(domain, relay);
            return statement == nullptr || statement->isReachable;
        };
        return relays.empty() || std::any_of(relays.begin(), relays.end(), hasContact);
    }

    /// Removes the statements of nodes that are no longer relays.
    auto keepOnly(const std::vector<NodeId> &relays) -> void
    {
        std::erase_if(m_entries, [&](const auto &it) {
            return std::find(relays.begin(), relays.end(), it.first.second) == relays.end();
        });
    }

private:
    using Key = std::pair<std::string, NodeId>;
    struct Entry
    {
        ContactStatement statement;
        std::uint32_t sendCount = 0;
        bool isFullySent = false;
    };

    std::map<Key, Entry> m_entries;
};

} // namespace stairspur::membership
