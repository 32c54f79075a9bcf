#include <criterion/criterion.h>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>
#include <stairspur/quota/QuotaGrantor.h>
#include <stairspur/quota/QuotaHolder.h>

using namespace stairspur;
using namespace stairspur::quota;
using namespace std::chrono_literals;

static constexpr auto Now = TimePoint{1h};
static constexpr auto Quota = config::RequestQuota{100, 100};

/// One of three hosts, with its QuotaHolder.
struct TestHost
{
    QuotaHolder holder{QuotaSettings(), 7, Now};

    TestHost() { holder.setNodes({{"a"}, {"b"}, {"c"}}, Now); }

    /// Returns the last request for tokens that it sent.
    auto lastRequest() -> TokenRequest
    {
        const auto sent = holder.takeDatagrams();
        cr_assert(!sent.empty());
        return std::get<TokenRequest>(readMessage(sent.back().payload));
    }

    auto grant(const TokenRequest &request, std::uint32_t tokens, Duration retryAfter,
               TimePoint now) -> void
    {
        holder.receive({request.number, request.caller, tokens, retryAfter, true}, now);
    }
};

Test(QuotaHolder, requestWaitsForGrant)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    cr_assert(host.holder.takeDecisions().empty());
    const auto request = host.lastRequest();
    cr_assert_eq(request.caller, "kitchen");
    cr_assert_eq(request.wanted, 1);
    host.grant(request, 1, 0us, Now + 2ms);
    const auto decisions = host.holder.takeDecisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert(decisions[0].isAdmitted);
    cr_assert(decisions[0].tokenExpiry == Now + 300ms,
              "the expiry counts from the request for tokens");
}

Test(QuotaHolder, requestsBeyondTheQuotaAreRefusedWithTheGrantorsRetryTime)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    host.grant(host.lastRequest(), 0, 400ms, Now + 2ms);
    host.holder.offer(2, "kitchen", Quota, Now + 3ms);
    const auto decisions = host.holder.takeDecisions();
    cr_assert_eq(decisions.size(), 2);
    for (const auto &it : decisions) {
        cr_expect(!it.isAdmitted);
        cr_expect(it.retryAfter == 400ms);
    }
    cr_assert(host.holder.takeDatagrams().empty(),
              "no request for tokens is sent before the retry time");
}

Test(QuotaHolder, returnedTokenAdmitsAnotherRequest)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    host.grant(host.lastRequest(), 1, 0us, Now + 2ms);
    const auto first = host.holder.takeDecisions().at(0);
    host.holder.returnToken("kitchen", first.tokenExpiry, Now + 50ms);
    host.holder.offer(2, "kitchen", Quota, Now + 60ms);
    cr_assert(host.holder.takeDecisions().at(0).isAdmitted);
    host.holder.returnToken("kitchen", first.tokenExpiry, Now + 301ms);
    host.holder.offer(3, "kitchen", Quota, Now + 302ms);
    cr_assert(host.holder.takeDecisions().empty(), "an expired token admits no request");
}

Test(QuotaHolder, unusedTokensAreReturnedBeforeTheyExpire)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    host.grant(host.lastRequest(), 5, 0us, Now + 2ms);
    host.holder.takeDatagrams();
    host.holder.tick(Now + 260ms);
    cr_assert_eq(host.lastRequest().returned, 4);
}

/// A host whose grantor is unreachable must admit its even share of the quota, and no more.
Test(QuotaHolder, evenShareIsAdmittedWithoutGrantor)
{
    auto host = TestHost();
    auto admitted = 0;
    for (auto n = 0; n < 2000; ++n) {
        const auto now = Now + n * 5ms;
        host.holder.offer(n, "kitchen", Quota, now);
        host.holder.tick(now);
        for (const auto &it : host.holder.takeDecisions())
            admitted += it.isAdmitted ? 1 : 0;
    }
    cr_assert(admitted > 300 && admitted < 350, "%d in 10 s, expected a third of 100 per second",
              admitted);
}

Test(QuotaHolder, tokensOfAReachableGrantorAreUsedAgain)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    host.holder.tick(Now + 100ms);
    host.holder.tick(Now + 200ms);
    cr_assert_eq(host.holder.takeDecisions().size(), 1,
                 "the request was decided without the grantor");
    host.holder.takeDatagrams();
    host.holder.offer(2, "kitchen", Quota, Now + 500ms);
    host.holder.takeDecisions();
    host.grant(host.lastRequest(), 9, 0us, Now + 501ms);
    host.holder.offer(3, "kitchen", Quota, Now + 502ms);
    cr_assert(host.holder.takeDecisions().at(0).isAdmitted);
}

Test(QuotaHolder, lateOrForgedGrantIsIgnored)
{
    auto host = TestHost();
    host.holder.offer(1, "kitchen", Quota, Now);
    auto request = host.lastRequest();
    request.number += 1;
    host.grant(request, 100, 0us, Now + 2ms);
    cr_assert(host.holder.takeDecisions().empty());
    request.number -= 1;
    host.grant(request, 100, 0us, Now + 301ms);
    cr_assert(host.holder.takeDecisions().empty(), "its tokens had expired on arrival");
}

Test(QuotaHolder, requestIsDecidedWithoutAnyNode)
{
    auto holder = QuotaHolder(QuotaSettings(), 7, Now);
    holder.offer(1, "kitchen", Quota, Now);
    cr_assert_eq(holder.takeDecisions().size(), 1);
}

Test(QuotaMessages, invalidMessagesAreRejected)
{
    const auto request = writeMessage(TokenRequest{1, "kitchen", 2, 3, true});
    const auto read = std::get<TokenRequest>(readMessage(request));
    cr_assert_eq(read.wanted, 2);
    cr_assert_eq(read.returned, 3);
    cr_assert(read.hasChangedGrantor);
    for (auto n = std::size_t{0}; n < request.size(); ++n)
        cr_expect_throw(readMessage(request.substr(0, n)), InputError, "%zu bytes", n);
    cr_expect_throw(readMessage(writeMessage(TokenRequest{1, "k", MaxTokens + 1, 0, false})),
                    InputError);
    cr_expect_throw(readMessage("\x81\x09"), InputError);
}

Test(QuotaMessages, historyAndEpochArrive)
{
    auto request = TokenRequest{1, "kitchen", 2, 0, true, 77, true};
    request.history = GrantWindow::History{9, 8, 7, 0, 0, 0, 0, 0, MaxTokens};
    const auto read = std::get<TokenRequest>(readMessage(writeMessage(request)));
    cr_assert_eq(read.epoch, 77);
    cr_assert(read.isLeaving);
    cr_assert(read.history == request.history);
    const auto grant = std::get<TokenGrant>(readMessage(
            writeMessage(TokenGrant{1, "kitchen", 0, Duration::zero(), true, 78, true})));
    cr_assert_eq(grant.epoch, 78);
    cr_assert(grant.needsHistory);
    request.history->back() = MaxTokens + 1;
    cr_expect_throw(readMessage(writeMessage(request)), InputError);
}

/// Nodes of older versions send neither epoch nor history during an upgrade.
Test(QuotaMessages, messagesOfOlderVersionsAreRead)
{
    const auto request = std::get<TokenRequest>(
            readMessage(toCbor(nlohmann::json::array({1, 5, "kitchen", 2, 0, true}))));
    cr_assert_eq(request.wanted, 2);
    cr_assert_not(request.history);
    auto grantor = QuotaGrantor(QuotaSettings(), "a", TimePoint(), 1);
    const auto now = TimePoint() + std::chrono::seconds(60);
    grantor.setNodes({{"a"}}, now);
    cr_assert_eq(grantor.grantTokens("b", request, {10, 10}, now).granted, 0,
                 "the bucket is empty after a takeover");
    const auto grant = std::get<TokenGrant>(
            readMessage(toCbor(nlohmann::json::array({2, 5, "kitchen", 2, 0, true}))));
    cr_assert_eq(grant.granted, 2);
    cr_assert_eq(grant.epoch, 0);
}

// A grantor that did not know what its hosts had used before it started granted them its whole quota.
Test(QuotaGrantor, hostOfAnEarlierEpochMustSendItsHistory)
{
    auto grantor = QuotaGrantor(QuotaSettings(), "a", TimePoint(), 2);
    const auto now = TimePoint() + std::chrono::seconds(60);
    grantor.setNodes({{"a"}}, now);
    auto request = TokenRequest{.number = 1, .caller = "kitchen", .wanted = 5, .epoch = 1};
    const auto refusal = grantor.grantTokens("b", request, {100, 100}, now);
    cr_assert(refusal.needsHistory);
    cr_assert_eq(refusal.granted, 0);
    request.epoch = 0;
    request.history = GrantWindow::History{600, 16};
    const auto later = now + std::chrono::seconds(2);
    grantor.grantTokens("b", request, {100, 100}, now);
    cr_assert_eq(grantor.grantTokens("b", request, {100, 100}, later).granted, 0,
                 "the caller has used its quota");
}
