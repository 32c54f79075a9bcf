#include <criterion/criterion.h>

#include <algorithm>

#include <stairspur/config/ConfigurationAssembler.h>
#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/config/Sections.h>
#include <stairspur/core/Cbor.h>
#include <stairspur/core/Hash.h>

#include "ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::config;

static auto readAssociation() -> Configuration
{
    return readConfiguration(readRepositoryFile("examples/association.toml"), "association.toml");
}

/// Returns the names of sections that differ between two configurations.
static auto changedSections(const Configuration &a, const Configuration &b)
        -> std::vector<std::string>
{
    const auto before = hashesOf(splitIntoSections(a));
    const auto after = hashesOf(splitIntoSections(b));
    auto changed = std::vector<std::string>();
    for (const auto &[name, hash] : after) {
        const auto it = before.find(name);
        if (it == before.end() || it->second != hash)
            changed.push_back(name);
    }
    for (const auto &it : before) {
        if (!after.contains(it.first))
            changed.push_back(it.first);
    }
    return changed;
}

Test(Sections, splitAndJoinKeepMeaning)
{
    const auto original = readAssociation();
    const auto sections = splitIntoSections(original);
    const auto joined = joinSections(sections);
    cr_assert(splitIntoSections(joined) == sections);
    cr_assert_eq(hashOf(splitIntoSections(joined)), hashOf(sections));

    const auto *service = joined.findService("order-intake");
    cr_assert(service && !service->isIdempotent);
    cr_assert(service->keyLifetime == std::chrono::minutes(30));
    cr_assert_eq(service->limits.maxQueue, 330);
    cr_assert_eq(service->limits.maxAnswerBytes, 256U << 10U);
    cr_assert_eq(joined.findClass("route-packs")->rank, 2);
    cr_assert_eq(joined.callers.size(), original.callers.size());
    const auto *caller = joined.findCallerByKeyHash(sha256Hex("example-courier-key"));
    cr_assert(caller && caller->classes.front() == "route-packs");
    cr_assert_eq(caller->homeDomain, "bezigrad");
    cr_assert_eq(joined.findDomain("domzale")->region, "ljubljana");
    cr_assert(joined.deeperServices("order-intake", 0).size() == 3);
    cr_assert_eq(joined.retry.extraAttempts, 3);
}

Test(Sections, onlyMeaningfulOrderChangesBytes)
{
    const auto original = readAssociation();
    auto reversed = original;
    std::ranges::reverse(reversed.services);
    std::ranges::reverse(reversed.domains);
    std::ranges::reverse(reversed.paths);
    std::ranges::reverse(reversed.callers);
    std::ranges::reverse(reversed.paths.front().classes);
    cr_assert(changedSections(original, reversed).empty());

    auto otherClasses = original;
    std::ranges::reverse(otherClasses.classes);
    cr_assert(changedSections(original, otherClasses) == std::vector<std::string>{"classes"});
}

Test(Sections, changeAffectsOneSection)
{
    const auto original = readAssociation();
    auto service = original;
    service.services.front().limits.maxQueue += 1;
    cr_assert(changedSections(original, service)
              == std::vector<std::string>{"service/menu-catalogue"});
    cr_assert_neq(hashOf(splitIntoSections(service)), hashOf(splitIntoSections(original)));

    auto caller = original;
    caller.callers.front().homeDomain = "domzale";
    auto path = original;
    path.paths.pop_back();
    auto retry = original;
    retry.retry.successShare = 0.25;
    for (const auto &it : {caller, path, retry})
        cr_assert_eq(changedSections(original, it).size(), 1);
}

/// Returns a configuration of the size that the system is designed for: 520 services and thousands of callers.
static auto makeLarge() -> Configuration
{
    static constexpr auto Services = 520;
    static constexpr auto Callers = 8000;
    auto result = Configuration();
    result.domains = {{"d", "r"}};
    result.classes = {{"c", 0}};
    for (auto n = 0; n < Services; ++n) {
        const auto name = "service-" + std::to_string(n);
        result.services.push_back({.name = name});
        if (n > 0)
            result.paths.push_back(
                    {"path-" + std::to_string(n), {}, {result.services.front().name, name}});
    }
    for (auto n = 0; n < Callers; ++n) {
        const auto name = "caller-" + std::to_string(n);
        result.callers.push_back({name, sha256Hex(name), {"c"}, "d"});
    }
    return result;
}

Test(Sections, changeAffectsOneSmallSectionOfLargeConfiguration)
{
    static constexpr auto MaxSectionBytes = std::size_t{64} << 10U;
    const auto original = makeLarge();
    const auto sections = splitIntoSections(original);
    cr_assert_leq(sections.size(), 3 + 520 + 2 * SectionBuckets);
    for (const auto &[name, bytes] : sections)
        cr_assert_lt(bytes.size(), MaxSectionBytes, "%s", name.c_str());

    auto caller = original;
    caller.callers.push_back({"new", sha256Hex("new"), {"c"}, ""});
    auto service = original;
    service.services.pop_back();
    auto path = original;
    path.paths.front().classes = {"c"};
    for (const auto &it : {caller, service, path})
        cr_assert_eq(changedSections(original, it).size(), 1);
}

/// Hosts of all versions must compute the same hash, so a change of it is a change of the protocol.
Test(Sections, hashOfSmallFileIsStable)
{
    const auto sections = splitIntoSections(readConfiguration(smallFile, "f"));
    cr_assert_eq(hashOf(sections), hashOfHashes(hashesOf(sections)));
    cr_assert_eq(hashOf(sections),
                 "12abd8806408641c46295e7833ab3e4381d1afdaebc0c80fa850cbb044cac07c", "%s",
                 hashOf(sections).c_str());
}

Test(Sections, invalidSectionsAreRejected)
{
    const auto whole = splitIntoSections(readAssociation());
    struct
    {
        const char *name;
        const char *section;
        std::optional<std::string> bytes; ///< Nothing: the section is removed.
    } cases[] = {
            {"no classes", "classes", std::nullopt},
            {"no domains", "domains", std::nullopt},
            {"no retry", "retry", std::nullopt},
            {"an unknown section", "limits", toCbor(1)},
            {"invalid CBOR", "classes", "\xff"},
            {"an empty section", "retry", ""},
            {"another type", "domains", toCbor(nlohmann::json::array({1}))},
            {"a key is missing", "service/order-intake", toCbor({{"name", "order-intake"}})},
            {"another service", "service/order-intake", whole.at("service/menu-catalogue")},
            {"too many classes", "classes", toCbor(std::vector<std::string>(33, "c"))},
            {"a caller of another bucket", "callers/none",
             toCbor(std::vector<nlohmann::json>{
                     {{"name", "k"}, {"keySha256", "0"}, {"classes", {"c"}}, {"homeDomain", ""}}})},
    };
    for (const auto &it : cases) {
        auto sections = whole;
        if (it.bytes)
            sections[it.section] = *it.bytes;
        else
            sections.erase(it.section);
        cr_assert_throw(joinSections(sections), SectionError, "accepted: %s", it.name);
    }
}

Test(ConfigurationAssembler, changesOfFewSectionsGiveSameResultAsAll)
{
    const auto before = readAssociation();
    auto after = before;
    after.services.erase(after.services.begin());
    after.services.push_back({.name = "new"});
    after.retry.extraAttempts = 1;
    after.callers.back().homeDomain = "domzale";
    after.paths.pop_back();

    auto assembler = ConfigurationAssembler();
    const auto old = splitIntoSections(before);
    assembler.update(old);
    const auto wanted = splitIntoSections(after);
    auto changed = Sections();
    for (const auto &it : wanted) {
        if (!old.contains(it.first) || old.at(it.first) != it.second)
            changed.insert(it);
    }
    auto removed = std::vector<std::string>();
    for (const auto &it : old) {
        if (!wanted.contains(it.first))
            removed.push_back(it.first);
    }
    cr_assert_lt(changed.size() + removed.size(), 7);
    assembler.update(changed, removed);
    cr_assert(splitIntoSections(assembler.assemble()) == wanted);
}

Test(ConfigurationAssembler, rejectedChangeHasNoEffect)
{
    const auto whole = splitIntoSections(readAssociation());
    auto assembler = ConfigurationAssembler();
    assembler.update(whole);
    const auto changed = Sections{{"classes", whole.at("classes")}, {"service/x", "\xff"}};
    cr_assert_throw(assembler.update(changed, {"retry"}), SectionError);
    cr_assert(splitIntoSections(assembler.assemble()) == whole);
}
