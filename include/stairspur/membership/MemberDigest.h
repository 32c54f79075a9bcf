#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <stairspur/core/Hash.h>
#include <stairspur/membership/MemberTable.h>
#include <stairspur/membership/Message.h>
#include <stairspur/membership/ServiceFilter.h>

/// Digests of the records of one failure domain: 64 buckets of two bytes each. Two nodes with the same records
/// compute the same digest. Each exchange uses a different salt, so that two buckets whose hashes collide differ in
/// the next exchange.
namespace stairspur::membership {

inline auto bucketOf(const NodeId &node) -> std::size_t
{
    return hash64(node) % DigestBuckets;
}

/// Returns whether `member` belongs to `domain` and passes `filter`; a null filter lets every member pass.
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
        // Nodes remove absent members at different times, so those are left out.
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

/// Returns whether the bucket has the same hash in both digests.
inline auto isSameBucket(const std::string &a, const std::string &b, std::size_t bucket) -> bool
{
    return a.compare(bucket * 2, 2, b, bucket * 2, 2) == 0;
}

} // namespace stairspur::membership
