#include <criterion/criterion.h>

#include <stairspur/config/ConfigurationIndex.h>

using namespace stairspur;
using namespace stairspur::config;

static auto makeConfiguration() -> Configuration
{
    auto result = Configuration();
    result.domains = {{"d", ""}};
    result.classes = {{"high", 0}, {"low", 1}};
    result.services = {{.name = "a"}, {.name = "b"}, {.name = "c"}, {.name = "e"}};
    result.paths = {{"all", {}, {"a", "b", "c"}}, {"some", {"low"}, {"a", "c", "e"}}};
    result.callers = {{"k", "0123", {"low"}, ""}};
    return result;
}

static auto makeIndex() -> ConfigurationIndex
{
    return ConfigurationIndex(std::make_shared<const VersionedConfiguration>(
            VersionedConfiguration{1, "hash", makeConfiguration()}));
}

Test(ConfigurationIndex, findsSameItemsAsConfiguration)
{
    const auto index = makeIndex();
    cr_assert_eq(index.findService("b")->name, "b");
    cr_assert_eq(index.findClass("low")->rank, 1);
    cr_assert_eq(index.findCallerByKeyHash("0123")->name, "k");
    cr_assert_null(index.findService("x"));
    cr_assert_null(index.findClass("x"));
    cr_assert_null(index.findCallerByKeyHash("012"));
    cr_assert_eq(index.configuration()->version, 1);
}

Test(Configuration, findsByNameAndKey)
{
    const auto configuration = makeConfiguration();
    cr_assert_eq(configuration.findService("b")->name, "b");
    cr_assert_eq(configuration.findClass("low")->rank, 1);
    cr_assert_eq(configuration.findDomain("d")->name, "d");
    cr_assert_eq(configuration.findCallerByKeyHash("0123")->name, "k");
    cr_assert_null(configuration.findService("x"));
    cr_assert_null(configuration.findClass("x"));
    cr_assert_null(configuration.findDomain("x"));
    cr_assert_null(configuration.findCallerByKeyHash("012"));
}

Test(Configuration, deeperServicesFollowServiceOnPathsOfClass)
{
    struct
    {
        const char *service;
        ClassRank rank;
        std::vector<std::string> wanted;
    } cases[] = {
            {"a", 0, {"b", "c"}}, {"a", 1, {"b", "c", "e"}}, {"b", 0, {"c"}},
            {"c", 0, {}},         {"c", 1, {"e"}},           {"e", 1, {}},
            {"x", 0, {}},
    };
    const auto configuration = makeConfiguration();
    const auto index = makeIndex();
    for (const auto &it : cases)
        cr_assert(index.deeperServices(it.service, it.rank) == it.wanted,
                  "%s, rank %d in the index", it.service, it.rank);
    for (const auto &it : cases)
        cr_assert(configuration.deeperServices(it.service, it.rank) == it.wanted, "%s, rank %d",
                  it.service, it.rank);
}
