#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "../../source/node/DomainSummary.h"
#include "../../source/node/StatusReport.h"

using namespace stairspur;
using namespace stairspur::node;
using membership::Liveness;
using membership::ServingState;

static auto member(const char *node, const char *domain, Liveness liveness,
                   ServingState state = ServingState::Serving) -> membership::Member
{
    auto member = membership::Member();
    member.node = node;
    member.domain = domain;
    member.liveness = liveness;
    member.state = state;
    return member;
}

Test(DomainSummary, marksDomainsThatAreCutOff)
{
    struct
    {
        const char *name;
        std::vector<membership::Member> members;
        bool isCutOff;
    } cases[] = {
            {"one is alive",
             {member("a", "d", Liveness::Alive), member("b", "d", Liveness::Dead)},
             false},
            {"all suspect",
             {member("a", "d", Liveness::Suspect), member("b", "d", Liveness::Suspect)},
             true},
            {"suspect and dead",
             {member("a", "d", Liveness::Suspect), member("b", "d", Liveness::Dead)},
             true},
            {"all left", {member("a", "d", Liveness::Dead, ServingState::Left)}, false},
            {"left and dead",
             {member("a", "d", Liveness::Dead, ServingState::Left),
              member("b", "d", Liveness::Dead)},
             true},
            {"alive without backend server",
             {member("a", "d", Liveness::Alive, ServingState::Left)},
             false},
            {"this node only", {member("self", "d", Liveness::Alive)}, false},
            {"this node and a suspect one",
             {member("self", "d", Liveness::Alive), member("b", "d", Liveness::Suspect)},
             true},
    };
    for (const auto &it : cases) {
        const auto domains = summarizeDomains({it.members}, {}, "self");
        cr_expect_eq(domains.at("d").isCutOff, it.isCutOff, "%s", it.name);
    }
}

Test(DomainSummary, countsMembersAndTakesTheLatestReport)
{
    const auto reported = ReportedVersionMap{
            {"self", {1, Duration{1}}}, {"a", {1, Duration{500}}}, {"b", {1, Duration{300}}}};
    const auto view = membership::MembershipView{
            {member("self", "d", Liveness::Alive), member("a", "d", Liveness::Suspect),
             member("b", "d", Liveness::Alive, ServingState::Draining),
             member("c", "d", Liveness::Dead, ServingState::Left),
             member("x", "e", Liveness::Alive, ServingState::Starting)}};
    const auto domains = summarizeDomains(view, reported, "self");
    const auto &own = domains.at("d");
    cr_assert_eq(own.alive, 2);
    cr_assert_eq(own.suspect, 1);
    cr_assert_eq(own.dead, 0);
    cr_assert_eq(own.left, 1);
    cr_assert_eq(own.serving, 1);
    cr_assert_eq(own.draining, 1);
    cr_assert_eq(own.lastSeenAge->count(), 300);
    cr_assert_eq(domains.at("e").starting, 1);
    cr_assert(!domains.at("e").lastSeenAge);
}

Test(LivenessHistory, recordsSinceWhenANodeIsSuspectOrDead)
{
    auto history = LivenessHistory();
    const auto at = [](int seconds) { return TimePoint(std::chrono::seconds(seconds)); };
    history.didChangeView({{member("a", "d", Liveness::Alive)}}, at(1));
    cr_assert(!history.since("a"));
    history.didChangeView({{member("a", "d", Liveness::Suspect)}}, at(2));
    history.didChangeView({{member("a", "d", Liveness::Suspect)}}, at(3));
    cr_assert(history.since("a") == at(2));
    history.didChangeView({{member("a", "d", Liveness::Dead)}}, at(4));
    cr_assert(history.since("a") == at(4));
    history.didChangeView({{member("a", "d", Liveness::Alive)}}, at(5));
    cr_assert(!history.since("a"));
}

Test(StatusReport, containsAgesOfReportsAndJudgements)
{
    auto settings = NodeSettings();
    settings.failureDomain = "d";
    auto board = NodeBoard();
    const auto view = membership::MembershipView{
            {member("a", "d", Liveness::Alive), member("b", "e", Liveness::Suspect)}};
    board.members.publish(view);
    auto history = LivenessHistory();
    history.didChangeView(view, TimePoint(std::chrono::seconds(10)));
    const auto reported = ReportedVersionMap{{"a", {7, Duration{1'500'000}}}};
    const auto report = nlohmann::json::parse(
            statusReport(settings, board, reported, history, TimePoint(std::chrono::seconds(14))));
    const auto &members = report.at("members");
    cr_assert_eq(members[0].at("heardSecondsAgo"), 1.5);
    cr_assert(members[0].at("judgedSecondsAgo").is_null());
    cr_assert(members[1].at("heardSecondsAgo").is_null());
    cr_assert_eq(members[1].at("judgedSecondsAgo"), 4.0);
    const auto &domains = report.at("domains");
    cr_assert_eq(domains[0].at("cutOff"), false);
    cr_assert_eq(domains[1].at("failureDomain"), "e");
    cr_assert_eq(domains[1].at("cutOff"), true);
    cr_assert_eq(report.at("configuration").at("domains").at("d").at("7"), 1);
}
