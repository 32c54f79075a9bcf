#include <criterion/criterion.h>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Random.h>
#include <stairspur/membership/Message.h>
#include <stairspur/membership/ServiceFilter.h>

using namespace stairspur;
using namespace stairspur::membership;

static auto sampleMember(const NodeId &node) -> Member
{
    return {node,
            "order-intake",
            "ljubljana",
            1'700'000'000'123,
            1'700'000'000'000,
            ServingState::Draining,
            110,
            Liveness::Suspect};
}

static auto fullMessage() -> Message
{
    auto message = Message();
    message.kind = MessageKind::Digest;
    message.sequence = 70'000;
    message.self = sampleMember("192.0.2.7:7100");
    message.updates = {sampleMember("192.0.2.8:7100"), sampleMember("[2001:db8::1]:7100")};
    message.annotation = std::string("\0version", 8);
    message.target = "host.example:1";
    message.contacts = {"192.0.2.9:65535"};
    message.digestDomain = "bezigrad";
    message.filter = ServiceFilter(std::set<std::string>{"order-intake"}).bytes();
    message.hashes = std::string(DigestBytes, 'h');
    message.buckets = std::string("\0\x3f", 2);
    message.isComplete = false;
    message.statements = {{"192.0.2.8:7100", "domzale", 3, false}};
    return message;
}

Test(MessageCodec, everyPartIsRestored)
{
    cr_assert(decode(encode(fullMessage())) == fullMessage());
    auto small = Message();
    small.self = sampleMember("192.0.2.7:7100");
    cr_assert(decode(encode(small)) == small);
    cr_assert_lt(encode(small).size(), 70U);
}

Test(MessageCodec, everyTruncationAndSurplusIsRefused)
{
    const auto encoded = encode(fullMessage());
    for (std::size_t n = 0; n < encoded.size(); ++n)
        cr_assert_throw(decode(std::string_view(encoded).substr(0, n)), MessageError,
                        "accepted %zu bytes", n);
    cr_assert_throw(decode(encoded + "x"), MessageError);
}

Test(MessageCodec, randomBytesAndFlippedBitsThrowOnlyMessageError)
{
    auto random = Random(7);
    const auto encoded = encode(fullMessage());
    for (auto round = 0; round < 20'000; ++round) {
        auto bytes = encoded;
        for (auto flips = randomBelow(random, 4) + 1; flips > 0; --flips)
            bytes[randomBelow(random, bytes.size())] = static_cast<char>(randomBelow(random, 256));
        try {
            decode(bytes);
        } catch (const MessageError &) {
            continue; // Any other exception fails the test.
        }
    }
}

Test(MessageCodec, valuesOutOfRangeAreRefused)
{
    struct Case
    {
        const char *name;
        std::size_t part;
        nlohmann::json value;
    };
    const auto binary = [](std::size_t n) {
        return nlohmann::json::binary(std::vector<std::uint8_t>(n));
    };
    const auto member = nlohmann::json::array({"n", 0, 0, 1, 0, 0, 0});
    const auto with = [&](std::size_t field, nlohmann::json value) {
        auto changed = member;
        changed[field] = std::move(value);
        return changed;
    };
    const Case cases[] = {
            {"version", 0, 2},
            {"kind", 1, 7},
            {"negative sequence", 2, -1},
            {"names not text", 3, nlohmann::json::array({1})},
            {"long name", 3, nlohmann::json::array({std::string(65, 'x')})},
            {"too many names", 3, std::vector<std::string>(200, "x")},
            {"no domain name", 3, nlohmann::json::array({""})},
            {"empty node", 4, with(0, "")},
            {"short address", 4, with(0, binary(5))},
            {"name index", 4, with(1, 9)},
            {"incarnation that cannot be refuted", 4, with(3, UINT64_MAX)},
            {"start after incarnation", 4, with(4, 2)},
            {"flags", 4, with(5, 12)},
            {"slots", 4, with(6, 1ULL << 40U)},
            {"field missing", 4, nlohmann::json::array({"n", 0, 0, 1, 0, 0})},
            {"long annotation", 6, binary(25)},
            {"digest of wrong size", 9,
             nlohmann::json::array({0, binary(0), binary(999), binary(0), true})},
            {"nesting", 5,
             nlohmann::json::array({nlohmann::json::array({nlohmann::json::array()})})},
    };
    for (const auto &it : cases) {
        auto parts = nlohmann::json::array({1, 0, 1, nlohmann::json::array({"d"}), member,
                                            nlohmann::json::array(), binary(0), nullptr,
                                            nlohmann::json::array(), nullptr});
        cr_assert_no_throw(decode(toCbor(parts)), MessageError);
        parts[it.part] = it.value;
        cr_assert_throw(decode(toCbor(parts)), MessageError, "accepted: %s", it.name);
    }
    // The length of this list is 2^60.
    cr_assert_throw(decode(std::string("\x9b\x10\0\0\0\0\0\0\0", 9)), MessageError);
}

Test(MessageCodec, recordBudgetDoesNotUnderestimate)
{
    auto message = Message();
    message.self = sampleMember("192.0.2.7:7100");
    const auto base = encode(message).size();
    auto budget = RecordBudget(1000);
    for (auto index = 0U; budget.take(sampleMember("192.0.2.8:" + std::to_string(index))); ++index)
        message.updates.push_back(sampleMember("192.0.2.8:" + std::to_string(index)));
    const auto used = encode(message).size() - base;
    cr_assert_leq(used, 1000U);
    cr_assert_gt(used, 900U);
}
