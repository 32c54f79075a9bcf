#include <stairspur/keyed/AnswerPayload.h>

#include <charconv>

#include <stairspur/core/Hash.h>

#include "FieldList.h"

namespace stairspur::keyed {

static constexpr auto HexBase = 16;

auto fingerprintOf(const transport::CallRequest &request) -> std::uint64_t
{
    const auto methodHash = hash64(request.method);
    const auto targetHash = hash64(request.target, methodHash);
    return hash64(request.body, targetHash);
}

auto toRecordedAnswer(const transport::CallAnswer &answer) -> RecordedAnswer
{
    auto recorded = RecordedAnswer{answer.outcome, answer.reason, answer.status};
    auto names = FieldWriter();
    for (const auto &it : answer.headers.fields())
        names.bytes(it.name).bytes(it.value);
    recorded.payload = toCbor(FieldWriter().fields(names.take()).bytes(answer.body).take());
    return recorded;
}

auto toCallAnswer(const RecordedAnswer &recorded) -> transport::CallAnswer
{
    auto answer = transport::CallAnswer();
    answer.outcome = recorded.outcome;
    answer.reason = recorded.reason;
    answer.status = recorded.status;
    answer.wasDispatched = recorded.outcome != Outcome::NotRun;
    if (!recorded.isPayloadKept) {
        answer.outcome = Outcome::Unknown;
        answer.reason = Reason::TooLarge;
        answer.status = 0;
        answer.headers.set(std::string(RecordedStatusHeader), std::to_string(recorded.status));
        return answer;
    }
    if (recorded.payload.empty())
        return answer;
    const auto fields = parseFields(recorded.payload);
    auto reader = FieldReader(fields);
    const auto &names = reader.fields();
    auto headers = FieldReader(names);
    for (std::size_t n = 0; n + 1 < names.size(); n += 2) {
        auto name = headers.bytes();
        answer.headers.add(std::move(name), headers.bytes());
    }
    answer.body = reader.bytes();
    return answer;
}

auto encodeMessages(const std::vector<std::string> &messages) -> std::string
{
    auto writer = FieldWriter();
    for (const auto &it : messages)
        writer.bytes(it);
    return toCbor(writer.take());
}

auto decodeMessages(std::string_view bytes) -> std::vector<std::string>
{
    const auto fields = parseFields(bytes);
    auto reader = FieldReader(fields);
    auto messages = std::vector<std::string>();
    for (std::size_t n = 0; n < fields.size(); ++n)
        messages.push_back(reader.bytes());
    return messages;
}

auto fromHex(std::string_view digits) -> std::string
{
    if (digits.size() % 2 != 0)
        FieldReader::fail("the number of hexadecimal digits is odd");
    auto bytes = std::string();
    bytes.reserve(digits.size() / 2);
    for (std::size_t place = 0; place < digits.size(); place += 2) {
        auto value = 0U;
        const auto *begin = digits.data() + place;
        const auto [end, ec] = std::from_chars(begin, begin + 2, value, HexBase);
        if (ec != std::errc() || end != begin + 2)
            FieldReader::fail("a character is not a hexadecimal digit");
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace stairspur::keyed
