#pragma once

#include <concepts>
#include <string>
#include <utility>

#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// Interface to the platform's key-value store. Each protocol of a store has an adapter that satisfies this concept.
///
/// Calls report connection and store failures by their status and don't throw for them. The adapter retries reads that
/// were not answered. It retries a write only when the write was certainly not applied.
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
