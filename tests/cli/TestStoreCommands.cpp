#include <criterion/criterion.h>

#include <stairspur/cli/StoreCommands.h>
#include <stairspur/config/ConfigurationReader.h>

#include "config/ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::cli;
using distribution::PublishOutcome;
using distribution::PublishRequest;
using distribution::PublishResult;

/// Keeps what it was asked to publish.
struct FakePublisher
{
    std::vector<PublishRequest> requests;

    auto publisher() -> Publisher
    {
        return [this](PublishRequest request) {
            requests.push_back(std::move(request));
            auto result = PublishResult();
            result.outcome = PublishOutcome::Applied;
            result.version = 13;
            return result;
        };
    }
};

static auto makeResult(PublishOutcome outcome) -> PublishResult
{
    auto result = PublishResult();
    result.outcome = outcome;
    result.version = outcome == PublishOutcome::Applied ? 13 : 0;
    result.inForce.version = 12;
    result.inForce.hash = "ab";
    result.inForce.appliedBy = "ana";
    result.detail = "late";
    return result;
}

Test(Apply, everyOutcomeHasItsExitCodeAndText)
{
    struct
    {
        PublishOutcome outcome;
        ExitCode exitCode;
        const char *text; ///< Where something went wrong, on standard error.
    } cases[] = {
            {PublishOutcome::Applied, ExitCode::Ok, "applied as version 13\n"},
            {PublishOutcome::AlreadyInForce, ExitCode::Ok,
             "already in force: version 12 (hash ab, applied by ana)\n"},
            {PublishOutcome::Conflict, ExitCode::Conflict,
             "stairspur: in force is version 12 (hash ab, applied by ana), and nothing of this "
             "file; compare the two files, then apply again\n"},
            {PublishOutcome::StoreUnavailable, ExitCode::Unreachable,
             "stairspur: the store gave no answer and nothing was applied (late); check --store, "
             "or apply again when the store is back\n"},
            {PublishOutcome::Unknown, ExitCode::Unknown,
             "stairspur: the store's answer was lost and the file may be in force (late); see "
             "stairspur status, or apply the same file again, which does no harm\n"},
            {PublishOutcome::Rejected, ExitCode::Failed,
             "stairspur: the store refuses this configuration (late); see the store's limits in "
             "docs/operations/configuration.md\n"},
    };
    for (const auto &it : cases) {
        const auto report = reportPublishing(makeResult(it.outcome));
        cr_assert(report.exitCode == it.exitCode, "%s", it.text);
        const auto isOk = it.exitCode == ExitCode::Ok;
        cr_assert_eq(isOk ? report.text : report.problems, it.text);
        cr_assert((isOk ? report.problems : report.text).empty());
        cr_assert_eq(report.json.contains("error"), !isOk);
        cr_assert_eq(report.json.at("result"), nameOf(it.outcome));
        cr_assert_eq(report.json.at("inForce").at("version"), 12);
    }
}

Test(Apply, publishesTheWholeFileUnderAnIdOfItsOwn)
{
    auto fake = FakePublisher();
    const auto options = ApplyOptions{"ana", 12, 40};
    cr_assert(apply(config::smallFile, "f", options, fake.publisher()).exitCode == ExitCode::Ok);
    cr_assert(apply(config::smallFile, "f", {}, fake.publisher()).exitCode == ExitCode::Ok);
    const auto &first = fake.requests.at(0);
    cr_assert(first.sections
              == config::splitIntoSections(config::readConfiguration(config::smallFile, "f")));
    cr_assert_eq(first.appliedBy, "ana");
    cr_assert(first.expectedVersion == 12);
    cr_assert_eq(first.minimumVersion, 40);
    cr_assert_eq(first.applyId.size(), 32);
    cr_assert_neq(first.applyId, fake.requests.at(1).applyId);
    cr_assert(!fake.requests.at(1).expectedVersion);
}

Test(Apply, aFaultyFileNeverReachesTheStore)
{
    auto fake = FakePublisher();
    const auto report = apply("x = 1\n", "f", {}, fake.publisher());
    cr_assert(report.exitCode == ExitCode::Failed);
    cr_assert(report.problems.starts_with("f:1:1: "));
    cr_assert(fake.requests.empty());
}
