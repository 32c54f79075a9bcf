#include <criterion/criterion.h>

#include <stairspur/transport/PeerClient.h>

#include "../../source/transport/CallCodec.h"
#include "FakePeer.h"
#include "PeerPair.h"
#include "Relay.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

static constexpr auto PingInterval = Duration(10'000);
/// A ping of the connecting end: a frame header of two bytes and a mask of four (RFC 6455, section 5.2).
static constexpr auto PingBytes = std::uint64_t{6};

static auto settingsWith(const std::string &node, Duration idlePingInterval) -> PeerSettings
{
    auto it = PeerSettings{.ownNode = node, .secret = {}};
    it.connectTimeout = LongTimeout;
    it.pingInterval = PingInterval;
    it.idlePingInterval = idlePingInterval;
    return it;
}

/// A link of a client to a fake peer, with one call on it.
struct FakeLink
{
    FakeLink(asio::io_context &loop, PeerClient &client)
        : io(loop)
        , acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        const auto node = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        asio::co_spawn(
                io, client.call(node, callOf("x"), nullptr),
                [this](const std::exception_ptr &, CallAnswer it) { answer = std::move(it); });
        peer = std::make_unique<FakePeer>(io, acceptor);
        peer->shakeHands();
        call = readFrame(peer->next()).id;
        seen = peer->bytesReceived();
    }

    auto answerCall() -> void
    {
        const auto fields = writeAnswer(CallAnswer{.outcome = Outcome::Answered, .status = 200});
        peer->send(
                writeHead(FrameKind::Answer, call, 0, hashMessage(call, fields, ""), fields, ""));
        runUntil(io, [this] { return answer.has_value(); });
    }

    [[nodiscard]] auto pings() const -> std::uint64_t
    {
        return (peer->bytesReceived() - seen) / PingBytes;
    }

    auto waitForPings(std::uint64_t n) -> void
    {
        const auto atLeast = pings() + n;
        runUntil(io, [this, atLeast] { return pings() >= atLeast; });
    }

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    std::unique_ptr<FakePeer> peer;
    std::optional<CallAnswer> answer;
    CallId call = 0;
    std::uint64_t seen = 0;
};

Test(PeerIdle, onlyLinksThatACallWaitsOnArePingedOften)
{
    struct Case
    {
        const char *name;
        Duration idlePingInterval;
        bool isAnswered;
        bool isPinged;
    };
    const Case cases[] = {
            {"a call waits, idle links are pinged seldom", LongTimeout, false, true},
            {"nothing waits, idle links are pinged seldom", LongTimeout, true, false},
            {"nothing waits, idle links are pinged as often", PingInterval, true, true},
    };
    for (const auto &it : cases) {
        auto io = asio::io_context();
        auto client = PeerClient(io, settingsWith("client", it.idlePingInterval));
        auto clock = FakeLink(io, client); // A call waits here throughout: its pings tell the time.
        auto link = FakeLink(io, client);
        if (it.isAnswered)
            link.answerCall();
        clock.waitForPings(3);
        const auto before = link.pings();
        if (it.isPinged)
            link.waitForPings(5);
        clock.waitForPings(10);
        cr_expect(it.isPinged || link.pings() == before, "%s", it.name);
        cr_expect_eq(client.links(), 2, "%s", it.name);
    }
}

/// A server that answers all calls, over a relay that can go mute, beside a link whose pings tell the time.
struct DyingLink
{
    DyingLink()
        : pair(io, echo, settingsWith("server", LongTimeout), settingsWith("client", LongTimeout))
        , relay(io, pair.server.port())
        , clock(io, pair.client)
    {
        pair.node = "127.0.0.1:" + std::to_string(relay.port());
        cr_assert(pair.call(callOf("x")).outcome == Outcome::Answered);
        clock.waitForPings(3);
        relay.mute();
    }

    /// All pings of the client but those on the clock's link.
    auto pingsOnRelay() -> std::uint64_t
    {
        clock.waitForPings(1); // So that none of its pings is under way.
        return pair.client.traffic().controlBytesSent / PingBytes - clock.pings();
    }

    asio::io_context io;
    Pair pair;
    Relay relay;
    FakeLink clock;
};

Test(PeerIdle, callOnADeadIdleLinkFailsWithinThreePingIntervals)
{
    auto it = DyingLink();
    const auto before = it.pingsOnRelay();
    const auto answer = it.pair.call(callOf("x"));
    cr_assert(answer.outcome == Outcome::Unknown);
    cr_assert(answer.reason == Reason::LinkLost);
    cr_assert_eq(it.pair.client.links(), 1);
    // Pinged after the first and the second interval, given up after the third.
    cr_assert_eq(it.pingsOnRelay() - before, 2);
}

Test(PeerIdle, callsThatAreGivenUpDoNotHideThatTheLinkIsDead)
{
    static constexpr auto MostCalls = 5'000;
    auto it = DyingLink();
    auto calls = 0;
    for (; it.pair.client.links() == 2 && calls < MostCalls; ++calls)
        it.pair.call(callOf("x", PingInterval / 10));
    cr_assert_lt(calls, MostCalls);
}

Test(PeerIdle, linkThatWasSilentToACallIsGivenUpWithoutAnother)
{
    auto it = DyingLink();
    it.pair.call(callOf("x", PingInterval / 10));
    runUntil(it.io, [&] { return it.pair.client.links() == 1; });
}

Test(PeerIdle, linksThatNobodyUsesAreClosedAndOpenedAgainUponUse)
{
    auto io = asio::io_context();
    auto client = settingsWith("client", LongTimeout);
    client.idleLinkTimeout = PingInterval;
    auto pair = Pair(io, echo, settingsWith("server", LongTimeout), client);
    for (auto n = 0; n < 3; ++n) {
        cr_assert(pair.call(callOf("x")).outcome == Outcome::Answered);
        runUntil(io, [&] { return pair.client.links() == 0; });
    }
    // The server has been told of each close: nothing is left that would keep it from ending.
    auto isDrained = false;
    pair.server.drain([&] { isDrained = true; });
    runUntil(io, [&] { return isDrained; });
}

Test(PeerIdle, linksThatACallWaitsOnAreNotClosed)
{
    auto io = asio::io_context();
    auto settings = settingsWith("client", LongTimeout);
    settings.idleLinkTimeout = PingInterval / 2;
    auto client = PeerClient(io, settings);
    auto link = FakeLink(io, client);
    link.waitForPings(5);
    cr_assert_eq(client.links(), 1);
    link.answerCall();
    cr_assert(link.answer->outcome == Outcome::Answered);
    runUntil(io, [&] { return client.links() == 0; });
    link.peer->waitForClose();
}
