#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <string>

#include <unistd.h>

#include <stairspur/log/Log.h>

using namespace stairspur;

/// What the writer gives out for what `write` logs: less than a pipe holds.
template <typename Write>
static auto linesOf(Write write, std::uint32_t decisionSample = 1) -> std::string
{
    auto ends = std::array<int, 2>{};
    cr_assert_eq(pipe(ends.data()), 0);
    const auto before = dup(STDERR_FILENO);
    dup2(ends[1], STDERR_FILENO);
    log::start({log::Severity::Info, "192.0.2.7:7100", decisionSample});
    write();
    log::stop();
    std::fflush(stderr);
    dup2(before, STDERR_FILENO);
    close(ends[1]);
    close(before);
    auto text = std::string();
    auto buf = std::array<char, 4096>{};
    for (auto n = read(ends[0], buf.data(), buf.size()); n > 0;
         n = read(ends[0], buf.data(), buf.size()))
        text.append(buf.data(), static_cast<std::size_t>(n));
    close(ends[0]);
    return text;
}

/// Each of these, in a value, must stay one value of one line.
struct ForgeryCase
{
    const char *name;
    std::string value;
    const char *expected;
};

Test(Log, callersForgeNeitherLinesNorPairs)
{
    const ForgeryCase cases[] = {
            {"plain", "menu-catalogue", "value=menu-catalogue"},
            {"empty", "", "value=\"\""},
            {"line end", "x\nevent=forged", R"(value="x\x0aevent=forged")"},
            {"carriage return", "x\revent=forged", R"(value="x\x0devent=forged")"},
            {"pair", "x reason=forged", R"(value="x reason=forged")"},
            {"equals sign", "x=y", R"(value="x=y")"},
            {"closing quote", "x\" reason=forged", R"(value="x\" reason=forged")"},
            {"backslash", "x\\", R"(value="x\\")"},
            {"terminal escape", "\x1b[2J", R"(value="\x1b[2J")"},
            {"zero byte", std::string("x\0y", 3), R"(value="x\x00y")"},
            {"delete", "x\x7f", R"(value="x\x7f")"},
            {"next line, U+0085", "x\xc2\x85y", R"(value="x\xc2\x85y")"},
            {"line separator, U+2028", "x\xe2\x80\xa8y", R"(value="x\xe2\x80\xa8y")"},
            {"right to left, U+202E", "\xe2\x80\xae", R"(value="\xe2\x80\xae")"},
            {"no UTF-8", "\xff\xfe", R"(value="\xff\xfe")"},
            {"the library's own marks", "%level%msg%datetime", "value=%level%msg%datetime"},
    };
    const auto text = linesOf([&] {
        for (const auto &it : cases)
            log::Line(log::Severity::Info, "test").add("value", it.value);
    });
    auto start = std::size_t{0};
    for (const auto &it : cases) {
        const auto end = text.find('\n', start);
        cr_assert(end != std::string::npos, "%s: the line is missing", it.name);
        const auto line = text.substr(start, end - start);
        const auto expected =
                std::string(" level=I event=test ") + it.expected + " node=192.0.2.7:7100";
        cr_expect(line.ends_with(expected), "%s: %s", it.name, line.c_str());
        start = end + 1;
    }
    cr_assert_eq(start, text.size(), "there are more lines than events");
}

Test(Log, onlyTheSeveritiesAskedForAreWritten)
{
    const auto text = linesOf([] {
        log::Line(log::Severity::Debug, "hidden").add("a", 1);
        log::Line(log::Severity::Error, "shown").add("a", true).add("b", 0.5);
    });
    cr_assert(text.find("hidden") == std::string::npos);
    cr_assert(text.find("event=shown a=true b=0.5") != std::string::npos);
}

Test(Log, decisionsAreSampledByCount)
{
    auto sampled = 0;
    linesOf(
            [&] {
                for (auto i = 0; i < 100; ++i)
                    sampled += log::isDecisionSampled() ? 1 : 0;
            },
            10);
    cr_assert_eq(sampled, 10);
}
