#include <stairspur/config/ConfigurationIndex.h>

#include <algorithm>
#include <cassert>

namespace stairspur::config {

template <typename Map>
static auto findIn(const Map &map, std::string_view key) -> typename Map::mapped_type
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : it->second;
}

ConfigurationIndex::ConfigurationIndex(ConfigurationPtr configuration)
    : m_configuration(std::move(configuration))
{
    assert(m_configuration);
    const auto &source = m_configuration->configuration;
    for (const auto &it : source.services)
        m_services.emplace(it.name, &it);
    for (const auto &it : source.classes)
        m_classes.emplace(it.name, &it);
    for (const auto &it : source.callers)
        addCaller(it);
    for (const auto &it : source.paths)
        addPath(it);
    addRoutes();
}

auto ConfigurationIndex::addCaller(const Caller &caller) -> void
{
    m_callersByName.emplace(caller.name, &caller);
    if (!caller.keySha256.empty())
        m_callers.emplace(caller.keySha256, &caller);
    for (const auto &it : caller.furtherKeySha256)
        m_callers.emplace(it, &caller);
}

auto ConfigurationIndex::findCaller(std::string_view name) const -> const Caller *
{
    return findIn(m_callersByName, name);
}

auto ConfigurationIndex::addRoutes() -> void
{
    for (const auto &it : m_configuration->configuration.routes)
        m_routes[it.host].push_back(&it);
    const auto isLonger = [](const Route *a, const Route *b) {
        return a->pathPrefix.size() > b->pathPrefix.size();
    };
    for (auto &[host, routes] : m_routes)
        std::ranges::stable_sort(routes, isLonger);
}

auto ConfigurationIndex::findRoute(std::string_view host, std::string_view path) const
        -> const Route *
{
    const auto it = m_routes.find(host);
    if (it == m_routes.end())
        return nullptr;
    const auto matches = [path](const Route *route) { return path.starts_with(route->pathPrefix); };
    const auto found = std::ranges::find_if(it->second, matches);
    return found == it->second.end() ? nullptr : *found;
}

auto ConfigurationIndex::ranksOf(const CallPath &path) const -> std::vector<ClassRank>
{
    auto ranks = std::vector<ClassRank>();
    for (const auto &it : m_configuration->configuration.classes) {
        if (path.classes.empty() || std::ranges::find(path.classes, it.name) != path.classes.end())
            ranks.push_back(it.rank);
    }
    return ranks;
}

auto ConfigurationIndex::addPath(const CallPath &path) -> void
{
    for (const auto rank : ranksOf(path)) {
        for (auto it = path.services.begin(); it != path.services.end(); ++it) {
            auto &deeper = m_deeper[*it][rank];
            for (auto below = it + 1; below != path.services.end(); ++below) {
                if (std::ranges::find(deeper, *below) == deeper.end())
                    deeper.push_back(*below);
            }
        }
    }
}

auto ConfigurationIndex::findService(std::string_view name) const -> const Service *
{
    return findIn(m_services, name);
}

auto ConfigurationIndex::findClass(std::string_view name) const -> const PriorityClass *
{
    return findIn(m_classes, name);
}

auto ConfigurationIndex::findCallerByKeyHash(std::string_view keySha256) const -> const Caller *
{
    return findIn(m_callers, keySha256);
}

auto ConfigurationIndex::deeperServices(std::string_view service, ClassRank rank) const
        -> const std::vector<std::string> &
{
    static const auto none = std::vector<std::string>();
    const auto it = m_deeper.find(service);
    if (it == m_deeper.end() || rank > MaxClassRank)
        return none;
    return it->second[rank];
}

} // namespace stairspur::config
