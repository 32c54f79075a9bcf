#pragma once

#include <map>
#include <string>

#include <stairspur/config/Configuration.h>
#include <stairspur/keyed/RecordTable.h>

namespace stairspur::keyed {

/// Notices when a configuration gives a caller's keys another home than the one before did.
class CallerHomes
{
public:
    explicit CallerHomes(WallMilliseconds startedAt)
        : m_startedAt(startedAt)
    {}

    /// Whether some known caller's home changed against the configuration before.
    auto adopt(const config::Configuration &configuration, WallMilliseconds now) -> bool;

    /// Whether keys of `caller` have had their present home for longer than they live. A node that started later than
    /// that can't tell, and says no.
    [[nodiscard]] auto isSettled(const std::string &caller, WallMilliseconds now,
                                 const RecordSettings &settings) const -> bool;

    /// The home that the caller's keys have by themselves; empty: chosen by hash.
    [[nodiscard]] auto homeOfCaller(const std::string &caller) const -> std::string;
    [[nodiscard]] auto domains() const -> const std::vector<std::string> & { return m_domains; }

private:
    WallMilliseconds m_startedAt;
    std::vector<std::string> m_domains;
    std::map<std::string, std::string> m_homes; ///< By caller.
    std::map<std::string, WallMilliseconds> m_changedAt;
    WallMilliseconds m_domainsChangedAt = 0;
};

} // namespace stairspur::keyed
