#include <criterion/criterion.h>

#include <boost/asio/ip/udp.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/transport/DatagramChannel.h>

#include "Loop.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

struct Received
{
    NodeId from;
    std::string payload;
};

static auto nodeOf(const DatagramChannel &channel) -> NodeId
{
    return "127.0.0.1:" + std::to_string(channel.port());
}

/// One that collects what comes under "topic".
struct Receiver
{
    Receiver(asio::io_context &io, const std::string &secret)
        : channel(io, {.secret = secret})
    {
        channel.setHandler("topic", [this](NodeId from, std::string payload) {
            if (payload == "throw")
                throw std::runtime_error("unreadable");
            received.push_back({std::move(from), std::move(payload)});
        });
        channel.start();
    }

    DatagramChannel channel;
    std::vector<Received> received;
};

Test(DatagramChannel, payloadsArriveWithTheirSender)
{
    const std::string secrets[] = {"", "secret"};
    for (const auto &secret : secrets) {
        auto io = asio::io_context();
        auto a = Receiver(io, secret);
        auto b = Receiver(io, secret);
        const auto payload = std::string("\0any\xff", 5);
        a.channel.send(nodeOf(b.channel), "topic", payload);
        runUntil(io, [&] { return b.received.size() == 1; });
        cr_assert_eq(b.received[0].from, nodeOf(a.channel));
        cr_assert_eq(b.received[0].payload, payload);
        cr_assert_eq(a.channel.traffic().sent, 1);
        cr_assert_eq(b.channel.traffic().received, 1);
        cr_assert_eq(a.channel.traffic().bytesSent, b.channel.traffic().bytesReceived);
        cr_assert_eq(b.channel.traffic().rejected, 0);
    }
}

Test(DatagramChannel, whatIsNotOursIsDroppedAndCounted)
{
    auto io = asio::io_context();
    auto receiver = Receiver(io, "secret");
    const auto node = nodeOf(receiver.channel);
    auto expected = std::uint64_t{0};
    const auto ensureRejected = [&](const char *name) {
        ++expected;
        runUntil(io, [&] { return receiver.channel.traffic().rejected == expected; });
        cr_assert(receiver.received.empty(), "%s", name);
    };
    const std::string secrets[] = {"", "other"};
    for (const auto &secret : secrets) {
        auto stranger = Receiver(io, secret);
        stranger.channel.send(node, "topic", "x");
        ensureRejected("wrong secret");
    }
    auto known = Receiver(io, "secret");
    known.channel.send(node, "absent", "x");
    ensureRejected("unknown topic");
    known.channel.send(node, "topic", "throw");
    ensureRejected("throwing handler");
    known.channel.send("localhost:1", "topic", "x");
    known.channel.send("127.0.0.1", "topic", "x");
    cr_assert_eq(known.channel.traffic().rejected, 2);

    auto raw = asio::ip::udp::socket(io, asio::ip::udp::v4());
    const auto to =
            asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), receiver.channel.port());
    const std::string_view cases[] = {"", "garbage", "\x82\x40\x41\x00", "\x82\x40",
                                      "\x82\x40\x5b\xff\xff\xff\xff\xff\xff\xff\xff"};
    for (const auto it : cases) {
        raw.send_to(asio::buffer(it), to);
        ensureRejected("garbage");
    }
    known.channel.send(node, "topic", "good");
    runUntil(io, [&] { return receiver.received.size() == 1; });
}

Test(DatagramChannel, datagramForAnotherNodeIsNotReplayedHere)
{
    auto io = asio::io_context();
    auto receiver = Receiver(io, "secret");
    auto wiretap = asio::ip::udp::socket(io, {asio::ip::address_v4::loopback(), 0});
    auto sender = Receiver(io, "secret");
    sender.channel.send("127.0.0.1:" + std::to_string(wiretap.local_endpoint().port()), "topic",
                        "x");
    auto bytes = std::string(2000, '\0');
    bytes.resize(wiretap.receive(asio::buffer(bytes)));
    wiretap.send_to(asio::buffer(bytes),
                    {asio::ip::address_v4::loopback(), receiver.channel.port()});
    runUntil(io, [&] { return receiver.channel.traffic().rejected == 1; });
    cr_assert(receiver.received.empty());
}

Test(DatagramChannel, tooLargePayloadIsNotSent)
{
    auto io = asio::io_context();
    auto channel = DatagramChannel(io, {.secret = "secret"});
    channel.start();
    channel.send(nodeOf(channel), "topic", std::string(1400, 'x'));
    cr_assert_eq(channel.traffic().sent, 0);
    cr_assert_eq(channel.traffic().rejected, 1);
    channel.send(nodeOf(channel), "topic", std::string(1200, 'x'));
    cr_assert_eq(channel.traffic().sent, 1);
    cr_assert_leq(channel.traffic().bytesSent, 1400);
}

Test(DatagramChannel, takenPortIsASettingError)
{
    auto io = asio::io_context();
    auto first = Receiver(io, "");
    auto second = DatagramChannel(io, {.port = first.channel.port()});
    cr_assert_throw(second.start(), SettingError);
}
