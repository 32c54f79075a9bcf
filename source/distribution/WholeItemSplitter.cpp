#include "WholeItemSplitter.h"

#include <stairspur/config/Sections.h>

namespace stairspur::distribution {

auto splitWholeItem(const WholeItem &item) -> SplitItem
{
    const auto sections = config::splitIntoSections(item.configuration);
    auto list = SectionList();
    list.hashes = config::hashesOf(sections);
    auto encoded = encodeList(list);
    auto result = SplitItem();
    result.head.version = item.version;
    result.head.hash = config::hashOfHashes(list.hashes);
    result.head.listHash = std::move(encoded.rootHash);
    result.blobs = std::move(encoded.blobs);
    for (const auto &[name, bytes] : sections)
        result.blobs[list.hashes.at(name)] = bytes;
    return result;
}

} // namespace stairspur::distribution
