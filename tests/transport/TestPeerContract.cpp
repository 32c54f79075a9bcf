#include <criterion/criterion.h>

#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

#include "../../source/transport/CallCodec.h"
#include "FakePeer.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

static constexpr auto LongTimeout = Duration(20'000'000);

static auto settings() -> PeerSettings
{
    auto settings = PeerSettings{.ownNode = "real", .secret = {}};
    settings.connectTimeout = LongTimeout;
    settings.maxBodyBytes = 10'000;
    return settings;
}

static auto answerFields() -> std::string
{
    return writeAnswer(CallAnswer{.outcome = Outcome::Answered, .status = 200});
}

static auto head(FrameKind kind, CallId id, const std::string &fields, const std::string &body)
        -> std::string
{
    return writeHead(kind, id, body.size(), hashMessage(id, fields, body), fields, body);
}

/// A real client whose calls go to a fake server.
struct ClientFixture
{
    ClientFixture()
        : acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , client(io, settings())
        , node("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
    {
        answers.reserve(8);
    }

    auto begin() -> std::size_t
    {
        const auto index = answers.size();
        answers.emplace_back();
        auto request = CallRequest{.service = "s", .remaining = LongTimeout};
        request.method = "GET";
        asio::co_spawn(io, client.call(node, std::move(request), cancellation),
                       [this, index](const std::exception_ptr &, CallAnswer it) {
                           answers[index] = std::move(it);
                       });
        return index;
    }

    auto answer(std::size_t index) -> const CallAnswer &
    {
        runUntil(io, [&] { return answers[index].has_value(); });
        return *answers[index];
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor;
    PeerClient client;
    NodeId node;
    CancellationPtr cancellation;
    std::vector<std::optional<CallAnswer>> answers;
};

static auto nextCall(FakePeer &peer) -> CallId
{
    const auto bytes = peer.next();
    const auto frame = readFrame(bytes);
    cr_assert(frame.kind == FrameKind::Call);
    return frame.id;
}

Test(PeerContract, crossedAndLateAnswersAreNeverMatchedToAnotherCall)
{
    auto it = ClientFixture();
    it.cancellation = std::make_shared<Cancellation>();
    const auto given = it.begin();
    const auto cancellation = std::exchange(it.cancellation, nullptr);
    auto peer = FakePeer(it.io, it.acceptor);
    peer.shakeHands();
    const auto a = nextCall(peer);
    cancellation->cancel();
    cr_assert(it.answer(given).reason == Reason::Cancelled);
    const auto bytes = peer.next();
    cr_assert(readFrame(bytes).kind == FrameKind::Cancel);
    cr_assert_eq(readFrame(bytes).id, a);

    const auto first = it.begin();
    const auto b = nextCall(peer);
    const auto second = it.begin();
    const auto c = nextCall(peer);
    cr_assert(a != b && b != c && a != c);
    const auto fields = answerFields();
    peer.send(head(FrameKind::Answer, a, fields, "late"));
    peer.send(head(FrameKind::Answer, 4711, fields, "invented"));
    peer.send(head(FrameKind::Answer, c, fields, "c"));
    peer.send(head(FrameKind::Answer, c, fields, "again"));
    peer.send(head(FrameKind::Answer, b, fields, "b"));
    cr_assert_eq(it.answer(first).body, "b");
    cr_assert_eq(it.answer(second).body, "c");
    cr_assert_eq(it.client.traffic().droppedAnswers, 3);
}

Test(PeerContract, interleavedPiecesAreSortedByCall)
{
    auto it = ClientFixture();
    const auto first = it.begin();
    auto peer = FakePeer(it.io, it.acceptor);
    peer.shakeHands();
    const auto a = nextCall(peer);
    const auto second = it.begin();
    const auto b = nextCall(peer);
    const auto fields = answerFields();
    peer.send(writeHead(FrameKind::Answer, a, 4, hashMessage(a, fields, "aaAA"), fields, "a"));
    peer.send(writeHead(FrameKind::Answer, b, 3, hashMessage(b, fields, "bBB"), fields, "b"));
    peer.send(writeData(a, "aA"));
    peer.send(writeData(b, "BB"));
    peer.send(writeData(a, "A"));
    cr_assert_eq(it.answer(first).body, "aaAA");
    cr_assert_eq(it.answer(second).body, "bBB");
}

Test(PeerContract, damagedAnswersAreUnknown)
{
    const auto fields = answerFields();
    struct Case
    {
        const char *name;
        std::uint64_t length;
        std::string hashed;
        std::string fields;
        std::vector<std::string> pieces;
    };
    const auto cases = std::vector<Case>{
            {"other body", 4, "body", fields, {"bodY"}},
            {"other body in pieces", 4, "body", fields, {"bo", "DY"}},
            {"too long", 4, "body", fields, {"body!"}},
            {"pieces too long", 4, "body", fields, {"bo", "dy!"}},
            {"ends early", 4, "body", fields, {"bo", ""}},
            {"too large", 20'000, "body", fields, {"body"}},
            {"garbage fields", 4, "body", "\xff garbage", {"body"}},
    };
    for (const auto &[name, length, hashed, sentFields, pieces] : cases) {
        auto it = ClientFixture();
        const auto index = it.begin();
        auto peer = FakePeer(it.io, it.acceptor);
        peer.shakeHands();
        const auto id = nextCall(peer);
        peer.send(writeHead(FrameKind::Answer, id, length, hashMessage(id, sentFields, hashed),
                            sentFields, pieces[0]));
        for (std::size_t n = 1; n < pieces.size(); ++n)
            peer.send(writeData(id, pieces[n]));
        const auto &answer = it.answer(index);
        cr_assert(answer.outcome == Outcome::Unknown, "%s", name);
        cr_assert(answer.reason == Reason::DamagedAnswer, "%s", name);
        cr_assert_geq(it.client.traffic().damagedFrames, 1, "%s", name);
        // The link lives on: the next call on it is answered.
        const auto next = it.begin();
        peer.send(head(FrameKind::Answer, nextCall(peer), fields, "fine"));
        cr_assert_eq(it.answer(next).body, "fine", "%s", name);
    }
}

Test(PeerContract, linkThatIsCutLeavesItsCallsUnknown)
{
    auto it = ClientFixture();
    const auto index = it.begin();
    auto peer = FakePeer(it.io, it.acceptor);
    peer.shakeHands();
    nextCall(peer);
    peer.abort();
    cr_assert(it.answer(index).outcome == Outcome::Unknown);
    cr_assert(it.answer(index).reason == Reason::LinkLost);
    cr_assert(it.answer(index).wasDispatched);
    cr_assert_eq(it.client.links(), 0);
}

Test(PeerContract, farEndThatGoesAwayHasNotRunWhatItDidNotAnswer)
{
    auto it = ClientFixture();
    const auto index = it.begin();
    auto peer = FakePeer(it.io, it.acceptor);
    peer.shakeHands();
    nextCall(peer);
    peer.close();
    cr_assert(it.answer(index).outcome == Outcome::NotRun);
    cr_assert(it.answer(index).reason == Reason::LinkLost);
}

Test(PeerContract, linkThatIsCutBeforeItIsReadyIsNotRun)
{
    auto it = ClientFixture();
    const auto index = it.begin();
    {
        auto peer = FakePeer(it.io, it.acceptor);
        peer.send(writeHello("fake", "nonce"));
        peer.next();
    }
    cr_assert(it.answer(index).outcome == Outcome::NotRun);
    cr_assert(it.answer(index).reason == Reason::LinkLost);
}

Test(PeerContract, silentPeerIsTakenForBroken)
{
    auto io = asio::io_context();
    auto acceptor = asio::ip::tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0});
    auto impatient = settings();
    impatient.connectTimeout = Duration(100'000);
    auto client = PeerClient(io, impatient);
    const auto node = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    // The kernel accepts the connection, but nobody ever speaks.
    const auto answer = runTask(
            io, client.call(node, CallRequest{.service = "s", .remaining = LongTimeout}, nullptr));
    cr_assert(answer.outcome == Outcome::NotRun);
    cr_assert(answer.reason == Reason::LinkLost);
}

Test(PeerContract, garbageClosesTheLinkAndTheServerLives)
{
    const auto call = writeCall(CallRequest{.service = "s"});
    const auto good = head(FrameKind::Call, 1, call, "");
    const auto cases = std::vector<std::pair<const char *, std::vector<std::string>>>{
            {"garbage", {"\xff\xff\xff garbage"}},
            {"empty", {""}},
            {"truncated", {good.substr(0, good.size() - 1)}},
            {"unknown kind", {"\x82\x08\x01"}},
            {"map", {"\xa1\x01\x02"}},
            {"second hello", {writeHello("fake", "nonce")}},
            {"second proof", {writeProof("")}},
            {"used id", {head(FrameKind::Request, 2, writeRequest("t"), ""), good}},
            {"answer", {head(FrameKind::Answer, 1, answerFields(), "")}},
            {"fields", {head(FrameKind::Call, 1, "\x01", "")}},
    };
    auto io = asio::io_context();
    auto server = PeerServer(io, "127.0.0.1", 0, settings());
    auto runs = 0;
    server.setCallHandler([&](NodeId, CallRequest, CancellationPtr) -> Task<CallAnswer> {
        ++runs;
        co_return CallAnswer{.outcome = Outcome::Answered};
    });
    server.start();
    auto expected = std::uint64_t{0};
    for (const auto &[name, frames] : cases) {
        auto peer = FakePeer(io, server.port());
        peer.shakeHands();
        for (const auto &it : frames)
            peer.send(it);
        peer.waitForClose();
        cr_assert_eq(server.traffic().damagedFrames, ++expected, "%s", name);
    }
    cr_assert_eq(runs, 0);
    auto peer = FakePeer(io, server.port());
    peer.shakeHands();
    peer.send(good);
    cr_assert(readFrame(peer.next()).kind == FrameKind::Answer);
    cr_assert_eq(runs, 1);
}

Test(PeerContract, callsBeforeTheProofAreRefused)
{
    auto io = asio::io_context();
    auto secured = settings();
    secured.secret = "secret";
    auto server = PeerServer(io, "127.0.0.1", 0, secured);
    auto runs = 0;
    server.setCallHandler([&](NodeId, CallRequest, CancellationPtr) -> Task<CallAnswer> {
        ++runs;
        co_return CallAnswer();
    });
    server.start();
    const auto call = head(FrameKind::Call, 1, writeCall(CallRequest()), "");
    const auto cases = std::vector<std::vector<std::string>>{
            {call},
            {writeHello("fake", "nonce"), call},
            {writeHello("fake", "nonce"), writeProof("wrong"), call},
            {writeHello("fake", "nonce"), writeProof(""), call},
            {writeProof(""), call},
            {writeHello("fake", ""), call},
    };
    for (const auto &frames : cases) {
        auto peer = FakePeer(io, server.port());
        for (const auto &it : frames)
            peer.send(it);
        peer.waitForClose();
    }
    cr_assert_eq(runs, 0);
    auto peer = FakePeer(io, server.port(), "secret");
    peer.shakeHands();
    peer.send(call);
    cr_assert(readFrame(peer.next()).kind == FrameKind::Answer);
}

Test(PeerContract, damagedCallIsNotRun)
{
    auto io = asio::io_context();
    auto server = PeerServer(io, "127.0.0.1", 0, settings());
    auto runs = 0;
    server.setCallHandler([&](NodeId, CallRequest, CancellationPtr) -> Task<CallAnswer> {
        ++runs;
        co_return CallAnswer();
    });
    server.start();
    auto peer = FakePeer(io, server.port());
    peer.shakeHands();
    const auto fields = writeCall(CallRequest());
    peer.send(writeHead(FrameKind::Call, 1, 4, hashMessage(1, fields, "body"), fields, "bodY"));
    const auto bytes = peer.next();
    const auto answer = readAnswer(readFrame(bytes).fields);
    cr_assert(answer.outcome == Outcome::NotRun);
    cr_assert(answer.reason == Reason::DamagedAnswer);
    cr_assert_eq(runs, 0);
}

Test(PeerContract, whatIsNoWebsocketIsClosed)
{
    auto io = asio::io_context();
    auto impatient = settings();
    impatient.connectTimeout = Duration(100'000);
    auto server = PeerServer(io, "127.0.0.1", 0, impatient);
    server.start();
    const auto cases = std::vector<std::string>{
            "\x16\x03\x01 hello\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            std::string(100'000, 'x'), "GET / HTTP/1.1\r\nHost"};
    for (const auto &it : cases) {
        auto peer = RawPeer(io, server.port());
        peer.write(it);
        peer.readAll();
    }
}
