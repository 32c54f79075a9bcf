#pragma once

#include <memory>
#include <string>
#include <utility>

#include <stairspur/store/PlatformStore.h>
#include <stairspur/store/StoreCounters.h>

namespace stairspur::store {

/// A store whose protocol is chosen when the process starts. Wraps any PlatformStore that counts its calls, and
/// forwards all calls to it.
class AnyStore
{
public:
    template <PlatformStore Store>
    explicit AnyStore(std::unique_ptr<Store> store)
        : m_store(std::make_unique<Model<Store>>(std::move(store)))
    {}

    auto range(RangeRequest request) -> transport::Task<StoreResult<RangeAnswer>>
    {
        return m_store->range(std::move(request));
    }
    auto put(std::string key, std::string value, LeaseId lease)
            -> transport::Task<StoreResult<WriteAnswer>>
    {
        return m_store->put(std::move(key), std::move(value), lease);
    }
    auto txn(Transaction transaction) -> transport::Task<StoreResult<WriteAnswer>>
    {
        return m_store->txn(std::move(transaction));
    }
    auto grantLease(Duration timeToLive) -> transport::Task<StoreResult<LeaseAnswer>>
    {
        return m_store->grantLease(timeToLive);
    }
    auto keepLeaseAlive(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>>
    {
        return m_store->keepLeaseAlive(lease);
    }
    auto revokeLease(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>>
    {
        return m_store->revokeLease(lease);
    }
    auto watch(WatchRequest request, WatchHandler handler, transport::CancellationPtr cancellation)
            -> transport::Task<StoreResult<WatchEnd>>
    {
        return m_store->watch(std::move(request), std::move(handler), std::move(cancellation));
    }
    [[nodiscard]] auto counters() const -> const StoreCounters & { return m_store->counters(); }

private:
    class Interface
    {
    public:
        virtual ~Interface() = default;
        virtual auto range(RangeRequest request) -> transport::Task<StoreResult<RangeAnswer>> = 0;
        virtual auto put(std::string key, std::string value, LeaseId lease)
                -> transport::Task<StoreResult<WriteAnswer>> = 0;
        virtual auto txn(Transaction transaction) -> transport::Task<StoreResult<WriteAnswer>> = 0;
        virtual auto grantLease(Duration timeToLive)
                -> transport::Task<StoreResult<LeaseAnswer>> = 0;
        virtual auto keepLeaseAlive(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>> = 0;
        virtual auto revokeLease(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>> = 0;
        virtual auto watch(WatchRequest request, WatchHandler handler,
                           transport::CancellationPtr cancellation)
                -> transport::Task<StoreResult<WatchEnd>> = 0;
        [[nodiscard]] virtual auto counters() const -> const StoreCounters & = 0;
    };

    template <PlatformStore Store>
    class Model final : public Interface
    {
    public:
        explicit Model(std::unique_ptr<Store> store)
            : m_store(std::move(store))
        {}

        auto range(RangeRequest request) -> transport::Task<StoreResult<RangeAnswer>> override
        {
            return m_store->range(std::move(request));
        }
        auto put(std::string key, std::string value, LeaseId lease)
                -> transport::Task<StoreResult<WriteAnswer>> override
        {
            return m_store->put(std::move(key), std::move(value), lease);
        }
        auto txn(Transaction transaction) -> transport::Task<StoreResult<WriteAnswer>> override
        {
            return m_store->txn(std::move(transaction));
        }
        auto grantLease(Duration timeToLive) -> transport::Task<StoreResult<LeaseAnswer>> override
        {
            return m_store->grantLease(timeToLive);
        }
        auto keepLeaseAlive(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>> override
        {
            return m_store->keepLeaseAlive(lease);
        }
        auto revokeLease(LeaseId lease) -> transport::Task<StoreResult<LeaseAnswer>> override
        {
            return m_store->revokeLease(lease);
        }
        auto watch(WatchRequest request, WatchHandler handler,
                   transport::CancellationPtr cancellation)
                -> transport::Task<StoreResult<WatchEnd>> override
        {
            return m_store->watch(std::move(request), std::move(handler), std::move(cancellation));
        }
        [[nodiscard]] auto counters() const -> const StoreCounters & override
        {
            return m_store->counters();
        }

    private:
        std::unique_ptr<Store> m_store;
    };

    std::unique_ptr<Interface> m_store;
};

} // namespace stairspur::store
