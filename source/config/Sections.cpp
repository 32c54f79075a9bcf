#include <stairspur/config/Sections.h>

#include <algorithm>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Hash.h>

#include "SectionCodec.h"

namespace stairspur::config {

static constexpr auto ClassesSection = std::string_view("classes");
static constexpr auto DomainsSection = std::string_view("domains");
static constexpr auto RetrySection = std::string_view("retry");
static constexpr auto ServicePrefix = std::string_view("service/");
static constexpr auto PathsPrefix = std::string_view("paths/");
static constexpr auto CallersPrefix = std::string_view("callers/");

static constexpr auto Remedy =
        std::string_view("pull the sections again, or apply the file again with this version");

static auto makeError(std::string_view section, std::string_view problem) -> SectionError
{
    return {"section " + std::string(section) + ' ' + std::string(problem), std::string(Remedy)};
}

static auto bucketOf(std::string_view name) -> std::string
{
    return std::to_string(hash64(name) % SectionBuckets);
}

template <typename Item>
static auto sortedByName(std::vector<Item> items) -> std::vector<Item>
{
    std::ranges::sort(items, {}, &Item::name);
    return items;
}

/// Spreads items over the sections `prefix`0 to `prefix`63; in each they stand in the order of their names.
template <typename Item>
static auto addBuckets(Sections &sections, std::string_view prefix, std::vector<Item> items) -> void
{
    auto buckets = std::map<std::string, std::vector<Item>>();
    for (auto &it : sortedByName(std::move(items)))
        buckets[std::string(prefix) + bucketOf(it.name)].push_back(it);
    for (const auto &[section, content] : buckets)
        sections[section] = toCbor(content);
}

static auto namesInOrder(const std::vector<PriorityClass> &classes) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    names.reserve(classes.size());
    for (const auto &it : classes)
        names.push_back(it.name);
    return names;
}

/// A path's classes are a set: their order in the file says nothing.
static auto withSortedClasses(std::vector<CallPath> paths) -> std::vector<CallPath>
{
    for (auto &it : paths)
        std::ranges::sort(it.classes);
    return paths;
}

auto splitIntoSections(const Configuration &configuration) -> Sections
{
    auto sections = Sections();
    sections[std::string(ClassesSection)] = toCbor(namesInOrder(configuration.classes));
    sections[std::string(DomainsSection)] = toCbor(sortedByName(configuration.domains));
    sections[std::string(RetrySection)] = toCbor(configuration.retry);
    for (const auto &it : configuration.services)
        sections[std::string(ServicePrefix) + it.name] = toCbor(it);
    addBuckets(sections, PathsPrefix, withSortedClasses(configuration.paths));
    addBuckets(sections, CallersPrefix, configuration.callers);
    return sections;
}

/// Reads one section and says in its error which one could not be read.
template <typename Value>
static auto readSection(std::string_view name, std::string_view bytes) -> Value
{
    try {
        return fromCbor(bytes).get<Value>();
    } catch (const nlohmann::json::exception &) {
        throw makeError(name, "does not hold what its name says");
    } catch (const InputError &) {
        throw makeError(name, "is not CBOR");
    }
}

template <typename Value>
static auto readNeededSection(const Sections &sections, std::string_view name) -> Value
{
    const auto it = sections.find(std::string(name));
    if (it == sections.end())
        throw makeError(name, "is missing");
    return readSection<Value>(name, it->second);
}

template <typename Item>
static auto appendBucket(std::vector<Item> &items, std::string_view prefix,
                         std::string_view section, std::string_view bytes) -> void
{
    const auto bucket = section.substr(prefix.size());
    for (auto &it : readSection<std::vector<Item>>(section, bytes)) {
        if (bucketOf(it.name) != bucket)
            throw makeError(section, "holds an item of another one");
        items.push_back(std::move(it));
    }
}

static auto readService(std::string_view section, std::string_view bytes) -> Service
{
    auto service = readSection<Service>(section, bytes);
    if (service.name != section.substr(ServicePrefix.size()))
        throw makeError(section, "holds another service");
    return service;
}

static auto readClasses(const Sections &sections) -> std::vector<PriorityClass>
{
    const auto names = readNeededSection<std::vector<std::string>>(sections, ClassesSection);
    if (names.size() > std::size_t{MaxClassRank} + 1)
        throw makeError(ClassesSection, "holds too many classes");
    auto classes = std::vector<PriorityClass>();
    classes.reserve(names.size());
    for (const auto &it : names)
        classes.push_back({it, static_cast<ClassRank>(classes.size())});
    return classes;
}

static auto isSingleSection(std::string_view name) -> bool
{
    return name == ClassesSection || name == DomainsSection || name == RetrySection;
}

auto joinSections(const Sections &sections) -> Configuration
{
    auto result = Configuration();
    result.classes = readClasses(sections);
    result.domains = readNeededSection<std::vector<FailureDomain>>(sections, DomainsSection);
    result.retry = readNeededSection<RetryLimits>(sections, RetrySection);
    for (const auto &[name, bytes] : sections) {
        if (name.starts_with(ServicePrefix))
            result.services.push_back(readService(name, bytes));
        else if (name.starts_with(PathsPrefix))
            appendBucket(result.paths, PathsPrefix, name, bytes);
        else if (name.starts_with(CallersPrefix))
            appendBucket(result.callers, CallersPrefix, name, bytes);
        else if (!isSingleSection(name))
            throw makeError(name, "is unknown");
    }
    result.paths = sortedByName(std::move(result.paths));
    result.callers = sortedByName(std::move(result.callers));
    return result;
}

auto hashesOf(const Sections &sections) -> SectionHashes
{
    auto hashes = SectionHashes();
    for (const auto &[name, bytes] : sections)
        hashes[name] = sha256Hex(bytes);
    return hashes;
}

auto hashOfHashes(const SectionHashes &hashes) -> std::string
{
    // Names hold no line break, and hashes are of one length, so that two lists never give the same text.
    auto text = std::string();
    for (const auto &[name, hash] : hashes)
        text.append(name).append("\n").append(hash).append("\n");
    return sha256Hex(text);
}

auto hashOf(const Sections &sections) -> std::string
{
    return hashOfHashes(hashesOf(sections));
}

} // namespace stairspur::config
