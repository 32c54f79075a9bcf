#pragma once

#include <map>
#include <string>

#include <stairspur/config/Configuration.h>
#include <stairspur/keyed/RecordTable.h>

namespace stairspur::keyed {

/// Keeps the home failure domain of each caller's keys as the current configuration gives it, and when it last
/// changed.
class CallerHomes
{
public:
    explicit CallerHomes(WallMilliseconds startedAt)
        : m_startedAt(startedAt)
    {}

    /// Replaces the homes and domains by those of `configuration`. Returns whether the set of domains, or the home of
    /// a caller that the previous configuration has too, differs from the previous configuration. Returns false for
    /// the first configuration.
    auto adopt(const config::Configuration &configuration, WallMilliseconds now) -> bool;

    /// Returns whether the home of `caller` has been the same for longer than the lifetime of a key and the clock
    /// margins. Returns false until this node has run for that long, since it has not recorded earlier changes.
    [[nodiscard]] auto isSettled(const std::string &caller, WallMilliseconds now,
                                 const RecordSettings &settings) const -> bool;

    /// Returns the configured home of keys of `caller`; empty when it is chosen by hash.
    [[nodiscard]] auto homeOfCaller(const std::string &caller) const -> std::string;
    /// Returns the names of the configured failure domains, sorted.
    [[nodiscard]] auto domains() const -> const std::vector<std::string> & { return m_domains; }

private:
    WallMilliseconds m_startedAt;
    std::vector<std::string> m_domains;
    std::map<std::string, std::string> m_homes;          ///< By caller.
    std::map<std::string, WallMilliseconds> m_changedAt; ///< By caller.
    WallMilliseconds m_domainsChangedAt = 0;
};

} // namespace stairspur::keyed
