#include <stairspur/config/Sections.h>

#include <algorithm>

#include <stairspur/config/ConfigurationAssembler.h>
#include <stairspur/core/Cbor.h>
#include <stairspur/core/Hash.h>

#include "SectionCodec.h"
#include "SectionNames.h"

namespace stairspur::config {

template <typename Item>
static auto sortedByName(std::vector<Item> items) -> std::vector<Item>
{
    std::ranges::sort(items, {}, &Item::name);
    return items;
}

/// Spreads items over the sections `prefix`0 to `prefix`63 and sorts them by name in each.
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

/// Sorts the classes of each path, since their order in the file has no meaning.
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
    addBuckets(sections, RoutesPrefix, configuration.routes);
    if (configuration.ingress)
        sections[std::string(IngressSection)] = toCbor(*configuration.ingress);
    return sections;
}

auto joinSections(const Sections &sections) -> Configuration
{
    auto assembler = ConfigurationAssembler();
    assembler.update(sections);
    return assembler.assemble();
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
    // Names have no line breaks and all hashes have the same length, so that different lists never give the same text.
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
