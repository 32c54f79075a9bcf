#pragma once

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Hash.h>

namespace stairspur::config {

/// Lookups in one configuration in constant time. The index is built once for each configuration in force and shared
/// by the traffic threads, since Configuration itself searches linearly.
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(ConfigurationPtr configuration);

    [[nodiscard]] auto configuration() const -> const ConfigurationPtr & { return m_configuration; }

    /// Returns the indexed configuration without its version.
    [[nodiscard]] auto whole() const -> const Configuration &
    {
        return m_configuration->configuration;
    }

    [[nodiscard]] auto findService(std::string_view name) const -> const Service *;
    [[nodiscard]] auto findClass(std::string_view name) const -> const PriorityClass *;
    [[nodiscard]] auto findCaller(std::string_view name) const -> const Caller *;
    [[nodiscard]] auto findCallerByKeyHash(std::string_view keySha256) const -> const Caller *;

    /// Returns the route of `host` with the longest prefix that `path` begins with, or null when none matches.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const
            -> const Route *;

    /// Returns the precomputed result of Configuration::deeperServices(). Empty for an unknown service.
    [[nodiscard]] auto deeperServices(std::string_view service, ClassRank rank) const
            -> const std::vector<std::string> &;

private:
    struct Hasher
    {
        auto operator()(std::string_view text) const -> std::size_t { return hash64(text); }
    };

    /// The keys refer to strings of the configuration, which the index owns a share of.
    template <typename Value>
    using Map = std::unordered_map<std::string_view, Value, Hasher>;

    using DeeperByRank = std::array<std::vector<std::string>, std::size_t{MaxClassRank} + 1>;

    auto addCaller(const Caller &caller) -> void;
    auto addPath(const CallPath &path) -> void;
    auto addRoutes() -> void;
    [[nodiscard]] auto ranksOf(const CallPath &path) const -> std::vector<ClassRank>;

    ConfigurationPtr m_configuration;
    Map<const Service *> m_services;
    Map<const PriorityClass *> m_classes;
    Map<const Caller *> m_callers; ///< By the SHA-256 of each of their keys.
    Map<const Caller *> m_callersByName;
    Map<DeeperByRank> m_deeper;
    Map<std::vector<const Route *>> m_routes; ///< By host, the longest prefixes first.
};

} // namespace stairspur::config
