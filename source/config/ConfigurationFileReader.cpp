#include "ConfigurationFileReader.h"

#include <algorithm>

namespace stairspur::config {

using namespace std::chrono_literals;

// The limits reject typing errors (a missing unit, an extra zero) and keep each section within the largest value that
// the platform's store accepts.
static constexpr auto MaxDomains = std::size_t{256};
static constexpr auto MaxClasses = std::size_t{MaxClassRank} + 1;
static constexpr auto MaxServices = std::size_t{4096};
static constexpr auto MaxPaths = std::size_t{16384};
static constexpr auto MaxCallers = std::size_t{65536};
static constexpr auto MaxPathLength = std::size_t{16};

static constexpr auto ConcurrencyRange = Range<std::uint32_t>{1, 100'000};
static constexpr auto QueueRange = Range<std::uint32_t>{0, 65'536};
static constexpr auto TimeoutRange = Range<Duration>{1ms, 1h};
static constexpr auto BodyRange = Range<std::uint32_t>{1, 1U << 30U};
static constexpr auto KeyLifetimeRange = Range<Duration>{1s, 24h};
static constexpr auto ExtraAttemptsRange = Range<std::uint32_t>{0, 32};
static constexpr auto SuccessShareRange = Range<double>{0, 1};
static constexpr auto BucketRange = Range<double>{1, 10'000};
static constexpr auto QuotaRateRange = Range<double>{0.001, 10'000'000};
static constexpr auto QuotaBurstRange = Range<double>{0, 10'000'000};
static constexpr auto Sha256Digits = std::size_t{64};
static constexpr auto KeyRemedy =
        "give the 64 lower-case hexadecimal digits of printf %s KEY | sha256sum";

ConfigurationFileReader::ConfigurationFileReader(const toml::table &root, FindingList &findings)
    : m_root(root, "the file", findings)
    , m_findings(findings)
{}

auto ConfigurationFileReader::read() -> Configuration
{
    readDomains();
    readClasses();
    readServices();
    readPaths();
    readCallers();
    readRetry();
    m_root.finish();
    return std::move(m_configuration);
}

auto ConfigurationFileReader::readTables(std::string_view key, Range<std::size_t> count)
        -> std::vector<const toml::table *>
{
    auto tables = m_root.tables(key);
    const auto header = "[[" + std::string(key) + "]]";
    if (count.least > 0 && m_root.isMissingOrEmpty(key))
        m_findings.add(m_root.positionOf(key), "the file has no " + header,
                       "add at least one " + header + " table");
    if (tables.size() > count.greatest)
        m_findings.add(tables[count.greatest]->source().begin,
                       "the file has more than " + std::to_string(count.greatest) + ' ' + header,
                       "remove the surplus tables");
    return tables;
}

auto ConfigurationFileReader::readNewName(TableReader &table, Names &names) -> std::string
{
    const auto name = table.name();
    if (name.text.empty())
        return {};
    const auto [it, isNew] = names.emplace(name.text, name.position.line);
    if (!isNew)
        m_findings.add(name.position,
                       table.title() + " stands twice, first in line " + std::to_string(it->second),
                       "rename or remove one of the two");
    return name.text;
}

auto ConfigurationFileReader::checkReference(const LocatedText &name, const TableReader &table,
                                             std::string_view key, const Names &names) -> bool
{
    if (names.contains(name.text))
        return true;
    auto definedNames = std::set<std::string, std::less<>>();
    for (const auto &it : names)
        definedNames.insert(it.first);
    m_findings.add(name.position,
                   std::string(key) + " of " + table.title() + " names the unknown "
                           + quoted(name.text),
                   definedNames.empty() ? "define it first"
                                        : "define it or use one of " + listed(definedNames));
    return false;
}

auto ConfigurationFileReader::readReferences(TableReader &table, std::string_view key,
                                             const Names &names) -> std::vector<LocatedText>
{
    auto result = std::vector<LocatedText>();
    for (const auto &it : table.texts(key)) {
        if (!checkReference(it, table, key, names))
            continue;
        if (std::ranges::find(result, it.text, &LocatedText::text) == result.end()) {
            result.push_back(it);
            continue;
        }
        m_findings.add(it.position,
                       std::string(key) + " of " + table.title() + " names " + quoted(it.text)
                               + " twice",
                       "remove one of the two");
    }
    return result;
}

static auto textsOf(const std::vector<LocatedText> &names) -> std::vector<std::string>
{
    auto result = std::vector<std::string>();
    result.reserve(names.size());
    for (const auto &it : names)
        result.push_back(it.text);
    return result;
}

auto ConfigurationFileReader::readDomains() -> void
{
    for (const auto *it : readTables("failure-domains", {1, MaxDomains})) {
        auto table = TableReader(*it, "failure domain", m_findings);
        auto domain = FailureDomain();
        domain.name = readNewName(table, m_domainNames);
        if (const auto region = table.text("region"))
            domain.region = region->text;
        table.finish();
        m_configuration.domains.push_back(std::move(domain));
    }
}

auto ConfigurationFileReader::readClasses() -> void
{
    for (const auto *it : readTables("classes", {1, MaxClasses})) {
        auto table = TableReader(*it, "class", m_findings);
        const auto rank = std::min(m_configuration.classes.size(), std::size_t{MaxClassRank});
        m_configuration.classes.push_back(
                {readNewName(table, m_classNames), static_cast<ClassRank>(rank)});
        table.finish();
    }
}

auto ConfigurationFileReader::readServices() -> void
{
    for (const auto *it : readTables("services", {1, MaxServices})) {
        auto table = TableReader(*it, "service", m_findings);
        auto service = Service();
        service.name = readNewName(table, m_serviceNames);
        service.isIdempotent = table.boolean("idempotent").value_or(service.isIdempotent);
        service.keyLifetime =
                table.duration("key-lifetime", KeyLifetimeRange).value_or(service.keyLifetime);
        readLimits(table, service.limits);
        table.finish();
        m_configuration.services.push_back(std::move(service));
    }
}

auto ConfigurationFileReader::readLimits(TableReader &service, ServiceLimits &limits) -> void
{
    const auto *table = service.table("limits");
    if (!table)
        return;
    auto reader = TableReader(*table, "limits of " + service.title(), m_findings);
    limits.maxConcurrency =
            reader.integer("max-concurrency", ConcurrencyRange).value_or(limits.maxConcurrency);
    limits.maxQueue = reader.integer("max-queue", QueueRange).value_or(limits.maxQueue);
    limits.defaultTimeout =
            reader.duration("default-timeout", TimeoutRange).value_or(limits.defaultTimeout);
    limits.maxTimeout = reader.duration("max-timeout", TimeoutRange).value_or(limits.maxTimeout);
    limits.maxRequestBytes = reader.size("max-request", BodyRange).value_or(limits.maxRequestBytes);
    limits.maxAnswerBytes = reader.size("max-answer", BodyRange).value_or(limits.maxAnswerBytes);
    reader.finish();
    if (limits.defaultTimeout > limits.maxTimeout)
        m_findings.add(reader.positionOf("default-timeout"),
                       "default-timeout of " + reader.title() + " is longer than max-timeout",
                       "lower default-timeout or raise max-timeout");
}

auto ConfigurationFileReader::readPaths() -> void
{
    auto names = Names();
    for (const auto *it : readTables("call-paths", {0, MaxPaths})) {
        auto table = TableReader(*it, "call path", m_findings);
        auto path = CallPath();
        path.name = readNewName(table, names);
        path.classes = textsOf(readReferences(table, "classes", m_classNames));
        const auto services = readReferences(table, "services", m_serviceNames);
        path.services = textsOf(services);
        table.finish();
        checkPath(table, services);
        m_configuration.paths.push_back(std::move(path));
    }
}

auto ConfigurationFileReader::checkPath(const TableReader &path,
                                        const std::vector<LocatedText> &services) -> void
{
    if (services.empty())
        m_findings.add(path.positionOf("services"), path.title() + " has no services",
                       "list the services in the order of their calls");
    if (services.size() > MaxPathLength)
        m_findings.add(services[MaxPathLength].position,
                       path.title() + " has more than " + std::to_string(MaxPathLength)
                               + " services",
                       "shorten the path");
    for (auto index = std::size_t{1}; index < services.size(); ++index) {
        const auto cycle = m_callGraph.addCall(services[index - 1].text, services[index].text);
        if (cycle.empty())
            continue;
        auto chain = cycle.front();
        for (auto it = cycle.begin() + 1; it != cycle.end(); ++it)
            chain += " -> " + *it;
        m_findings.add(services[index].position, path.title() + " closes the cycle " + chain,
                       "take one of these calls out of its call path");
    }
}

auto ConfigurationFileReader::readCallers() -> void
{
    auto names = Names();
    auto keys = Names();
    for (const auto *it : readTables("callers", {0, MaxCallers})) {
        auto table = TableReader(*it, "caller", m_findings);
        auto caller = Caller();
        caller.name = readNewName(table, names);
        caller.keySha256 = readKey(table);
        caller.classes = textsOf(readReferences(table, "classes", m_classNames));
        caller.homeDomain = readHomeDomain(table);
        caller.furtherKeySha256 = readFurtherKeys(table, keys);
        caller.quota = readQuota(table);
        table.finish();
        if (caller.classes.empty())
            m_findings.add(table.positionOf("classes"), table.title() + " has no class",
                           "list the classes that it may use, its usual one first");
        checkNewKey(table, caller.keySha256, table.positionOf("key-sha256"), keys);
        m_configuration.callers.push_back(std::move(caller));
    }
}

/// Reports a key that another caller has too. A key identifies the caller, so it can belong to only one.
auto ConfigurationFileReader::checkNewKey(const TableReader &caller, const std::string &key,
                                          toml::source_position position, Names &keys) -> void
{
    if (key.empty())
        return;
    const auto [first, isNew] = keys.emplace(key, position.line);
    if (!isNew)
        m_findings.add(position,
                       caller.title() + " has the key of the caller in line "
                               + std::to_string(first->second),
                       "give each caller a key of its own");
}

auto ConfigurationFileReader::readFurtherKeys(TableReader &caller, Names &keys)
        -> std::vector<std::string>
{
    auto result = std::vector<std::string>();
    for (const auto &it : caller.texts("further-keys-sha256")) {
        if (!checkKey(caller, "further-keys-sha256", it))
            continue;
        checkNewKey(caller, it.text, it.position, keys);
        result.push_back(it.text);
    }
    return result;
}

auto ConfigurationFileReader::readQuota(TableReader &caller) -> std::optional<RequestQuota>
{
    const auto *table = caller.table("quota");
    if (!table)
        return std::nullopt;
    auto reader = TableReader(*table, "quota of " + caller.title(), m_findings);
    auto quota = RequestQuota();
    const auto rate = reader.number("requests-per-second", QuotaRateRange);
    quota.burst = reader.number("burst", QuotaBurstRange).value_or(0);
    reader.finish();
    if (reader.isMissingOrEmpty("requests-per-second"))
        m_findings.add(reader.position(), reader.title() + " has no requests-per-second",
                       "give the rate, or leave the quota out");
    quota.requestsPerSecond = rate.value_or(0);
    return quota;
}

static auto isLowerHexDigit(char character) -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

auto ConfigurationFileReader::readKey(TableReader &caller) -> std::string
{
    const auto key = caller.requiredText("key-sha256", KeyRemedy);
    return key && checkKey(caller, "key-sha256", *key) ? key->text : std::string();
}

auto ConfigurationFileReader::checkKey(const TableReader &caller, std::string_view name,
                                       const LocatedText &key) -> bool
{
    if (key.text.size() == Sha256Digits && std::ranges::all_of(key.text, isLowerHexDigit))
        return true;
    // The finding doesn't show the text, since it may be the key itself.
    m_findings.add(key.position, std::string(name) + " of " + caller.title() + " is no SHA-256",
                   KeyRemedy);
    return false;
}

auto ConfigurationFileReader::readHomeDomain(TableReader &caller) -> std::string
{
    const auto domain = caller.text("home-domain");
    if (!domain || !checkReference(*domain, caller, "home-domain", m_domainNames))
        return {};
    return domain->text;
}

auto ConfigurationFileReader::readRetry() -> void
{
    const auto *table = m_root.table("retry");
    if (!table)
        return;
    auto reader = TableReader(*table, "retry", m_findings);
    auto &retry = m_configuration.retry;
    retry.extraAttempts =
            reader.integer("extra-attempts", ExtraAttemptsRange).value_or(retry.extraAttempts);
    retry.successShare =
            reader.number("success-share", SuccessShareRange).value_or(retry.successShare);
    retry.bucketSize = reader.number("bucket-size", BucketRange).value_or(retry.bucketSize);
    reader.finish();
}

} // namespace stairspur::config
