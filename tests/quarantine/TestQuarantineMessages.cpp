#include <stairspur/core/Error.h>
#include <stairspur/quarantine/Messages.h>

#include "VirtualFleet.h"

// Included after the standard headers, because its macros replace words that they use.
#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::quarantine;

Test(QuarantineMessages, writtenMessagesAreReadBack)
{
    const auto report = CrashReport{~std::uint64_t{0}, true, {requestOf(1), requestOf(2)}};
    const auto readReport = std::get<CrashReport>(readMessage(writeMessage(report)));
    cr_assert_eq(readReport.crash, report.crash);
    cr_assert(readReport.shouldForward);
    cr_assert_eq(readReport.requests, report.requests);

    const auto digest = std::get<Digest>(readMessage(writeMessage(Digest{7, true})));
    cr_assert(digest.hash == 7 && digest.isReply);

    auto records = Records{false, {{requestOf(3), {{1, false}, {2, true}}, Duration{5}}}};
    const auto read = std::get<Records>(readMessage(writeMessage(records)));
    cr_assert_eq(read.items.size(), 1);
    cr_assert_eq(read.items[0].request, requestOf(3));
    cr_assert_eq(read.items[0].crashes, records.items[0].crashes);
    cr_assert_eq(read.items[0].age.count(), 5);
}

/// Returns a fingerprint whose numbers have the longest encoding.
static auto longest(std::uint64_t n) -> RequestFingerprint
{
    return {~n, ~n};
}

Test(QuarantineMessages, longMessagesAreSplitWithinTheLimit)
{
    static constexpr auto MaxBytes = std::size_t{1'200};
    auto report = CrashReport{~std::uint64_t{0}, true, {}};
    auto records = Records{true, {}};
    for (auto n = std::uint64_t{0}; n < 200; ++n) {
        report.requests.push_back(longest(n));
        auto item = Records::Item{longest(n), {}, Duration{86'400'000'000}};
        for (auto crash = std::uint64_t{0}; crash < n % 13; ++crash)
            item.crashes.push_back({~crash, true});
        records.items.push_back(std::move(item));
    }
    auto requests = std::vector<RequestFingerprint>();
    for (const auto &it : splitCrashReport(report, MaxBytes)) {
        cr_expect_leq(writeMessage(it).size(), MaxBytes);
        cr_expect(it.crash == report.crash && it.shouldForward);
        requests.insert(requests.end(), it.requests.begin(), it.requests.end());
    }
    cr_expect_eq(requests, report.requests);
    auto items = std::vector<RequestFingerprint>();
    for (const auto &it : splitRecords(records, MaxBytes)) {
        cr_expect_leq(writeMessage(it).size(), MaxBytes);
        cr_expect(it.shouldForward);
        for (const auto &item : it.items)
            items.push_back(item.request);
    }
    cr_expect_eq(items, report.requests);
    cr_expect(splitCrashReport({}, MaxBytes).empty());
    cr_expect(splitRecords({}, MaxBytes).empty());
}

Test(QuarantineMessages, malformedMessagesAreRejected)
{
    const auto digest = writeMessage(Digest{7, true});
    for (auto n = std::size_t{0}; n < digest.size(); ++n)
        cr_expect_throw(readMessage(digest.substr(0, n)), InputError);
    cr_expect_throw(readMessage(""), InputError);
    cr_expect_throw(readMessage("\x83\x09\x07\xf5"), InputError, "unknown kind");
    cr_expect_throw(readMessage("\x83\x02\x20\xf5"), InputError, "negative");
    cr_expect_throw(readMessage("\x83\x02\xf9\x3e\x01\xf5"), InputError, "fraction");
    cr_expect_throw(readMessage("\xa0"), InputError, "map");
}

Test(RequestFingerprint, differsForEachPartOfARequest)
{
    const auto same = RequestIdentity{.service = "menu",
                                      .caller = "c",
                                      .method = "GET",
                                      .host = "h",
                                      .target = "/a?x=1",
                                      .body = "b"};
    auto cases = std::vector<RequestIdentity>(6, same);
    cases[0].service = "maps";
    cases[1].caller = "d";
    cases[2].method = "POST";
    cases[3].host = "i";
    cases[4].target = "/a?x=2";
    cases[5].body = "";
    for (const auto &it : cases)
        cr_expect_neq(fingerprintOf(it), fingerprintOf(same));
    cr_expect_eq(fingerprintOf(same), fingerprintOf(RequestIdentity(same)));
    auto shifted = same;
    shifted.method = "GETh";
    shifted.host = "";
    cr_expect_neq(fingerprintOf(shifted), fingerprintOf(same), "adjacent parts are kept apart");
    cr_expect_eq(fingerprintOf(same).name().size(), 12);
}
