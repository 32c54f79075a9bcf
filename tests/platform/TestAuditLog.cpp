#include "../log/CapturedLog.h"
#include "PlatformPath.h"

/// The log lines from which an operator learns what happened to a request that must run once.
using namespace stairspur;

/// Collectors that cut lines keep so much of each.
static constexpr auto KeptBytes = std::size_t{200};

/// Returns what a collector keeps of the lines of one event.
static auto keptLines(const std::string &log, const std::string &event) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    auto stream = std::istringstream(log);
    for (auto line = std::string(); std::getline(stream, line);) {
        if (line.find(" event=" + event + " ") != std::string::npos)
            lines.push_back(line.substr(0, KeptBytes));
    }
    return lines;
}

static auto contains(const std::vector<std::string> &lines, const std::string &text) -> bool
{
    return std::ranges::any_of(lines,
                               [&](const auto &it) { return it.find(text) != std::string::npos; });
}

/// Sends `target`, which all backend servers reject, with a sample of decisions that takes in none of it.
static auto logOfRejected(const std::string &target, const std::string &id) -> std::string
{
    auto log = log::CapturedLog({log::Severity::Info, "sidecar-domzale-3", 1'000'000});
    log::isDecisionSampled(); // The first decision is always in the sample.
    {
        auto bench = PlatformPath();
        bench.addHosts([](int, const auto &) {
            auto response = backendAnswer(503, "full");
            response.headers.set("X-Not-Executed", "1");
            return response;
        });
        cr_expect_eq(bench.send(target, id).status, 503);
    }
    return log.finish();
}

Test(AuditLog, tellsEachSendOfAnOrderAndItsRefusalWithinTheFirst200Characters)
{
    const auto id = std::string("49f815dfc7e9cabf.f3a1429382a1d51d.d319dd76366affdd");
    const auto log = logOfRejected("/o/1", id);
    const auto sentAgain = keptLines(log, "retry");
    cr_assert_geq(sentAgain.size(), 1, "%s", log.c_str());
    for (const auto &it : sentAgain)
        cr_expect(it.find("id=" + id
                          + " decision=retry outcome=not-run reason=backend-shed "
                            "upstream=127.0.0.1:")
                          != std::string::npos,
                  "%s", it.c_str());
    cr_expect(contains(keptLines(log, "refused-after-send"),
                       "id=" + id + " outcome=not-run reason="));
    cr_expect(contains(keptLines(log, "backend-not-run"),
                       "id=" + id + " reason=backend-shed instance="));
}

Test(AuditLog, hasNoLinesOfRequestsThatMayRunAgain)
{
    const auto log = logOfRejected("/v/1", "view");
    for (const auto *it : {"retry", "refused-after-send", "backend-not-run"})
        cr_expect(keptLines(log, it).empty(), "%s", log.c_str());
}
