#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/PlatformStore.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/store/StoreSettings.h>
#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

/// Client of the platform's key-value store.
namespace stairspur::store {

class StoreCaller;

/// PlatformStore over the JSON gateway of etcd v3. Used only on the thread of its io_context.
class EtcdStore
{
public:
    EtcdStore(transport::asio::io_context &io, StoreSettings settings, std::uint64_t seed);
    ~EtcdStore();
    EtcdStore(const EtcdStore &) = delete;
    EtcdStore(EtcdStore &&) = delete;
    auto operator=(const EtcdStore &) -> EtcdStore & = delete;
    auto operator=(EtcdStore &&) -> EtcdStore & = delete;

    auto range(RangeRequest request) -> transport::Task<StoreResult<RangeAnswer>>;
    auto put(std::string key, std::string value, LeaseId lease)
            -> transport::Task<StoreResult<WriteAnswer>>;
    auto txn(Transaction transaction) -> transport::Task<StoreResult<WriteAnswer>>;
    auto grantLease(Duration timeToLive) -> transport::Task<StoreResult<LeaseAnswer>>;
    auto keepLeaseAlive(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>>;
    auto revokeLease(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>>;

    /// Calls `handler` with each message until the stream ends, exceeds the idle timeout of the settings or is
    /// cancelled. The user opens the next watch at WatchEnd::nextRevision after a backoff. `cancellation` may be null.
    auto watch(WatchRequest request, WatchHandler handler, transport::CancellationPtr cancellation)
            -> transport::Task<StoreResult<WatchEnd>>;

    /// Returns the counters of all calls of this client.
    [[nodiscard]] auto counters() const -> const StoreCounters &;

private:
    std::shared_ptr<StoreCaller> m_caller;
};

} // namespace stairspur::store
