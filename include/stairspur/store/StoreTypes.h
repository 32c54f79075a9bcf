#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

/// Requests to the platform's key-value store and its answers, independent of the store's protocol.
namespace stairspur::store {

/// Outcome of a call to the store.
enum class StoreStatus {
    Ok,
    CasFailed,   ///< A comparison of the transaction failed, so nothing was written.
    Unreachable, ///< The call was certainly not applied: the store did not receive it, or answered that it did nothing.
    Unknown, ///< No complete, valid answer arrived. A write may have been applied, or may still be applied later.
    Rejected, ///< The store permanently refused the request (malformed, too large, lease not found).
};

/// Kinds of call, as the counters list them. A whole watch counts as one call.
enum class StoreCall {
    Range,
    Put,
    Txn,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
};

/// Outcome of a call, with its decoded answer.
template <typename Value>
struct StoreResult
{
    StoreStatus status = StoreStatus::Unknown;
    Value value{};
    std::string detail; ///< Description of the failure, for the log. Empty on success.
    /// Whether the answer arrived over a fresh connection while a kept connection did not answer. Other connections as
    /// old as the kept one may be dead too.
    bool hasFoundSilentConnection = false;

    [[nodiscard]] auto isOk() const -> bool { return status == StoreStatus::Ok; }
};

/// Number of a write transaction of the store. As in etcd, each write transaction has its own revision.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

/// A stored pair with its revisions.
struct KeyValue
{
    std::string key;
    std::string value;
    Revision createRevision = 0;
    Revision modRevision = 0;
    std::int64_t version = 0; ///< Number of writes of this key since it was created.
    LeaseId lease = 0;        ///< Lease at whose end the key is deleted; 0 if there is none.
};

/// A read of one key or of a range of keys.
struct RangeRequest
{
    std::string key;
    std::string rangeEnd;   ///< If empty, only `key` is read, else all keys in [key, rangeEnd).
    std::int64_t limit = 0; ///< Maximum number of pairs in the answer; 0 for no limit.
    bool keysOnly = false;  ///< Whether the answer omits the values.
    /// Whether the answer may be some seconds old. Only hints may be read so. Such a read costs the store a tenth of a
    /// current one.
    bool mayBeStale = false;
};

/// Answer to a RangeRequest.
struct RangeAnswer
{
    std::vector<KeyValue> pairs;
    Revision revision = 0; ///< Revision of the store at the time of the answer.
    bool hasMore = false;  ///< Whether the limit cut off further pairs.
};

/// Property of a key that a comparison reads.
enum class CompareTarget {
    Version,
    CreateRevision,
    ModRevision,
    Value,
};

/// Relation that a comparison requires.
enum class CompareOrder {
    Equal,
    NotEqual,
    Greater,
    Less,
};

/// One condition of a transaction. A key that does not exist has version 0 and revisions 0.
struct Compare
{
    std::string key;
    CompareTarget target = CompareTarget::ModRevision;
    CompareOrder order = CompareOrder::Equal;
    std::int64_t number = 0; ///< Operand of all targets except Value.
    std::string value;       ///< Operand of the target Value.
};

/// One write of a transaction: a put, or the deletion of one key.
struct Operation
{
    bool isDelete = false;
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/// A compare-and-swap: applies all operations in one revision if every comparison holds, else applies nothing
/// (CasFailed).
struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> operations;
};

/// Answer to a put or a transaction.
struct WriteAnswer
{
    Revision revision = 0;
};

/// Answer to a grant, renewal or revocation of a lease.
struct LeaseAnswer
{
    LeaseId lease = 0;
    Duration timeToLive{0}; ///< Zero if the lease no longer exists.
};

/// A watch on one key or on a range of keys, as in RangeRequest.
struct WatchRequest
{
    std::string key;
    std::string rangeEnd;
    Revision startRevision = 0; ///< First revision to report; 0 reports changes from now on.
};

/// One change of a watched key.
struct WatchEvent
{
    bool isDelete = false;
    KeyValue pair;
};

/// One message of a watch. The message that confirms the creation of the watch contains only the revision.
struct WatchMessage
{
    Revision revision = 0;
    std::vector<WatchEvent> events;
};

using WatchHandler = std::function<void(const WatchMessage &)>;

/// State of a watch at its end.
struct WatchEnd
{
    /// Start revision of the next watch. It is 0 when the history was compacted, so that the keys must be read again.
    Revision nextRevision = 0;
};

/// Returns the end of the range of all keys that begin with `prefix`.
inline auto endOfPrefix(std::string prefix) -> std::string
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace stairspur::store

template <>
inline constexpr auto stairspur::enumNames<stairspur::store::StoreStatus> =
        std::array<std::string_view, 5>{"ok", "cas-failed", "unreachable", "unknown", "rejected"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::store::StoreCall> =
        std::array<std::string_view, 7>{"range",           "put",          "txn",  "lease-grant",
                                        "lease-keepalive", "lease-revoke", "watch"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::store::CompareTarget> =
        std::array<std::string_view, 4>{"VERSION", "CREATE", "MOD", "VALUE"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::store::CompareOrder> =
        std::array<std::string_view, 4>{"EQUAL", "NOT_EQUAL", "GREATER", "LESS"};
