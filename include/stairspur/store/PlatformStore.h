#pragma once

#include <concepts>
#include <string>
#include <utility>

#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// What stairspur needs of the platform's key-value store. Another store's protocol is one more adapter of this kind.
///
/// No call throws for what goes wrong on the way: the status says what is known. Reads are sent again by the adapter
/// while that helps; a write is sent again only when it is certain that it was not applied.
template <typename Store>
concept PlatformStore =
        requires(Store &store, RangeRequest range, Transaction transaction, std::string text,
                 LeaseId lease, Duration timeToLive, WatchRequest watch, WatchHandler handler,
                 transport::CancellationPtr cancellation) {
            {
                store.range(range)
            } -> std::same_as<transport::Task<StoreResult<RangeAnswer>>>;
            {
                store.put(text, text, lease)
            } -> std::same_as<transport::Task<StoreResult<WriteAnswer>>>;
            {
                store.txn(transaction)
            } -> std::same_as<transport::Task<StoreResult<WriteAnswer>>>;
            {
                store.grantLease(timeToLive)
            } -> std::same_as<transport::Task<StoreResult<LeaseAnswer>>>;
            {
                store.keepLeaseAlive(lease)
            } -> std::same_as<transport::Task<StoreResult<LeaseAnswer>>>;
            {
                store.revokeLease(lease)
            } -> std::same_as<transport::Task<StoreResult<LeaseAnswer>>>;
            {
                store.watch(watch, handler, cancellation)
            } -> std::same_as<transport::Task<StoreResult<WatchEnd>>>;
        };

} // namespace stairspur::store
