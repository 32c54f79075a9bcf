#include <stairspur/config/Configuration.h>

#include <algorithm>

namespace stairspur::config {

template <typename Item>
static auto findByName(const std::vector<Item> &items, std::string_view name) -> const Item *
{
    const auto it = std::ranges::find(items, name, &Item::name);
    return it == items.end() ? nullptr : &*it;
}

auto Configuration::findService(std::string_view name) const -> const Service *
{
    return findByName(services, name);
}

auto Configuration::findClass(std::string_view name) const -> const PriorityClass *
{
    return findByName(classes, name);
}

auto Configuration::findCallerByKeyHash(std::string_view keySha256) const -> const Caller *
{
    if (keySha256.empty())
        return nullptr;
    const auto hasKey = [keySha256](const Caller &it) {
        return it.keySha256 == keySha256
               || std::ranges::find(it.furtherKeySha256, keySha256) != it.furtherKeySha256.end();
    };
    const auto it = std::ranges::find_if(callers, hasKey);
    return it == callers.end() ? nullptr : &*it;
}

auto Configuration::findDomain(std::string_view name) const -> const FailureDomain *
{
    return findByName(domains, name);
}

static auto isForRank(const Configuration &configuration, const CallPath &path, ClassRank rank)
        -> bool
{
    if (path.classes.empty())
        return true;
    return std::ranges::any_of(path.classes, [&](const auto &name) {
        const auto *it = configuration.findClass(name);
        return it && it->rank == rank;
    });
}

auto Configuration::deeperServices(std::string_view service, ClassRank rank) const
        -> std::vector<std::string>
{
    auto deeper = std::vector<std::string>();
    for (const auto &path : paths) {
        auto it = std::ranges::find(path.services, service);
        if (it == path.services.end() || !isForRank(*this, path, rank))
            continue;
        for (++it; it != path.services.end(); ++it) {
            if (std::ranges::find(deeper, *it) == deeper.end())
                deeper.push_back(*it);
        }
    }
    return deeper;
}

} // namespace stairspur::config
