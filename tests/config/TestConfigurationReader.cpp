#include <criterion/criterion.h>

#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/config/Sections.h>
#include <stairspur/core/Hash.h>

#include "ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::config;
using namespace std::chrono_literals;

struct FaultCase
{
    const char *name;
    std::string text;
    std::vector<std::string> findings; ///< Each finding as it is printed.
};

static auto assertFindings(const FaultCase &it) -> void
{
    const auto checked = checkConfiguration(it.text, "f");
    auto printed = std::string();
    for (const auto &finding : checked.findings)
        printed += finding.toString() + '\n';
    auto wanted = std::string();
    for (const auto &finding : it.findings)
        wanted += finding + '\n';
    cr_assert_eq(printed, wanted, "%s:\n%swanted:\n%s", it.name, printed.c_str(), wanted.c_str());
}

/// Guards the workaround of source/config/Toml.h. Without it a build with sanitizers aborts here.
Test(ConfigurationReader, nonAsciiLettersOutsideStringsAreOneFinding)
{
    static constexpr const char *cases[] = {"bucket-\u017e = 1", "name = 0\"u\u017een",
                                            "\u3010 = 1",        "\ufefd = 1",
                                            "[\u0161]",          "a = \u2028"};
    for (const auto *it : cases) {
        const auto checked = checkConfiguration(it, "f");
        cr_expect_eq(checked.findings.size(), 1, "%s", it);
    }
    cr_assert(checkConfiguration(smallFile + "# \u017e, \u3010\n", "f").isUsable());
}

Test(ConfigurationReader, syntaxFaultsHavePositionAndRemedy)
{
    const auto remedy = std::string("; correct the TOML syntax (https://toml.io/en/v1.0.0)");
    const FaultCase cases[] = {
            {"no value",
             "a = \n",
             {"f:1:5: Error while parsing key-value pair: expected value, saw '\\n'" + remedy}},
            {"a duplicate key",
             "[retry]\nbucket-size = 1\nbucket-size = 2\n",
             {"f:3:15: Error while parsing key-value pair: cannot redefine existing integer "
              "'bucket-size'"
              + remedy}},
            {"a duplicate table",
             "[retry]\n[retry]\n",
             {"f:2:1: Error while parsing table header: cannot redefine existing table 'retry'"
              + remedy}},
            {"an unterminated string",
             "a = \"x\n",
             {"f:1:7: Error while parsing string: unescaped control characters other than TAB "
              "(U+0009) are explicitly prohibited"
              + remedy}},
            {"invalid UTF-8",
             "a = \"\xff\"\n",
             {"f:1:5: Encountered invalid utf-8 sequence" + remedy}},
    };
    for (const auto &it : cases)
        assertFindings(it);
}

Test(ConfigurationReader, everyFaultIsFoundWithPositionAndRemedy)
{
    const FaultCase cases[] = {
            {"an empty file",
             "",
             {"f:1:1: the file has no [[failure-domains]]; add at least one [[failure-domains]] "
              "table",
              "f:1:1: the file has no [[classes]]; add at least one [[classes]] table",
              "f:1:1: the file has no [[services]]; add at least one [[services]] table"}},
            {"an unknown table",
             smallFile + "[limits]\n",
             {"f:7:2: the file has an unknown key \"limits\"; remove it or use one of call-paths, "
              "callers, classes, failure-domains, retry, services"}},
            {"an unknown key",
             smallFile + "idempotant = false\n",
             {"f:7:1: service \"a\" has an unknown key \"idempotant\"; remove it or use one of "
              "idempotent, key-lifetime, limits, name"}},
            {"wrong types",
             smallFile + "idempotent = 1\nkey-lifetime = 5\nlimits = 3\n",
             {"f:7:14: idempotent of service \"a\" cannot be read; give true or false",
              "f:8:16: key-lifetime of service \"a\" cannot be read; give a duration such as "
              "\"250ms\" or \"2s\"",
              "f:9:10: limits of service \"a\" cannot be read; give a table"}},
            {"wrong types and ranges in retry",
             smallFile
                     + "[retry]\nextra-attempts = 2.5\nsuccess-share = \"a\"\nbucket-size = nan\n",
             {"f:8:18: extra-attempts of retry cannot be read; give a whole number",
              "f:9:17: success-share of retry cannot be read; give a number",
              "f:10:15: bucket-size of retry is out of range; give a value from 1 to 10000"}},
            {"services that aren't tables",
             "services = 1\ncall-paths = [1]\n" + smallFileWithoutService,
             {"f:1:12: services of the file cannot be read; give an array of tables, written "
              "[[services]]",
              "f:2:15: call-paths of the file cannot be read; give an array of tables, written "
              "[[call-paths]]"}},
            {"a service without a name",
             smallFile + "[[services]]\n",
             {"f:7:1: service has no name; add name = \"...\""}},
            {"invalid names",
             smallFile + "[[services]]\nname = \"B/c\"\n[[classes]]\nname = \"\"\n",
             {"f:8:8: \"B/c\" is no name; use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no "
              "'.'",
              "f:10:8: \"\" is no name; use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no "
              "'.'"}},
            {"a duplicate service",
             smallFile + "[[services]]\nname = \"a\"\n",
             {"f:8:8: service \"a\" stands twice, first in line 6; rename or remove one of the "
              "two"}},
            {"limits out of range",
             smallFile
                     + "[services.limits]\nmax-concurrency = 0\nmax-queue = 65537\n"
                       "max-timeout = \"2h\"\n",
             {"f:8:19: max-concurrency of limits of service \"a\" is out of range; give a value "
              "from 1 to 100000",
              "f:9:13: max-queue of limits of service \"a\" is out of range; give a value from 0 "
              "to 65536",
              "f:10:15: max-timeout of limits of service \"a\" is out of range; give a value from "
              "1ms to 1h"}},
            {"sizes out of range",
             smallFile + "[services.limits]\nmax-request = \"0B\"\nmax-answer = \"2GiB\"\n",
             {"f:8:15: max-request of limits of service \"a\" is out of range; give a value from "
              "1B to 1GiB",
              "f:9:14: max-answer of limits of service \"a\" is out of range; give a value from "
              "1B to 1GiB"}},
            {"a size without a unit",
             smallFile + "limits = { max-request = \"64\" }\n",
             {"f:7:26: max-request of limits of service \"a\" cannot be read; give a size such as "
              "\"64KiB\" or \"8MiB\""}},
            {"a default timeout above the maximum",
             smallFile + "limits = { max-timeout = \"1s\" }\n",
             {"f:7:10: default-timeout of limits of service \"a\" is longer than max-timeout; "
              "lower default-timeout or raise max-timeout"}},
    };
    for (const auto &it : cases)
        assertFindings(it);
}

Test(ConfigurationReader, referencesAreChecked)
{
    const FaultCase cases[] = {
            {"unknown names in a path",
             smallFile
                     + "[[call-paths]]\nname = \"p\"\nclasses = [\"c\", \"x\"]\n"
                       "services = [\n  \"a\",\n  \"y\",\n]\n",
             {"f:9:17: classes of call path \"p\" names the unknown \"x\"; define it or use one of "
              "c",
              "f:12:3: services of call path \"p\" names the unknown \"y\"; define it or use one "
              "of a"}},
            {"a path without services",
             smallFile + "[[call-paths]]\nname = \"p\"\nservices = []\n",
             {"f:9:12: call path \"p\" has no services; list the services in the order of their "
              "calls"}},
            {"a duplicate service in a path",
             smallFile + "[[call-paths]]\nname = \"p\"\nservices = [\"a\", \"a\"]\n",
             {"f:9:18: services of call path \"p\" names \"a\" twice; remove one of the two"}},
            {"a cycle over three paths",
             smallFile
                     + "[[services]]\nname = \"b\"\n[[services]]\nname = \"d\"\n"
                       "[[call-paths]]\nname = \"p\"\nservices = [\"a\", \"b\"]\n"
                       "[[call-paths]]\nname = \"q\"\nservices = [\"b\", \"d\"]\n"
                       "[[call-paths]]\nname = \"r\"\nservices = [\"d\", \"a\"]\n",
             {"f:19:18: call path \"r\" closes the cycle a -> b -> d -> a; take one of these calls "
              "out of its call path"}},
            {"a caller without a key and classes",
             smallFile + "[[callers]]\nname = \"k\"\n",
             {"f:7:1: caller \"k\" has no key-sha256; give the 64 lower-case hexadecimal digits of "
              "printf %s KEY | sha256sum",
              "f:7:1: caller \"k\" has no class; list the classes that it may use, its usual one "
              "first"}},
            {"a caller with a plain-text key, which the finding doesn't show",
             smallFile
                     + "[[callers]]\nname = \"k\"\nkey-sha256 = \"secret\"\nclasses = [\"c\"]\n"
                       "home-domain = \"x\"\n",
             {"f:9:14: key-sha256 of caller \"k\" is no SHA-256; give the 64 lower-case "
              "hexadecimal digits of printf %s KEY | sha256sum",
              "f:11:15: home-domain of caller \"k\" names the unknown \"x\"; define it or use one "
              "of d"}},
            {"two callers with one key",
             smallFile + callerText("k", "key") + callerText("l", "key"),
             {"f:13:14: caller \"l\" has the key of the caller in line 9; give each caller a key "
              "of its own"}},
    };
    for (const auto &it : cases)
        assertFindings(it);
}

Test(ConfigurationReader, numberOfClassesIsLimited)
{
    auto text = smallFile;
    for (auto n = 1; n <= MaxClassRank; ++n)
        text += "[[classes]]\nname = \"c" + std::to_string(n) + "\"\n";
    const auto full = readConfiguration(text, "f");
    cr_assert_eq(full.classes.size(), 32);
    cr_assert_eq(full.findClass("c31")->rank, MaxClassRank);

    assertFindings({"one more",
                    text + "[[classes]]\nname = \"surplus\"\n",
                    {"f:69:1: the file has more than 32 [[classes]]; remove the surplus tables"}});
}

Test(ConfigurationReader, valuesAndDefaultsAreRead)
{
    const auto read = readConfiguration(
            smallFile
                    + "idempotent = false\nkey-lifetime = \"1h\"\n[services.limits]\n"
                      "max-concurrency = 7\nmax-queue = 0\ndefault-timeout = \"250ms\"\n"
                      "max-request = \"64KiB\"\n[retry]\nextra-attempts = 0\nsuccess-share = 1\n",
            "f");
    const auto *service = read.findService("a");
    cr_assert(service && !service->isIdempotent);
    cr_assert(service->keyLifetime == 1h);
    cr_assert_eq(service->limits.maxConcurrency, 7);
    cr_assert_eq(service->limits.maxQueue, 0);
    cr_assert(service->limits.defaultTimeout == 250ms);
    cr_assert(service->limits.maxTimeout == 30s);
    cr_assert_eq(service->limits.maxRequestBytes, 65536);
    cr_assert_eq(read.retry.extraAttempts, 0);
    cr_assert_eq(read.retry.successShare, 1.0);
    cr_assert_eq(read.retry.bucketSize, 10.0);
}

Test(ConfigurationReader, errorHasEveryFinding)
{
    try {
        readConfiguration("", "empty.toml");
        cr_assert_fail("accepted");
    } catch (const ConfigurationError &error) {
        cr_assert_eq(error.findings().size(), 3);
        cr_assert_eq(error.what(), error.findings().front().toString());
    }
}

Test(ConfigurationReader, callerMayHaveSeveralKeysAndQuota)
{
    const auto hash = [](const std::string &key) { return sha256Hex(key); };
    const auto text = smallFile + "[[callers]]\nname = \"k\"\nkey-sha256 = \"" + hash("a")
                      + "\"\nfurther-keys-sha256 = [\"" + hash("b")
                      + "\"]\nclasses = [\"c\"]\n[callers.quota]\nrequests-per-second = 2.5\n";
    const auto configuration = readConfiguration(text, "f");
    for (const auto *key : {"a", "b"})
        cr_expect_eq(configuration.findCallerByKeyHash(hash(key))->name, "k");
    cr_assert_null(configuration.findCallerByKeyHash(hash("c")));
    const auto &caller = configuration.callers.front();
    cr_assert_eq(caller.quota->requestsPerSecond, 2.5);
    cr_assert_eq(caller.quota->burst, 0);
    const auto joined = joinSections(splitIntoSections(configuration));
    cr_assert(joined.callers.front().quota == caller.quota);
    cr_assert(joined.callers.front().furtherKeySha256 == caller.furtherKeySha256);
}
