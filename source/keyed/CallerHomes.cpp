#include <stairspur/keyed/CallerHomes.h>

#include <algorithm>

namespace stairspur::keyed {

auto CallerHomes::adopt(const config::Configuration &configuration, WallMilliseconds now) -> bool
{
    auto domains = std::vector<std::string>();
    for (const auto &it : configuration.domains)
        domains.push_back(it.name);
    std::sort(domains.begin(), domains.end());
    auto hasChanged = !m_domains.empty() && domains != m_domains;
    if (hasChanged)
        m_domainsChangedAt = now;
    m_domains = std::move(domains);

    auto homes = std::map<std::string, std::string>();
    for (const auto &it : configuration.callers) {
        const auto former = m_homes.find(it.name);
        if (former != m_homes.end() && former->second != it.homeDomain) {
            m_changedAt[it.name] = now;
            hasChanged = true;
        }
        homes[it.name] = it.homeDomain;
    }
    // FIXME: When one configuration omits a caller and a later one has it again with another home, the change of home
    //        is not detected, and keys that the caller used earlier could run again.
    m_homes = std::move(homes);
    return hasChanged;
}

auto CallerHomes::isSettled(const std::string &caller, WallMilliseconds now,
                            const RecordSettings &settings) const -> bool
{
    const auto window = settings.keyLifetime + 2 * settings.clockMargin;
    const auto it = m_changedAt.find(caller);
    const auto changedAt = std::max(m_domainsChangedAt, it == m_changedAt.end() ? 0 : it->second);
    return now > std::max(m_startedAt, changedAt) + window;
}

auto CallerHomes::homeOfCaller(const std::string &caller) const -> std::string
{
    const auto it = m_homes.find(caller);
    return it == m_homes.end() ? std::string() : it->second;
}

} // namespace stairspur::keyed
