#include <stairspur/config/ConfigurationAssembler.h>

#include <stairspur/core/Cbor.h>

#include "SectionCodec.h"
#include "SectionNames.h"

namespace stairspur::config {

static auto makeError(std::string_view section, std::string_view problem) -> SectionError
{
    return {std::string("section ").append(section).append(" ").append(problem),
            "pull the sections again, or apply the file again with this version"};
}

/// Reads one section. Throws SectionError with the section's name when it can't be read.
template <typename Value>
static auto readSection(std::string_view section, std::string_view bytes) -> Value
{
    try {
        return fromCbor(bytes).get<Value>();
    } catch (const nlohmann::json::exception &) {
        throw makeError(section, "does not have the content that its name requires");
    } catch (const InputError &) {
        throw makeError(section, "is not CBOR");
    }
}

template <typename Item>
static auto readBucket(std::string_view prefix, std::string_view section, std::string_view bytes)
        -> std::vector<Item>
{
    const auto bucket = section.substr(prefix.size());
    auto items = readSection<std::vector<Item>>(section, bytes);
    for (const auto &it : items) {
        if (bucketOf(it.name) != bucket)
            throw makeError(section, "contains an item of another section");
    }
    return items;
}

static auto readService(std::string_view section, std::string_view bytes) -> Service
{
    auto service = readSection<Service>(section, bytes);
    if (service.name != section.substr(ServicePrefix.size()))
        throw makeError(section, "contains another service");
    return service;
}

static auto readClasses(std::string_view bytes) -> std::vector<PriorityClass>
{
    const auto names = readSection<std::vector<std::string>>(ClassesSection, bytes);
    if (names.size() > std::size_t{MaxClassRank} + 1)
        throw makeError(ClassesSection, "contains too many classes");
    auto classes = std::vector<PriorityClass>();
    classes.reserve(names.size());
    for (const auto &it : names)
        classes.push_back({it, static_cast<ClassRank>(classes.size())});
    return classes;
}

auto ConfigurationAssembler::readPart(std::string_view section, std::string_view bytes) -> Part
{
    if (section == ClassesSection)
        return readClasses(bytes);
    if (section == DomainsSection)
        return readSection<std::vector<FailureDomain>>(section, bytes);
    if (section == RetrySection)
        return readSection<RetryLimits>(section, bytes);
    if (section.starts_with(ServicePrefix))
        return readService(section, bytes);
    if (section.starts_with(PathsPrefix))
        return readBucket<CallPath>(PathsPrefix, section, bytes);
    if (section.starts_with(CallersPrefix))
        return readBucket<Caller>(CallersPrefix, section, bytes);
    if (section.starts_with(RoutesPrefix))
        return readBucket<Route>(RoutesPrefix, section, bytes);
    if (section == IngressSection)
        return readSection<IngressLimits>(section, bytes);
    throw makeError(section, "is unknown");
}

auto ConfigurationAssembler::update(const Sections &changed,
                                    const std::vector<std::string> &removed) -> void
{
    auto parts = std::map<std::string, Part, std::less<>>();
    for (const auto &[section, bytes] : changed)
        parts.emplace(section, readPart(section, bytes));
    for (const auto &it : removed)
        m_parts.erase(it);
    for (auto &[section, part] : parts)
        m_parts.insert_or_assign(section, std::move(part));
}

template <typename Value>
auto ConfigurationAssembler::neededPart(std::string_view section) const -> const Value &
{
    const auto it = m_parts.find(section);
    if (it == m_parts.end())
        throw makeError(section, "is missing");
    return std::get<Value>(it->second);
}

auto ConfigurationAssembler::assemble() const -> Configuration
{
    auto result = Configuration();
    result.classes = neededPart<std::vector<PriorityClass>>(ClassesSection);
    result.domains = neededPart<std::vector<FailureDomain>>(DomainsSection);
    result.retry = neededPart<RetryLimits>(RetrySection);
    const auto append = [](auto &items, const auto &more) {
        items.insert(items.end(), more.begin(), more.end());
    };
    for (const auto &it : m_parts) {
        if (const auto *service = std::get_if<Service>(&it.second))
            result.services.push_back(*service);
        else if (const auto *paths = std::get_if<std::vector<CallPath>>(&it.second))
            append(result.paths, *paths);
        else if (const auto *callers = std::get_if<std::vector<Caller>>(&it.second))
            append(result.callers, *callers);
        else if (const auto *routes = std::get_if<std::vector<Route>>(&it.second))
            append(result.routes, *routes);
        else if (const auto *ingress = std::get_if<IngressLimits>(&it.second))
            result.ingress = *ingress;
    }
    return result;
}

} // namespace stairspur::config
