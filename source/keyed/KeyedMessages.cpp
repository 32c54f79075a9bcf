#include <stairspur/keyed/KeyedMessages.h>

#include <array>

#include "FieldList.h"
#include "RecordCodec.h"

namespace stairspur::keyed {

static auto toFields(const RecordUpdate &body) -> nlohmann::json
{
    return FieldWriter().number(body.epoch).fields(toFields(body.record)).take();
}

static auto toFields(const RecordAck &body) -> nlohmann::json
{
    return FieldWriter().fields(toFields(body.update)).bytes(body.key).take();
}

static auto toFields(const RecordRefusal &body) -> nlohmann::json
{
    return FieldWriter().fields(toFields(body.update)).fields(toFields(body.placement)).take();
}

static auto toFields(const PlacementNotice &body) -> nlohmann::json
{
    return FieldWriter().fields(toFields(body.placement)).take();
}

static auto toFields(const SnapshotOffer &body) -> nlohmann::json
{
    auto records = FieldWriter();
    for (const auto &it : body.records)
        records.fields(toFields(it));
    return FieldWriter()
            .fields(toFields(body.proposed))
            .number(body.sequence)
            .number(body.lowWater)
            .number(body.lostAt)
            .number(body.homesChangedAt)
            .fields(records.take())
            .take();
}

static auto toFields(const SnapshotAccept &body) -> nlohmann::json
{
    return FieldWriter().number(body.epoch).number(body.sequence).take();
}

static auto toFields(const LateOutcome &body) -> nlohmann::json
{
    return FieldWriter()
            .bytes(body.key)
            .fields(toFields(body.bind))
            .fields(toFields(body.answer))
            .take();
}

static auto toFields(const LateAccept &body) -> nlohmann::json
{
    return FieldWriter().bytes(body.key).fields(toFields(body.bind)).take();
}

static auto toFields(const Lookup &body) -> nlohmann::json
{
    return FieldWriter().number(body.waiter).bytes(body.key).number(body.fingerprint).take();
}

static auto toFields(const Submit &body) -> nlohmann::json
{
    return FieldWriter()
            .number(body.waiter)
            .bytes(body.key)
            .number(body.fingerprint)
            .number(body.epoch)
            .number(body.ticket)
            .flag(body.isQuery)
            .flag(body.isHomeExplicit)
            .take();
}

static auto toFields(const Reply &body) -> nlohmann::json
{
    return FieldWriter()
            .number(body.waiter)
            .value(body.kind)
            .fields(toFields(body.answer))
            .flag(body.isReplay)
            .number(body.ticket)
            .number(static_cast<std::uint64_t>(body.retryAfter.count()))
            .fields(body.placement ? toFields(*body.placement) : nlohmann::json::array())
            .take();
}

static auto toFields(const TableRequest & /*body*/) -> nlohmann::json
{
    return nlohmann::json::array();
}

static auto toFields(const TableNotice &body) -> nlohmann::json
{
    return FieldWriter().fields(toFields(body.table)).take();
}

template <typename Body>
static auto toBody(FieldReader &reader) -> Body;

template <>
auto toBody<RecordUpdate>(FieldReader &reader) -> RecordUpdate
{
    const auto epoch = reader.number();
    return {epoch, toKeyRecord(reader.fields())};
}

template <>
auto toBody<RecordAck>(FieldReader &reader) -> RecordAck
{
    const auto update = toUpdateId(reader.fields());
    return {update, reader.bytes()};
}

template <>
auto toBody<RecordRefusal>(FieldReader &reader) -> RecordRefusal
{
    const auto update = toUpdateId(reader.fields());
    return {update, toSlotPlacement(reader.fields())};
}

template <>
auto toBody<PlacementNotice>(FieldReader &reader) -> PlacementNotice
{
    return {toSlotPlacement(reader.fields())};
}

template <>
auto toBody<SnapshotOffer>(FieldReader &reader) -> SnapshotOffer
{
    auto offer = SnapshotOffer{toSlotPlacement(reader.fields())};
    offer.sequence = reader.number();
    offer.lowWater = reader.number();
    offer.lostAt = reader.number();
    offer.homesChangedAt = reader.number();
    for (const auto &it : reader.fields())
        offer.records.push_back(toKeyRecord(it));
    return offer;
}

template <>
auto toBody<SnapshotAccept>(FieldReader &reader) -> SnapshotAccept
{
    const auto epoch = reader.number();
    return {epoch, reader.number()};
}

template <>
auto toBody<LateOutcome>(FieldReader &reader) -> LateOutcome
{
    auto late = LateOutcome{reader.bytes()};
    late.bind = toUpdateId(reader.fields());
    late.answer = toRecordedAnswer(reader.fields());
    return late;
}

template <>
auto toBody<LateAccept>(FieldReader &reader) -> LateAccept
{
    auto accept = LateAccept{reader.bytes()};
    accept.bind = toUpdateId(reader.fields());
    return accept;
}

template <>
auto toBody<Lookup>(FieldReader &reader) -> Lookup
{
    auto lookup = Lookup{reader.number()};
    lookup.key = reader.bytes();
    lookup.fingerprint = reader.number();
    return lookup;
}

template <>
auto toBody<Submit>(FieldReader &reader) -> Submit
{
    auto submit = Submit{reader.number()};
    submit.key = reader.bytes();
    submit.fingerprint = reader.number();
    submit.epoch = reader.number();
    submit.ticket = reader.number();
    submit.isQuery = reader.flag();
    submit.isHomeExplicit = reader.flag();
    return submit;
}

template <>
auto toBody<Reply>(FieldReader &reader) -> Reply
{
    auto reply = Reply{reader.number()};
    reply.kind = reader.value<ReplyKind>();
    reply.answer = toRecordedAnswer(reader.fields());
    reply.isReplay = reader.flag();
    reply.ticket = reader.number();
    reply.retryAfter = Duration(reader.smallNumber());
    const auto &placement = reader.fields();
    if (!placement.empty())
        reply.placement = toSlotPlacement(placement);
    return reply;
}

template <>
auto toBody<TableRequest>(FieldReader & /*reader*/) -> TableRequest
{
    return {};
}

template <>
auto toBody<TableNotice>(FieldReader &reader) -> TableNotice
{
    return {toPlacementTable(reader.fields())};
}

template <typename Body>
static auto readBody(const nlohmann::json &fields) -> MessageBody
{
    auto reader = FieldReader(fields);
    auto body = toBody<Body>(reader);
    reader.finish();
    return body;
}

/// Returns one reader for each alternative of MessageBody, in their order.
template <std::size_t... Indices>
static constexpr auto makeReaders(std::index_sequence<Indices...> /*indices*/)
{
    using BodyReader = MessageBody (*)(const nlohmann::json &);
    return std::array<BodyReader, sizeof...(Indices)>{
            &readBody<std::variant_alternative_t<Indices, MessageBody>>...};
}

static constexpr auto bodyReaders =
        makeReaders(std::make_index_sequence<std::variant_size_v<MessageBody>>());

auto encodeMessage(const Message &message) -> std::string
{
    auto body = std::visit([](const auto &it) { return toFields(it); }, message.body);
    return toCbor(FieldWriter()
                          .number(message.body.index())
                          .bytes(message.service)
                          .bytes(message.domain)
                          .number(message.slot)
                          .fields(toFields(message.from))
                          .fields(toFields(message.to))
                          .fields(std::move(body))
                          .take());
}

auto decodeMessage(std::string_view bytes) -> Message
{
    const auto fields = parseFields(bytes);
    auto reader = FieldReader(fields);
    const auto kind = reader.number();
    if (kind >= bodyReaders.size())
        FieldReader::fail("the message kind is unknown");
    auto message = Message();
    message.service = reader.bytes();
    message.domain = reader.bytes();
    message.slot = reader.smallNumber();
    message.from = toReplica(reader.fields());
    message.to = toReplica(reader.fields());
    message.body = bodyReaders[kind](reader.fields());
    reader.finish();
    return message;
}

} // namespace stairspur::keyed
