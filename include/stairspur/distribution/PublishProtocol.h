#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <stairspur/config/Sections.h>
#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Error.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/PublishRequest.h>
#include <stairspur/distribution/WritePlan.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::distribution {

/// Outcome of an apply.
enum class PublishOutcome {
    Applied,          ///< The configuration came into force.
    AlreadyInForce,   ///< The same configuration was in force; nothing was written.
    Conflict,         ///< Another applier changed the head first; `inForce` is its head.
    StoreUnavailable, ///< The apply is not in force and cannot come into force later.
    Unknown,          ///< The store's answer was lost and its state could not be determined.
    Rejected,         ///< The store rejected the configuration, or its state cannot be decoded.
};

/// Result of an apply.
struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::Unknown;
    std::uint64_t version = 0; ///< Version of the applied configuration, for `Applied`.
    Head inForce;              ///< Head that was last read or written; version 0 if there is none.
    std::string detail;        ///< Cause of the outcome in words.
};

/// Next request of the protocol to the store.
using StoreRequest = std::variant<store::RangeRequest, store::Transaction>;

/// The guards of the protocol. Tests disable one at a time to show that the fault matrix detects its absence.
struct PublishPolicy
{
    /// The head is written by compare-and-swap.
    static constexpr auto ComparesHead = true;
    /// After a lost answer the head is first searched for the id of this apply.
    static constexpr auto LooksForOwnApply = true;
    /// Sections that are no longer named stay for readers of an older head.
    static constexpr auto KeepsRetiredSections = true;
    /// Sections are written before the head that names them.
    static constexpr auto WritesSectionsFirst = true;
    /// The outcome is Unknown if the head may no longer record this apply.
    static constexpr auto ReportsEvictedApplies = true;
};

/// Applies one configuration step by step and without I/O. The caller executes the request that next() returns and passes
/// its result in.
///
/// Sections are stored by their hash and have no effect by themselves. Only the head determines what is in force. Its write
/// is conditional on the revision that was read, so that one of several concurrent appliers succeeds and a repeated write has
/// no effect.
template <typename Policy = PublishPolicy>
class PublishProtocol
{
public:
    static constexpr auto MaxOperations =
            std::size_t{100}; ///< Operations of a transaction; etcd's default limit is 128.
    static constexpr auto MaxWriteBytes =
            std::size_t{500'000}; ///< Bytes of a transaction; a value may have up to a megabyte.
    static constexpr auto MaxVerifications = 8U; ///< Reads of the head after a lost answer.
    /// Repetitions of one write of sections. A call to a store that doesn't answer takes seconds, and the operator waits.
    static constexpr auto MaxSectionRetries = 2U;

    explicit PublishProtocol(PublishRequest request)
        : m_request(std::move(request))
        , m_hash(config::hashOf(m_request.sections))
    {
        requestHead(Step::ReadHead);
    }

    [[nodiscard]] auto isDone() const -> bool { return m_step == Step::Done; }
    /// Returns the next request. To be called only while isDone() is false.
    [[nodiscard]] auto next() const -> const StoreRequest & { return m_next; }
    /// Returns the result. To be called only when isDone() is true.
    [[nodiscard]] auto result() const -> const PublishResult & { return m_result; }
    /// Returns whether the next request repeats a failed one, so that the caller should pause before it.
    [[nodiscard]] auto isRepeating() const -> bool
    {
        return m_verifications > 0 || m_sectionRetries > 0;
    }

    /// Processes the result of a RangeRequest.
    auto didReceiveRange(const store::StoreResult<store::RangeAnswer> &result) -> void
    {
        if (!result.isOk())
            return didFailToRead(result.detail);
        try {
            if (m_step == Step::VerifyWrite)
                didVerifyWrite(result.value);
            else if (m_step == Step::ReadHead)
                didReadHead(result.value);
            else
                didReadList(result.value);
        } catch (const InputError &error) {
            end(m_mayBeWritten ? PublishOutcome::Unknown : PublishOutcome::Rejected, error.what());
        }
    }

    /// Processes the result of a Transaction.
    auto didReceiveTxn(const store::StoreResult<store::WriteAnswer> &result) -> void
    {
        if (result.status == store::StoreStatus::Rejected && !m_mayBeWritten)
            return end(PublishOutcome::Rejected, result.detail);
        if (m_step == Step::WriteSections)
            return didWriteSections(result);
        if (result.isOk())
            return didApply(m_plan.head.version, m_plan.head);
        if (result.status == store::StoreStatus::Unreachable && !m_mayBeWritten)
            return end(PublishOutcome::StoreUnavailable, result.detail);
        m_mayBeWritten = m_mayBeWritten || result.status == store::StoreStatus::Unknown;
        requestHead(Step::VerifyWrite);
    }

private:
    enum class Step {
        ReadHead,
        ReadRoot,
        ReadBuckets,
        WriteSections,
        WriteHead,
        VerifyWrite,
        Done,
    };

    /// Repeats a write of sections that got no answer. Sections are stored by their hash, so that writing them again, or an
    /// earlier write that is applied late, changes nothing.
    auto didWriteSections(const store::StoreResult<store::WriteAnswer> &result) -> void
    {
        if (result.isOk()) {
            m_sectionRetries = 0;
            return writeNext();
        }
        const auto mayRepeat = result.status == store::StoreStatus::Unknown;
        if (!mayRepeat || ++m_sectionRetries > MaxSectionRetries)
            end(PublishOutcome::StoreUnavailable, result.detail);
    }

    auto requestHead(Step step) -> void
    {
        m_step = step;
        m_next = store::RangeRequest{.key = std::string(HeadKey)};
    }

    auto end(PublishOutcome outcome, std::string detail) -> void
    {
        m_step = Step::Done;
        m_result.outcome = outcome;
        m_result.detail = std::move(detail);
    }

    auto didApply(std::uint64_t version, Head head) -> void
    {
        m_result.version = version;
        m_result.inForce = std::move(head);
        end(PublishOutcome::Applied, {});
    }

    /// Ends the apply because another applier's configuration is in force, so that this apply cannot come into force later.
    auto didLoseRace(Head head) -> void
    {
        m_result.inForce = std::move(head);
        end(m_result.inForce.hash == m_hash ? PublishOutcome::AlreadyInForce
                                            : PublishOutcome::Conflict,
            {});
    }

    auto didReadHead(const store::RangeAnswer &answer) -> void
    {
        if (!answer.pairs.empty()) {
            m_base.head = decodeHead(answer.pairs[0].value);
            m_baseRevision = answer.pairs[0].modRevision;
            m_result.inForce = m_base.head;
        }
        if (m_base.head.version != 0 && m_base.head.hash == m_hash)
            return end(PublishOutcome::AlreadyInForce, {});
        if (m_request.expectedVersion && *m_request.expectedVersion != m_base.head.version)
            return end(PublishOutcome::Conflict, "another version than the expected is in force");
        if (m_base.head.version == 0)
            return prepareWrites();
        m_step = Step::ReadRoot;
        requestBlob(m_base.head.listHash);
    }

    auto requestBlob(const std::string &hash) -> void
    {
        m_next = store::RangeRequest{.key = sectionKey(hash)};
    }

    /// Reads the list of the configuration in force, except buckets that are the same in the new list.
    auto didReadList(const store::RangeAnswer &answer) -> void
    {
        if (answer.pairs.empty())
            return restart();
        if (m_step == Step::ReadRoot) {
            m_base.root = decodeRoot(answer.pairs[0].value);
            const auto own = encodeList({config::hashesOf(m_request.sections), {}});
            for (const auto &it : m_base.root.buckets) {
                if (!it.empty() && !own.blobs.contains(it))
                    m_bucketsToRead.push_back(it);
            }
            m_step = Step::ReadBuckets;
        } else {
            m_base.hashes.merge(decodeBucket(answer.pairs[0].value));
            m_bucketsToRead.pop_front();
        }
        if (m_bucketsToRead.empty())
            return prepareWrites();
        requestBlob(m_bucketsToRead.front());
    }

    /// Starts again with the head, since a part of the list is missing. The head has changed since it was read, and the
    /// comparison of its revision would fail as well.
    auto restart() -> void
    {
        if (++m_restarts > MaxRestarts)
            return end(PublishOutcome::StoreUnavailable, "the list of sections is incomplete");
        m_base = {};
        m_baseRevision = 0;
        m_bucketsToRead.clear();
        requestHead(Step::ReadHead);
    }

    auto prepareWrites() -> void
    {
        m_plan = planWrites(m_base, m_request, Policy::KeepsRetiredSections);
        writeNext();
    }

    auto takePiece() -> std::vector<store::Operation>
    {
        auto piece = std::vector<store::Operation>();
        auto bytes = std::size_t{0};
        while (!m_plan.missing.empty() && piece.size() < MaxOperations / 2) {
            bytes += m_plan.missing.back().value.size();
            if (!piece.empty() && bytes > MaxWriteBytes)
                break;
            piece.push_back(std::move(m_plan.missing.back()));
            m_plan.missing.pop_back();
        }
        return piece;
    }

    /// Writes a piece of the sections, or the last piece together with the head in one atomic transaction.
    auto writeNext() -> void
    {
        auto transaction = store::Transaction();
        if constexpr (Policy::WritesSectionsFirst)
            transaction.operations = takePiece();
        if (!m_plan.missing.empty() && Policy::WritesSectionsFirst) {
            m_step = Step::WriteSections;
            m_next = std::move(transaction);
            return;
        }
        if constexpr (Policy::ComparesHead)
            transaction.compares.push_back({.key = std::string(HeadKey), .number = m_baseRevision});
        auto &operations = transaction.operations;
        operations.insert(operations.end(), m_plan.deletions.begin(), m_plan.deletions.end());
        operations.push_back({.key = std::string(HeadKey), .value = encodeHead(m_plan.head)});
        m_step = Step::WriteHead;
        m_next = m_headWrite = std::move(transaction);
    }

    auto didFailToRead(const std::string &detail) -> void
    {
        if (m_step != Step::VerifyWrite)
            return end(PublishOutcome::StoreUnavailable, detail);
        if (++m_verifications > MaxVerifications)
            end(m_mayBeWritten ? PublishOutcome::Unknown : PublishOutcome::StoreUnavailable,
                detail);
    }

    /// Reads from the head whether its write was applied, after the answer to the write was lost.
    auto didVerifyWrite(const store::RangeAnswer &answer) -> void
    {
        const auto &pairs = answer.pairs;
        auto head = pairs.empty() ? Head() : decodeHead(pairs[0].value);
        const auto revision = pairs.empty() ? 0 : pairs[0].modRevision;
        if (const auto *own = head.findApply(m_request.applyId);
            Policy::LooksForOwnApply && own != nullptr)
            return didApply(own->version, std::move(head));
        if (revision == m_baseRevision) {
            if (++m_verifications > MaxVerifications)
                return end(PublishOutcome::Unknown,
                           "the store neither confirms nor refuses the write");
            m_step = Step::WriteHead;
            m_next = m_headWrite;
            return;
        }
        const auto mayBeEvicted =
                head.version == 0 || head.version > m_base.head.version + MaxRecordedApplies;
        if (m_mayBeWritten && mayBeEvicted && Policy::ReportsEvictedApplies) {
            m_result.inForce = std::move(head);
            return end(PublishOutcome::Unknown,
                       "later applies have displaced the record of this one");
        }
        didLoseRace(std::move(head));
    }

    static constexpr auto MaxRestarts = 3U;

    PublishRequest m_request;
    std::string m_hash;
    Step m_step = Step::ReadHead;
    StoreRequest m_next;
    store::Transaction m_headWrite;
    WriteBase m_base;
    store::Revision m_baseRevision = 0;
    std::deque<std::string> m_bucketsToRead;
    WritePlan m_plan;
    bool m_mayBeWritten = false; ///< Whether an earlier write of the head got no answer.
    std::uint32_t m_verifications = 0;
    std::uint32_t m_sectionRetries = 0;
    std::uint32_t m_restarts = 0;
    PublishResult m_result;
};

} // namespace stairspur::distribution

template <>
inline constexpr auto stairspur::enumNames<stairspur::distribution::PublishOutcome> =
        std::array<std::string_view, 6>{"applied",           "already-in-force", "conflict",
                                        "store-unavailable", "unknown",          "rejected"};
