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

/// What the platform's key-value store is asked and answers, whichever protocol it speaks.
namespace stairspur::store {

/// How a call to the store ended.
enum class StoreStatus {
    Ok,
    CasFailed, ///< The comparison of a transaction did not hold: nothing was written.
    Unreachable, ///< Certainly not applied: the store never got the request, or said that it did nothing.
    Unknown,  ///< No whole answer came: a write may have been applied, now or yet.
    Rejected, ///< The store refused the request for good (malformed, too large, lease not found).
};

/// The kinds of call, as the counters list them. A watch counts as one read while it waits.
enum class StoreCall {
    Range,
    Put,
    Txn,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
};

template <typename Value>
struct StoreResult
{
    StoreStatus status = StoreStatus::Unknown;
    Value value{};
    std::string detail; ///< What went wrong, for the log; empty when nothing did.
    /// The answer came over a fresh connection while a kept one said nothing: others of its age may be as dead.
    bool hasFoundSilentConnection = false;

    [[nodiscard]] auto isOk() const -> bool { return status == StoreStatus::Ok; }
};

/// Revisions count the store's writes as in etcd: each write transaction has one of its own.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct KeyValue
{
    std::string key;
    std::string value;
    Revision createRevision = 0;
    Revision modRevision = 0;
    std::int64_t version = 0; ///< Writes of this key since it was created.
    LeaseId lease = 0;
};

struct RangeRequest
{
    std::string key;
    std::string rangeEnd; ///< Empty: the one key; else all keys in [key, rangeEnd).
    std::int64_t limit = 0;
    bool keysOnly = false;
    /// The answer may be some seconds old. For hints alone: it costs the store a tenth of an answer that is not.
    bool mayBeStale = false;
};

struct RangeAnswer
{
    std::vector<KeyValue> pairs;
    Revision revision = 0; ///< Of the store, at the time of the answer.
    bool hasMore = false;
};

enum class CompareTarget {
    Version,
    CreateRevision,
    ModRevision,
    Value,
};

enum class CompareOrder {
    Equal,
    NotEqual,
    Greater,
    Less,
};

/// One condition of a transaction. A key that does not exist has version and revisions 0.
struct Compare
{
    std::string key;
    CompareTarget target = CompareTarget::ModRevision;
    CompareOrder order = CompareOrder::Equal;
    std::int64_t number = 0; ///< For all targets but Value.
    std::string value;       ///< For Value.
};

struct Operation
{
    bool isDelete = false;
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/// All operations in one revision if every comparison holds, else nothing (CasFailed).
struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> operations;
};

struct WriteAnswer
{
    Revision revision = 0;
};

struct LeaseAnswer
{
    LeaseId lease = 0;
    Duration timeToLive{0}; ///< Zero: the lease is gone.
};

struct WatchRequest
{
    std::string key;
    std::string rangeEnd;
    Revision startRevision = 0; ///< 0: from now on.
};

struct WatchEvent
{
    bool isDelete = false;
    KeyValue pair;
};

/// One message of a watch: nothing but the revision when the watch has just been created.
struct WatchMessage
{
    Revision revision = 0;
    std::vector<WatchEvent> events;
};

using WatchHandler = std::function<void(const WatchMessage &)>;

/// Why a watch ended. `revision` is where the next one starts; 0 when the history before it is gone (compacted), so
/// that the keys must be read anew.
struct WatchEnd
{
    Revision nextRevision = 0;
};

/// The end of the range of all keys that begin with `prefix`.
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
