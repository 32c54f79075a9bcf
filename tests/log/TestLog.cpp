#include <criterion/criterion.h>

#include <algorithm>

#include <stairspur/core/Outcome.h>

#include "CapturedLog.h"

using namespace stairspur;
using namespace stairspur::log;
using namespace std::string_literals;

/// Returns the part of a line after its time and level.
static auto eventOf(const std::string &log) -> std::string
{
    const auto at = log.find("event=");
    return at == std::string::npos ? log : log.substr(at);
}

Test(Log, valuesCannotForgeALineOrAPair)
{
    struct
    {
        const char *name;
        std::string value;
        const char *expected;
    } cases[] = {
            {"plain", "menu-catalogue:7100", "v=menu-catalogue:7100"},
            {"empty", "", R"(v="")"},
            {"space", "a b", R"(v="a b")"},
            {"pair", "a outcome=answered", R"(v="a outcome=answered")"},
            {"equals sign", "a=b", R"(v="a=b")"},
            {"quote", R"(a" b="c)", R"(v="a\" b=\"c")"},
            {"backslash", R"(a\)", R"(v="a\\")"},
            {"escaped quote", R"(\" b=)", R"(v="\\\" b=")"},
            {"newline", "a\nlevel=E event=x", R"(v="a\x0alevel=E event=x")"},
            {"carriage return", "a\rb", R"(v="a\x0db")"},
            {"tab", "a\tb", R"(v="a\x09b")"},
            {"terminal escape sequence", "\x1b[2J", R"(v="\x1b[2J")"},
            {"null byte", "a\0b"s, R"(v="a\x00b")"},
            {"delete", "a\x7f", R"(v="a\x7f")"},
            {"non-ASCII text", "\xc5\xbei", R"(v="\xc5\xbei")"},
            {"Unicode line separators", "a\xc2\x85\xe2\x80\xa8", R"(v="a\xc2\x85\xe2\x80\xa8")"},
            {"invalid UTF-8", "\xff", R"(v="\xff")"},
            {"percent signs", "%s%n%datetime", "v=%s%n%datetime"},
    };
    for (const auto &it : cases) {
        auto log = CapturedLog({});
        Line(Severity::Info, "e").add("v", std::string_view(it.value)).add("end", true);
        const auto text = log.finish();
        const auto expected = "event=e "s + it.expected + " end=true\n";
        cr_expect_eq(eventOf(text), expected, "%s: %s", it.name, text.c_str());
        cr_expect_eq(std::count(text.begin(), text.end(), '\n'), 1, "%s", it.name);
    }
}

Test(Log, lineHasTimeLevelAndNode)
{
    auto log = CapturedLog({Severity::Info, "192.0.2.7:7100", 1});
    Line(Severity::Warning, "route")
            .add("reason", Reason::BelowFloor)
            .add("wait_us", Duration{250})
            .add("share", 0.25)
            .add("n", 7U);
    const auto text = log.finish();
    cr_assert(text.starts_with("time=20"), "%s", text.c_str());
    cr_assert(text.find(" level=W event=route ") != std::string::npos, "%s", text.c_str());
    cr_assert_eq(eventOf(text), "event=route reason=below-floor wait_us=250 share=0.25 n=7 "
                                "node=192.0.2.7:7100\n");
}

Test(Log, linesBelowMinimumSeverityAreNotWritten)
{
    auto log = CapturedLog({Severity::Warning, "", 1});
    cr_assert(!isEnabled(Severity::Info));
    Line(Severity::Info, "quiet").add("n", 1);
    Line(Severity::Error, "loud").add("n", 2);
    cr_assert_eq(eventOf(log.finish()), "event=loud n=2\n");
}

Test(Log, samplesOneOfEachFourDecisions)
{
    auto log = CapturedLog({Severity::Info, "", 4});
    auto sampled = 0;
    for (auto n = 0; n < 40; ++n)
        sampled += isDecisionSampled() ? 1 : 0;
    cr_assert_eq(sampled, 10);
    log.finish();
}

/// Lines that are logged before the writer starts wait as they do while it falls behind.
Test(Log, aFloodOfDecisionsDisplacesNoAuditLine)
{
    static constexpr auto AuditLines = 400;
    for (auto n = 0; n < 25'000; ++n)
        Line(Severity::Info, "d");
    for (auto n = 0; n < AuditLines; ++n)
        Line(Severity::Info, "audit", LineKind::Audit).add("n", n);
    auto log = CapturedLog({Severity::Info, "", 100});
    const auto text = log.finish();
    cr_expect(text.find("event=log-dropped lines=5000 audit_lines=0") != std::string::npos);
    for (auto n = 0; n < AuditLines; ++n)
        cr_expect(text.find("event=audit n=" + std::to_string(n) + "\n") != std::string::npos, "%d",
                  n);
}

Test(Log, auditLinesPastTheirBoundAreCounted)
{
    for (auto n = 0; n < 6'000; ++n)
        Line(Severity::Info, "a", LineKind::Audit);
    auto log = CapturedLog({});
    const auto text = log.finish();
    const auto written = std::count(text.begin(), text.end(), '\n') - 1;
    const auto at = text.find("event=log-dropped lines=0 audit_lines=");
    cr_assert(at != std::string::npos);
    cr_expect_eq(written + std::stoi(text.substr(text.rfind('=') + 1)), 6'000);
    cr_expect_geq(written, 5'000);
}
