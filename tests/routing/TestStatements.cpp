#include <criterion/criterion.h>

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static auto stating(std::uint64_t sequence, double rate) -> admission::LoadReport
{
    auto report = makeReport(sequence, 0);
    report.statement = admission::InstanceStatement{7, {.rateLimit = rate}};
    return report;
}

Test(UpstreamStatements, outlastARestartOfTheNodeAndItsAbsence)
{
    auto upstreams = makeUpstreams("own", 2);
    auto bench = PoolFixture(upstreams);
    bench.pool.didReceiveReport("own0", stating(1, 12.3), bench.now);
    cr_assert(bench.pool.statementOf("own0").statement.rateLimit == 12.3);
    upstreams[0].incarnation = 2;
    bench.pool.setUpstreams(upstreams, bench.now);
    cr_assert(bench.pool.statementOf("own0").statement.rateLimit == 12.3);
    bench.pool.setUpstreams(std::span(upstreams).subspan(1), bench.now);
    bench.pool.setUpstreams(upstreams, bench.now + Millisecond * 5'000);
    cr_assert(bench.pool.statementOf("own0").statement.rateLimit == 12.3);
    cr_assert(bench.pool.statementOf("own1").statement.isEmpty());
}

Test(UpstreamStatements, followTheReports)
{
    auto bench = PoolFixture(makeUpstreams("own", 1));
    bench.pool.didReceiveReport("own0", stating(1, 12.3), bench.now);
    bench.pool.didReceiveReport("own0", makeReport(2, 0), bench.now);
    cr_assert(bench.pool.statementOf("own0").statement.rateLimit == 12.3,
              "a gate without an answer knows nothing");
    auto report = makeReport(3, 0);
    report.statement = admission::InstanceStatement();
    bench.pool.didReceiveReport("own0", report, bench.now);
    cr_assert(bench.pool.statementOf("own0").statement.isEmpty());
}
