#pragma once

#include <stairspur/core/Cbor.h>
#include <stairspur/keyed/KeyRecord.h>
#include <stairspur/keyed/PlacementTable.h>

/// CBOR encoding of the parts that messages and tables share, each as an array of fields.
namespace stairspur::keyed {

auto toFields(const Replica &replica) -> nlohmann::json;
auto toFields(const UpdateId &id) -> nlohmann::json;
auto toFields(const RecordedAnswer &answer) -> nlohmann::json;
auto toFields(const KeyRecord &record) -> nlohmann::json;
auto toFields(const SlotPlacement &placement) -> nlohmann::json;
auto toFields(const PlacementTable &table) -> nlohmann::json;

// Each of these functions throws InputError if `fields` is not an encoding of its type.
auto toReplica(const nlohmann::json &fields) -> Replica;
auto toUpdateId(const nlohmann::json &fields) -> UpdateId;
auto toRecordedAnswer(const nlohmann::json &fields) -> RecordedAnswer;
auto toKeyRecord(const nlohmann::json &fields) -> KeyRecord;
auto toSlotPlacement(const nlohmann::json &fields) -> SlotPlacement;
auto toPlacementTable(const nlohmann::json &fields) -> PlacementTable;

} // namespace stairspur::keyed
