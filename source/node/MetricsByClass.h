#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <stairspur/metrics/Registry.h>

namespace stairspur::node {

/// Holds one set of metrics for each service class. Belongs to one thread, so a class is looked up without a lock; only its
/// first call uses the registry. Configurations have few classes, so a linear search is enough.
template <typename Metrics>
class MetricsByClass
{
public:
    explicit MetricsByClass(metrics::Registry &registry)
        : m_registry(registry)
    {}

    /// Returns the metrics of `className`, which are created at its first call.
    auto operator[](std::string_view className) -> Metrics &
    {
        const auto it = std::ranges::find(m_classes, className, &Class::first);
        if (it != m_classes.end())
            return *it->second;
        // Other nodes send the names with their calls, so their number is limited here.
        return m_classes.size() < MaxClasses ? add(className) : other();
    }

private:
    /// Maximum number of classes: twice as many as one configuration can have, to leave room for renamed ones.
    static constexpr std::size_t MaxClasses = 64;
    static constexpr std::string_view OtherClasses = "other";

    using Class = std::pair<std::string, std::unique_ptr<Metrics>>;

    auto add(std::string_view name) -> Metrics &
    {
        auto metrics = std::make_unique<Metrics>(m_registry,
                                                 metrics::Labels{{"class", std::string(name)}});
        return *m_classes.emplace_back(name, std::move(metrics)).second;
    }

    auto other() -> Metrics &
    {
        if (!m_other)
            m_other = std::make_unique<Metrics>(
                    m_registry, metrics::Labels{{"class", std::string(OtherClasses)}});
        return *m_other;
    }

    metrics::Registry &m_registry;
    std::vector<Class> m_classes;
    std::unique_ptr<Metrics> m_other;
};

} // namespace stairspur::node
