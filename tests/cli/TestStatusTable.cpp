#include <criterion/criterion.h>

#include <algorithm>
#include <sstream>

#include <stairspur/cli/StatusTable.h>
#include <stairspur/cli/StatusWatch.h>

using namespace stairspur;
using namespace stairspur::cli;

Test(StatusTable, agesAreReadable)
{
    struct
    {
        double seconds;
        const char *expected;
    } cases[] = {
            {0, "0.0 s ago"},   {0.44, "0.4 s ago"}, {9.9, "9.9 s ago"},    {10.2, "10 s ago"},
            {599, "599 s ago"}, {600, "10 min ago"}, {7200, "120 min ago"},
    };
    for (const auto &it : cases)
        cr_expect_eq(describeAge(it.seconds), it.expected, "%g", it.seconds);
}

Test(StatusTable, ownDomainThatIsCutOffIsSaidToBeTheOwn)
{
    auto node = NodeSummary{.node = "a", .failureDomain = "d"};
    node.members["d"] = {.alive = 1, .suspect = 2, .isCutOff = true};
    cr_assert_neq(renderStatusTable(node).find(
                          "CUT OFF: no other node of this node's own failure domain d is alive as "
                          "far as this node knows (2 suspect, 0 dead); not heard by this node in "
                          "the last 10 minutes\n"),
                  std::string::npos);
}

Test(StatusTable, isBoundedAndCountsWhatItLeavesOut)
{
    auto node = NodeSummary{.node = "a", .failureDomain = "d"};
    for (auto n = 0; n < 8000; ++n) {
        node.members["d" + std::to_string(n)] = {.suspect = 1, .isCutOff = n % 2 == 0};
        node.judged.push_back({.node = "n" + std::to_string(n), .liveness = "suspect"});
    }
    const auto text = renderStatusTable(node);
    cr_assert_leq(std::count(text.begin(), text.end(), '\n'), 60);
    for (const auto *it :
         {"and 7970 more failure domains;", "and 3990 more failure domains that are cut off;",
          "and 7990 more nodes;"})
        cr_expect_neq(text.find(it), std::string::npos, "%s", it);
}

Test(StatusWatch, showsEachLookOnAClearedTerminalUntilInterrupted)
{
    auto out = std::ostringstream();
    auto looks = 0;
    const auto look = [&] {
        ++looks;
        const auto exitCode = looks == 3 ? ExitCode::Unreachable : ExitCode::Ok;
        return CommandReport{exitCode, "look " + std::to_string(looks) + "\n", {}};
    };
    const auto report = watchReports(
            look, [&] { return looks < 3; }, out);
    cr_assert_eq(out.str(), "\x1b[H\x1b[2Jlook 1\n\x1b[H\x1b[2Jlook 2\n\x1b[H\x1b[2Jlook 3\n");
    cr_assert(report.exitCode == ExitCode::Unreachable);
    cr_assert(report.text.empty());
}

Test(StatusWatch, endsWhenNobodyReadsAnyMore)
{
    auto out = std::ostringstream();
    out.setstate(std::ios::badbit);
    auto looks = 0;
    watchReports([&] { return ++looks, CommandReport(); }, [] { return true; }, out);
    cr_assert_eq(looks, 1);
}
