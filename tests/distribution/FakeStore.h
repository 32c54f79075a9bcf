#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include <stairspur/core/Error.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::distribution {

/// Fault of one call to the store.
enum class StoreFault {
    None,
    Unreachable, ///< The call is not applied, and the caller gets that result.
    LostRequest, ///< The call is not applied, and the caller gets no result.
    LostAnswer,  ///< The call is applied, and the caller gets no result.
    LateRequest, ///< The call is applied only at the store's next call, and the caller gets no result.
};

/// A store in memory with the revisions that compare-and-swap needs.
class FakeStore
{
public:
    using Range = store::StoreResult<store::RangeAnswer>;
    using Write = store::StoreResult<store::WriteAnswer>;

    auto range(const store::RangeRequest &request, StoreFault fault = StoreFault::None) -> Range
    {
        applyLate();
        if (fault != StoreFault::None)
            return {fault == StoreFault::Unreachable ? store::StoreStatus::Unreachable
                                                     : store::StoreStatus::Unknown,
                    {},
                    "fault"};
        auto answer = store::RangeAnswer();
        answer.revision = m_revision;
        for (auto it = pairs.lower_bound(request.key); it != pairs.end(); ++it) {
            const auto isWithin = request.rangeEnd.empty() ? it->first == request.key
                                                           : it->first < request.rangeEnd;
            if (!isWithin)
                break;
            answer.pairs.push_back(it->second);
        }
        return {store::StoreStatus::Ok, answer, {}};
    }

    auto txn(const store::Transaction &transaction, StoreFault fault = StoreFault::None) -> Write
    {
        applyLate();
        if (fault == StoreFault::Unreachable)
            return {store::StoreStatus::Unreachable, {}, "fault"};
        if (fault == StoreFault::LateRequest)
            m_late = transaction;
        const auto isApplied = fault == StoreFault::None || fault == StoreFault::LostAnswer;
        const auto isCommitted = isApplied && apply(transaction);
        if (fault != StoreFault::None)
            return {store::StoreStatus::Unknown, {}, "fault"};
        return {isCommitted ? store::StoreStatus::Ok : store::StoreStatus::CasFailed,
                {m_revision},
                {}};
    }

    auto applyLate() -> void
    {
        if (const auto late = std::exchange(m_late, std::nullopt))
            apply(*late);
    }

    [[nodiscard]] auto head() const -> Head
    {
        const auto it = pairs.find(std::string(HeadKey));
        return it == pairs.end() ? Head() : decodeHead(it->second.value);
    }

    [[nodiscard]] auto blob(const std::string &hash) const -> std::optional<std::string>
    {
        const auto it = pairs.find(sectionKey(hash));
        return it == pairs.end() ? std::nullopt : std::optional(it->second.value);
    }

    /// Returns all values by their hash.
    [[nodiscard]] auto blobs() const -> std::map<std::string, std::string>
    {
        auto all = std::map<std::string, std::string>();
        for (const auto &[key, pair] : pairs) {
            if (key.starts_with(SectionPrefix))
                all[key.substr(SectionPrefix.size())] = pair.value;
        }
        return all;
    }

    /// Returns all sections that `head` names, or nothing if one of them is missing.
    [[nodiscard]] auto sectionsOf(const Head &head) const -> std::optional<config::Sections>
    {
        auto sections = config::Sections();
        const auto root = blob(head.listHash);
        if (!root)
            return std::nullopt;
        for (const auto &it : decodeRoot(*root).buckets) {
            if (it.empty())
                continue;
            const auto bucket = blob(it);
            if (!bucket)
                return std::nullopt;
            for (const auto &[name, hash] : decodeBucket(*bucket)) {
                const auto bytes = blob(hash);
                if (!bytes)
                    return std::nullopt;
                sections[name] = *bytes;
            }
        }
        return sections;
    }

    /// Returns whether all sections of the configuration in force are in the store and match its hash.
    [[nodiscard]] auto isWhole() const -> bool
    {
        const auto now = head();
        if (now.version == 0)
            return true;
        const auto sections = sectionsOf(now);
        return sections && config::hashOf(*sections) == now.hash;
    }

    std::map<std::string, store::KeyValue> pairs;

private:
    auto apply(const store::Transaction &transaction) -> bool
    {
        for (const auto &it : transaction.compares) {
            const auto found = pairs.find(it.key);
            const auto actual = found == pairs.end() ? 0 : found->second.modRevision;
            if (actual != it.number)
                return false;
        }
        ++m_revision;
        for (const auto &it : transaction.operations) {
            if (it.isDelete)
                pairs.erase(it.key);
            else
                pairs[it.key] = {it.key, it.value, m_revision, m_revision, 1, 0};
        }
        return true;
    }

    store::Revision m_revision = 1;
    std::optional<store::Transaction> m_late;
};

} // namespace stairspur::distribution
