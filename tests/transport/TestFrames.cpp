#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

#include "../../source/transport/CallCodec.h"
#include "../../source/transport/CborReader.h"
#include "../../source/transport/CborWriter.h"
#include "../../source/transport/Frames.h"

using namespace stairspur;
using namespace stairspur::transport;

Test(Cbor, bytesAreWhatTheLibraryWrites)
{
    const std::uint64_t numbers[] = {0,     23,    24,          255,         256,
                                     65535, 65536, 4294967295U, 4294967296U, ~std::uint64_t{0}};
    for (const auto it : numbers) {
        auto bytes = std::string();
        CborWriter(bytes).addArray(4).addUnsigned(it).addText("é").addBoolean(true).addNull();
        cr_assert(bytes == toCbor(nlohmann::json{it, "é", true, nullptr}), "%lu", it);
        auto reader = CborReader(bytes);
        cr_assert_eq(reader.readArray(), 4);
        cr_assert_eq(reader.readUnsigned(), it);
        cr_assert_eq(reader.readText(), "é");
        cr_assert(reader.readBoolean());
        cr_assert(reader.takeNull());
        reader.ensureEnd();
    }
}

Test(Cbor, whatIsUnknownIsPassedOver)
{
    const auto value = nlohmann::json{
            -1, 1.5, "text", nlohmann::json::binary({1, 2}), {1, {2}}, {{"key", {true, nullptr}}}};
    const auto bytes = toCbor(value);
    auto reader = CborReader(bytes);
    reader.skip(1);
    reader.ensureEnd();
}

Test(Cbor, malformedBytesThrow)
{
    const std::string_view cases[] = {
            "",
            "\x98",                                 // The length is missing.
            "\x9f",                                 // Indefinite.
            "\x82\x01",                             // One item is missing.
            "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", // Longer than its bytes.
            "\x81\x5a\xff\xff\xff\xff",
            "\x81\x1c", // Reserved.
            "\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x01",
    };
    for (const auto it : cases) {
        auto reader = CborReader(it);
        cr_assert_throw((reader.skip(1), reader.ensureEnd()), InputError, "%zu bytes", it.size());
    }
}

/// Every prefix and every change of one byte either throws InputError or is read; nothing else comes of it.
template <typename Read>
static auto ensureNothingElseThrows(const std::string &bytes, Read read) -> void
{
    static constexpr auto Values = 256;
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_throw(read(bytes.substr(0, n)), InputError, "prefix of %zu bytes", n);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        for (auto value = 0; value < Values; ++value) {
            auto changed = bytes;
            changed[n] = static_cast<char>(value);
            try {
                read(changed);
            } catch (const InputError &) {
                continue;
            }
        }
    }
}

static auto sampleCall() -> CallRequest
{
    auto request = CallRequest{.service = "order",
                               .className = "gold",
                               .level = makeLevel(2, 77),
                               .root = {1, ~std::uint64_t{0}},
                               .remaining = Duration(12345),
                               .retryBudget = 3,
                               .idempotencyKey = "key",
                               .caller = "shop",
                               .method = "POST",
                               .target = "/a?b=c",
                               .headers = {},
                               .body = "not in the fields"};
    request.headers.add("Accept", std::string("\xff\x00 any bytes", 12));
    request.headers.add("accept", "twice");
    return request;
}

static auto sampleAnswer() -> CallAnswer
{
    auto answer = CallAnswer{.outcome = Outcome::Failed,
                             .reason = Reason::DamagedAnswer,
                             .wasDispatched = true,
                             .unspentBudget = 7,
                             .retryAfter = Duration(99),
                             .status = 503};
    answer.headers.add("X", "y");
    answer.report = admission::LoadReport{.sequence = 1,
                                          .limit = 2,
                                          .inFlight = 3,
                                          .queued = 4,
                                          .estimatedWait = Duration(5),
                                          .isDraining = true,
                                          .floors = {Level{6}, ClosedLevel}};
    return answer;
}

Test(CallCodec, callsSurvive)
{
    const auto request = sampleCall();
    const auto fields = writeCall(request);
    const auto read = readCall(fields);
    cr_assert_eq(read.service, "order");
    cr_assert_eq(read.className, "gold");
    cr_assert(read.level == request.level);
    cr_assert(read.root == request.root);
    cr_assert(read.remaining == request.remaining);
    cr_assert_eq(read.retryBudget, 3);
    cr_assert_eq(read.idempotencyKey, "key");
    cr_assert_eq(read.caller, "shop");
    cr_assert_eq(read.method, "POST");
    cr_assert_eq(read.target, "/a?b=c");
    cr_assert_eq(read.headers.fields().size(), 2);
    cr_assert_eq(read.headers.fields()[0].value, request.headers.fields()[0].value);
    ensureNothingElseThrows(fields, [](const auto &bytes) { return readCall(bytes); });
}

Test(CallCodec, aCallTellsWhetherARunningCallMakesIt)
{
    static constexpr auto Menu = PathKey{7};
    for (const auto isDeeperCall : {false, true}) {
        const auto request =
                CallRequest{.service = "order", .path = Menu, .isDeeperCall = isDeeperCall};
        const auto read = readCall(writeCall(request));
        cr_assert_eq(read.isDeeperCall, isDeeperCall);
        cr_assert_eq(read.path, Menu);
        cr_assert_eq(read.floorPath(), isDeeperCall ? NoPath : Menu,
                     "floors of deeper services bind only what has not begun");
    }
}

Test(CallCodec, howManyCallsARootMakesIsToldAndMayBeMissing)
{
    auto request = sampleCall();
    request.callsPerRoot = 8;
    request.callsLeft = 3;
    auto fields = writeCall(request);
    cr_assert_eq(readCall(fields).callsPerRoot, 8);
    cr_assert_eq(readCall(fields).callsLeft, 3);
    // The last two items, an empty statement and a boolean, and the two counts before them have a byte each: 0x95 is an
    // array of 21 items.
    cr_assert_eq(static_cast<unsigned char>(fields[0]), 0x95);
    fields[0] = static_cast<char>(0x93);
    fields.resize(fields.size() - 2);
    cr_assert_eq(readCall(fields).callsPerRoot, 8);
    cr_assert_eq(readCall(fields).callsLeft, 3);
    // An older node sends an array of 17 items, without the counts.
    fields[0] = static_cast<char>(0x91);
    fields.resize(fields.size() - 2);
    const auto read = readCall(fields);
    cr_assert_eq(read.callsPerRoot, 1);
    cr_assert_eq(read.callsLeft, 1);
    cr_assert_eq(read.service, request.service);
}

Test(CallCodec, whetherACallMustRunOnceIsToldAndMayBeMissing)
{
    for (const auto mustRunOnce : {false, true}) {
        auto request = sampleCall();
        request.mustRunOnce = mustRunOnce;
        auto fields = writeCall(request);
        cr_assert_eq(readCall(fields).mustRunOnce, mustRunOnce);
        // An older node sends an array of 20 items.
        fields[0] = static_cast<char>(0x94);
        fields.resize(fields.size() - 1);
        cr_assert(!readCall(fields).mustRunOnce);
        cr_assert_eq(readCall(fields).service, request.service);
    }
}

Test(CallCodec, answersSurvive)
{
    const auto fields = writeAnswer(sampleAnswer());
    const auto read = readAnswer(fields);
    cr_assert(read.outcome == Outcome::Failed);
    cr_assert(read.reason == Reason::DamagedAnswer);
    cr_assert(read.wasDispatched);
    cr_assert_eq(read.unspentBudget, 7);
    cr_assert(read.retryAfter == Duration(99));
    cr_assert_eq(read.status, 503);
    cr_assert_eq(read.headers.find("x"), "y");
    cr_assert(read.report.has_value());
    cr_assert_eq(read.report->queued, 4);
    cr_assert(read.report->isDraining);
    cr_assert(read.report->floorFor(9) == ClosedLevel);
    cr_assert(!readAnswer(writeAnswer(CallAnswer())).report);
    ensureNothingElseThrows(fields, [](const auto &bytes) { return readAnswer(bytes); });
}

Test(CallCodec, aStatementSurvivesAndMayBeMissing)
{
    const auto stated = admission::InstanceStatement{17, {.rateLimit = 12.3, .isLeaving = true}};
    auto call = sampleCall();
    call.statement = stated;
    cr_assert(readCall(writeCall(call)).statement == stated);
    ensureNothingElseThrows(writeCall(call), [](const auto &bytes) { return readCall(bytes); });

    auto answer = sampleAnswer();
    cr_assert(!readAnswer(writeAnswer(answer)).report->statement, "unknown");
    answer.report->statement = admission::InstanceStatement();
    cr_assert(readAnswer(writeAnswer(answer)).report->statement->statement.isEmpty());
    answer.report->statement = admission::InstanceStatement{17, {.isLeaving = true}};
    cr_assert(readAnswer(writeAnswer(answer)).report->statement == answer.report->statement);
    answer.report->statement = stated;
    cr_assert(readAnswer(writeAnswer(answer)).report->statement == stated);
    ensureNothingElseThrows(writeAnswer(answer),
                            [](const auto &bytes) { return readAnswer(bytes); });
}

Test(CallCodec, aReportOfAnOlderNodeHasNoStatement)
{
    auto answer = sampleAnswer();
    answer.report->pathFloors.clear();
    auto fields = writeAnswer(answer);
    // The report is the last item, an array of 10 of which the last is null: 0x8a and 0xf6.
    const auto report = fields.rfind(static_cast<char>(0x8a));
    cr_assert_neq(report, std::string::npos);
    cr_assert_eq(static_cast<unsigned char>(fields.back()), 0xf6);
    fields[report] = static_cast<char>(0x89);
    fields.pop_back();
    cr_assert(!readAnswer(fields).report->statement);
    cr_assert_eq(readAnswer(fields).report->queued, 4);
}

Test(CallCodec, spansOutOfRangeAreCutOff)
{
    auto request = CallRequest();
    request.remaining = Duration(-1);
    cr_assert(readCall(writeCall(request)).remaining == Duration(0));
    request.remaining = Duration::max();
    cr_assert(readCall(writeCall(request)).remaining > Duration(0));
}

Test(Frames, everyKindSurvivesAndGarbageThrows)
{
    const auto head = writeHead(FrameKind::Answer, 9, 100, 1234, "fields", "piece");
    const auto frame = readFrame(head);
    cr_assert(frame.kind == FrameKind::Answer);
    cr_assert_eq(frame.id, 9);
    cr_assert_eq(frame.bodyLength, 100);
    cr_assert_eq(frame.hash, 1234);
    cr_assert_eq(frame.fields, "fields");
    cr_assert_eq(frame.piece, "piece");
    const std::string frames[] = {head, writeHello("node", "nonce"), writeProof("proof"),
                                  writeData(1, "piece"), writeCancel(2)};
    for (const auto &it : frames)
        ensureNothingElseThrows(it, [](const auto &bytes) { return readFrame(bytes); });
    cr_assert_throw(readFrame("\x82\x08\x01"), InputError, "an unknown kind was read");
}

Test(Frames, proofsDependOnEveryInput)
{
    const auto input = ProofInput{"client", "a", "1", "b", "2"};
    const auto proof = makeProof("secret", input);
    cr_assert_eq(proof.size(), 32);
    cr_assert(proof == makeProof("secret", input));
    cr_assert(proof != makeProof("other", input));
    cr_assert(proof != makeProof("secret", {"server", "a", "1", "b", "2"}));
    cr_assert(proof != makeProof("secret", {"client", "a", "2", "b", "2"}));
    cr_assert(proof != makeProof("secret", {"client", "b", "2", "a", "1"}));
    cr_assert(makeProof("", input).empty());
    cr_assert(hashMessage(1, "ab", "c") != hashMessage(1, "a", "bc"));
    cr_assert(hashMessage(1, "a", "b") != hashMessage(2, "a", "b"));
}
