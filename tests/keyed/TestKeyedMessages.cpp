#include <criterion/criterion.h>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>
#include <stairspur/core/Random.h>
#include <stairspur/keyed/KeyedMessages.h>

using namespace stairspur;
using namespace stairspur::keyed;

static auto somePlacement() -> SlotPlacement
{
    return {7, {"192.0.2.1:7100", 3}, {"192.0.2.2:7100", 4}, {"192.0.2.3:7100", 5}, 99};
}

static auto someRecord() -> KeyRecord
{
    const auto answer = RecordedAnswer{Outcome::Answered, Reason::None, 201,
                                       std::string(1, '\0') + "\xff payload", true};
    return {"kitchen\x1fkey\xfe", 12,    KeyState::Settled, {6, 1}, {7, 2}, 3,
            1'700'000'000'000,    answer};
}

static auto everyBody() -> std::vector<MessageBody>
{
    auto reply = Reply{5, ReplyKind::Moved, {}, true, 2, Duration(250'000)};
    reply.placement = somePlacement();
    return {RecordUpdate{7, someRecord()},
            RecordAck{{7, 2}, "key"},
            RecordRefusal{{7, 2}, somePlacement()},
            PlacementNotice{somePlacement()},
            SnapshotOffer{somePlacement(), 2, 3, 4, 5, {someRecord(), someRecord()}},
            SnapshotAccept{7, 2},
            LateOutcome{"key", {6, 1}, someRecord().answer},
            LateAccept{"key", {6, 1}},
            Lookup{8, "key", 12},
            Submit{8, "key", 12, 7, 1, true, true},
            reply,
            Reply{6},
            TableRequest{},
            TableNotice{{"order-intake", "centre", {somePlacement(), {}}}}};
}

static auto wrap(MessageBody body) -> Message
{
    return {"order-intake",        "centre",       3, {"192.0.2.1:7100", 3},
            {"192.0.2.2:7100", 0}, std::move(body)};
}

Test(KeyedMessages, everyKindIsDecodedAsEncoded)
{
    for (const auto &body : everyBody()) {
        const auto bytes = encodeMessage(wrap(body));
        const auto decoded = decodeMessage(bytes);
        cr_assert_eq(decoded.body.index(), body.index());
        cr_assert_eq(decoded.slot, 3);
        cr_assert_eq(encodeMessage(decoded), bytes, "kind %zu", body.index());
    }
}

Test(KeyedMessages, truncatedAndForeignBytesThrowInputError)
{
    for (const auto &body : everyBody()) {
        const auto bytes = encodeMessage(wrap(body));
        for (std::size_t n = 0; n < bytes.size(); ++n)
            cr_assert_throw(decodeMessage(bytes.substr(0, n)), InputError);
    }
    const nlohmann::json foreign[] = {nullptr,
                                      3,
                                      "text",
                                      nlohmann::json::array(),
                                      nlohmann::json::array({99, 1, 2}),
                                      nlohmann::json::array({-1}),
                                      nlohmann::json::object()};
    for (const auto &it : foreign)
        cr_assert_throw(decodeMessage(toCbor(it)), InputError);
}

Test(KeyedMessages, damagedBytesThrowNothingButInputError)
{
    auto random = Random(7);
    for (const auto &body : everyBody()) {
        for (int round = 0; round < 300; ++round) {
            auto bytes = encodeMessage(wrap(body));
            for (int n = 0; n < 3; ++n)
                bytes[randomBelow(random, bytes.size())] = char(randomBelow(random, 256));
            try {
                decodeMessage(bytes);
            } catch (const InputError &) {
                continue; // Any other exception fails the test.
            }
        }
    }
}

Test(KeyedMessages, tableIsDecodedAsEncoded)
{
    const auto table = PlacementTable{"order-intake", "centre", {somePlacement(), {}}};
    cr_assert(decodePlacementTable(encodePlacementTable(table)) == table);
    cr_assert_throw(decodePlacementTable("garbage"), InputError);
    cr_assert_eq(placementKey("order-intake", "centre"),
                 "/stairspur/placement/order-intake/centre");
}
