#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <stairspur/core/Hash.h>
#include <stairspur/membership/MemberTable.h>
#include <stairspur/membership/Message.h>
#include <stairspur/membership/ServiceFilter.h>

/// Digests of the records of one failure domain: 64 buckets of two bytes each. Two nodes with the same records have the
/// same digest. The salt is another one for each exchange, so that two buckets whose hashes collide differ the next time.
namespace stairspur::membership {

inline auto bucketOf(const NodeId &node) -> std::size_t
{
    return hash64(node) % DigestBuckets;
}

/// Whether `member` belongs to the records of `domain` that pass `filter` (null: all do).
inline auto isInScope(const Member &member, const std::string &domain, const ServiceFilter *filter)
        -> bool
{
    return member.domain == domain && (filter == nullptr || filter->mayContain(member.service));
}

template <MembershipPolicy Policy>
auto digestOf(const MemberTable<Policy> &table, const std::string &domain,
              const ServiceFilter *filter, std::uint32_t salt) -> std::string
{
    auto hashes = std::array<std::uint16_t, DigestBuckets>{};
    for (const auto &[node, entry] : table.entries()) {
        // Those that are gone are forgotten at different times, so they don't count.
        if (!isPresent(entry.member) || !isInScope(entry.member, domain, filter))
            continue;
        const auto hash = hash64(node, entry.member.incarnation ^ hash64("digest", salt));
        hashes[bucketOf(node)] ^= static_cast<std::uint16_t>(hash);
    }
    auto bytes = std::string();
    for (const auto it : hashes) {
        bytes.push_back(static_cast<char>(it >> 8U));
        bytes.push_back(static_cast<char>(it & 0xffU));
    }
    return bytes;
}

/// Whether the bucket has the same hash in both digests.
inline auto isSameBucket(const std::string &a, const std::string &b, std::size_t bucket) -> bool
{
    return a.compare(bucket * 2, 2, b, bucket * 2, 2) == 0;
}

} // namespace stairspur::membership
