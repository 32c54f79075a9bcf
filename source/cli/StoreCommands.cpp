#include <stairspur/cli/StoreCommands.h>

#include <charconv>
#include <exception>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/cli/CheckCommand.h>
#include <stairspur/cli/Flags.h>
#include <stairspur/cli/SettingParsers.h>
#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/core/Hex.h>
#include <stairspur/distribution/ConfigurationPublisher.h>
#include <stairspur/store/EtcdStore.h>

namespace stairspur::cli {

namespace asio = boost::asio;

using namespace std::chrono_literals;
using distribution::PublishOutcome;
using distribution::PublishRequest;
using distribution::PublishResult;

/// One operator's command may go faster than a node, which shares the store with thousands of others.
static constexpr auto OperatorCallsPerSecond = std::uint32_t{100};

static auto randomNumber() -> std::uint64_t
{
    auto device = std::random_device();
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

static auto wallClockMs() -> std::int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// Runs one coroutine over the store to its end.
template <typename Value, typename Question>
static auto askStore(const store::StoreSettings &settings, const Question &question) -> Value
{
    auto io = asio::io_context();
    auto store = store::EtcdStore(io, settings, randomNumber());
    auto answer = Value();
    auto failure = std::exception_ptr();
    asio::co_spawn(io, question(store), [&](std::exception_ptr error, Value value) {
        failure = error;
        answer = std::move(value);
        io.stop(); // Kept connections would let it run on.
    });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    return answer;
}

static auto storeSettingsFromFlags() -> store::StoreSettings
{
    if (FLAGS_store.empty())
        throw SettingError("--store is not set",
                           "give the store's address, such as http://192.0.2.1:2379");
    const auto endpoint = parseStoreUrl("store", FLAGS_store);
    auto settings = store::StoreSettings();
    settings.address = endpoint.address;
    settings.port = endpoint.port;
    settings.timeout = parseDurationSetting("store-timeout", FLAGS_store_timeout, 10ms, 1min);
    settings.callsPerSecond = OperatorCallsPerSecond;
    settings.burst = OperatorCallsPerSecond;
    return settings;
}

static auto parseVersionFlag(const std::string &flag, const std::string &value) -> std::uint64_t
{
    auto version = std::uint64_t{0};
    const auto *end = value.data() + value.size();
    const auto [stop, ec] = std::from_chars(value.data(), end, version);
    if (ec != std::errc() || stop != end)
        throw SettingError("--" + flag + " is no version: '" + value + "'",
                           "give a whole number, as stairspur status shows it");
    return version;
}

static auto applyOptionsFromFlags() -> ApplyOptions
{
    auto options = ApplyOptions();
    options.appliedBy = FLAGS_applied_by;
    if (!FLAGS_expect_version.empty())
        options.expectedVersion = parseVersionFlag("expect-version", FLAGS_expect_version);
    options.minimumVersion = parseVersionFlag("minimum-version", FLAGS_minimum_version);
    return options;
}

static auto describeHead(const distribution::Head &head) -> std::string
{
    return "version " + std::to_string(head.version) + " (hash " + head.hash + ", applied by "
           + head.appliedBy + ')';
}

static auto toJson(const distribution::Head &head) -> nlohmann::json
{
    return {{"version", head.version},
            {"hash", head.hash},
            {"applyId", head.applyId},
            {"appliedBy", head.appliedBy}};
}

static auto failureOf(const PublishResult &result) -> CommandError
{
    switch (result.outcome) {
    case PublishOutcome::Conflict:
        return {ExitCode::Conflict,
                "in force is " + describeHead(result.inForce) + ", and nothing of this file",
                "compare the two files, then apply again"};
    case PublishOutcome::StoreUnavailable:
        return {ExitCode::Unreachable,
                "the store gave no answer and nothing was applied (" + result.detail + ')',
                "check --store, or apply again when the store is back"};
    case PublishOutcome::Rejected:
        return {ExitCode::Failed, "the store refuses this configuration (" + result.detail + ')',
                "see the store's limits in docs/operations/configuration.md"};
    default:
        return {ExitCode::Unknown,
                "the store's answer was lost and the file may be in force (" + result.detail + ')',
                "see stairspur status, or apply the same file again, which does no harm"};
    }
}

auto reportPublishing(const PublishResult &result) -> CommandReport
{
    auto report = CommandReport();
    report.json = {{"result", nameOf(result.outcome)}, {"inForce", toJson(result.inForce)}};
    if (result.outcome == PublishOutcome::Applied) {
        report.text = "applied as version " + std::to_string(result.version) + '\n';
        report.json["version"] = result.version;
        return report;
    }
    if (result.outcome == PublishOutcome::AlreadyInForce) {
        report.text = "already in force: " + describeHead(result.inForce) + '\n';
        return report;
    }
    const auto failure = failureOf(result);
    report.exitCode = failure.exitCode();
    report.problems = std::string("stairspur: ") + failure.what() + '\n';
    report.json["error"] = failure.what();
    return report;
}

auto apply(const std::string &text, const std::string &file, const ApplyOptions &options,
           const Publisher &publish) -> CommandReport
{
    auto checked = checkText(text, file);
    if (checked.exitCode != ExitCode::Ok)
        return checked;
    auto request = PublishRequest();
    request.sections = config::splitIntoSections(config::readConfiguration(text, file));
    request.applyId = toHex(randomNumber()) + toHex(randomNumber());
    request.appliedBy = options.appliedBy;
    request.wallClockMs = wallClockMs();
    request.expectedVersion = options.expectedVersion;
    request.minimumVersion = options.minimumVersion;
    return reportPublishing(publish(std::move(request)));
}

auto runApply(const std::string &file, std::istream &in) -> CommandReport
{
    const auto settings = storeSettingsFromFlags();
    const auto options = applyOptionsFromFlags();
    return apply(readFile(file, in), file, options, [&](PublishRequest request) {
        return askStore<PublishResult>(
                settings, [&](store::EtcdStore &store) -> transport::Task<PublishResult> {
                    auto publisher = distribution::ConfigurationPublisher(store, randomNumber());
                    co_return co_await publisher.publish(std::move(request));
                });
    });
}

using HeadResult = store::StoreResult<store::RangeAnswer>;

static auto summarize(const HeadResult &result) -> HeadSummary
{
    if (!result.isOk())
        throw CommandError(ExitCode::Unreachable,
                           "the store gave no answer (" + result.detail + ')',
                           "check --store, or try again when the store is back");
    if (result.value.pairs.empty())
        return {};
    const auto head = distribution::decodeHead(result.value.pairs.front().value);
    return {head.version, head.hash, head.applyId};
}

auto makeHeadReaderFromFlags() -> HeadReader
{
    if (FLAGS_store.empty())
        return {};
    return [settings = storeSettingsFromFlags()] {
        return summarize(askStore<HeadResult>(settings, [](store::EtcdStore &store) {
            return store.range({.key = std::string(distribution::HeadKey)});
        }));
    };
}

} // namespace stairspur::cli
