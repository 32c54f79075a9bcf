#include "RecordCodec.h"

#include "FieldList.h"

namespace stairspur::keyed {

auto toFields(const Replica &replica) -> nlohmann::json
{
    return FieldWriter().bytes(replica.node).number(replica.session).take();
}

auto toReplica(const nlohmann::json &fields) -> Replica
{
    auto reader = FieldReader(fields);
    auto replica = Replica();
    replica.node = reader.bytes();
    replica.session = reader.number();
    reader.finish();
    return replica;
}

auto toFields(const UpdateId &id) -> nlohmann::json
{
    return FieldWriter().number(id.epoch).number(id.sequence).take();
}

auto toUpdateId(const nlohmann::json &fields) -> UpdateId
{
    auto reader = FieldReader(fields);
    auto id = UpdateId();
    id.epoch = reader.number();
    id.sequence = reader.number();
    reader.finish();
    return id;
}

auto toFields(const RecordedAnswer &answer) -> nlohmann::json
{
    return FieldWriter()
            .value(answer.outcome)
            .value(answer.reason)
            .number(answer.status)
            .bytes(answer.payload)
            .flag(answer.isPayloadKept)
            .take();
}

auto toRecordedAnswer(const nlohmann::json &fields) -> RecordedAnswer
{
    auto reader = FieldReader(fields);
    auto answer = RecordedAnswer();
    answer.outcome = reader.value<Outcome>();
    answer.reason = reader.value<Reason>();
    answer.status = reader.smallNumber();
    answer.payload = reader.bytes();
    answer.isPayloadKept = reader.flag();
    reader.finish();
    return answer;
}

auto toFields(const KeyRecord &record) -> nlohmann::json
{
    return FieldWriter()
            .bytes(record.key)
            .number(record.fingerprint)
            .value(record.state)
            .fields(toFields(record.bind))
            .fields(toFields(record.update))
            .number(record.ticket)
            .number(record.recordedAt)
            .fields(toFields(record.answer))
            .take();
}

auto toKeyRecord(const nlohmann::json &fields) -> KeyRecord
{
    auto reader = FieldReader(fields);
    auto record = KeyRecord();
    record.key = reader.bytes();
    record.fingerprint = reader.number();
    record.state = reader.value<KeyState>();
    record.bind = toUpdateId(reader.fields());
    record.update = toUpdateId(reader.fields());
    record.ticket = reader.number();
    record.recordedAt = reader.number();
    record.answer = toRecordedAnswer(reader.fields());
    reader.finish();
    return record;
}

auto toFields(const SlotPlacement &placement) -> nlohmann::json
{
    return FieldWriter()
            .number(placement.epoch)
            .fields(toFields(placement.primary))
            .fields(toFields(placement.witness))
            .fields(toFields(placement.source))
            .number(placement.lostAt)
            .take();
}

auto toSlotPlacement(const nlohmann::json &fields) -> SlotPlacement
{
    auto reader = FieldReader(fields);
    auto placement = SlotPlacement();
    placement.epoch = reader.number();
    placement.primary = toReplica(reader.fields());
    placement.witness = toReplica(reader.fields());
    placement.source = toReplica(reader.fields());
    placement.lostAt = reader.number();
    reader.finish();
    return placement;
}

auto toFields(const PlacementTable &table) -> nlohmann::json
{
    auto slots = FieldWriter();
    for (const auto &it : table.slots)
        slots.fields(toFields(it));
    return FieldWriter().bytes(table.service).bytes(table.domain).fields(slots.take()).take();
}

auto toPlacementTable(const nlohmann::json &fields) -> PlacementTable
{
    auto reader = FieldReader(fields);
    auto table = PlacementTable();
    table.service = reader.bytes();
    table.domain = reader.bytes();
    for (const auto &it : reader.fields())
        table.slots.push_back(toSlotPlacement(it));
    reader.finish();
    return table;
}

} // namespace stairspur::keyed
