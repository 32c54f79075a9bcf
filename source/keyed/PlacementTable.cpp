#include <stairspur/keyed/PlacementTable.h>

#include "FieldList.h"
#include "RecordCodec.h"

namespace stairspur::keyed {

auto placementKey(std::string_view service, std::string_view domain) -> std::string
{
    auto key = std::string("/stairspur/placement/");
    key += service;
    key += '/';
    key += domain;
    return key;
}

auto encodePlacementTable(const PlacementTable &table) -> std::string
{
    return toCbor(toFields(table));
}

auto decodePlacementTable(std::string_view bytes) -> PlacementTable
{
    return toPlacementTable(parseFields(bytes));
}

} // namespace stairspur::keyed
