#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/platform/PlatformStore.h>
#include <stairspur/platform/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

/// Client of the platform's key-value store.
namespace stairspur::platform {

struct StoreSettings
{
    std::string address = "127.0.0.1"; ///< IP number of the store.
    std::uint16_t port = 2379;
    Duration timeout{2'000'000};      ///< For one attempt at one call.
    std::uint32_t callsPerSecond = 5; ///< At most, all kinds together.
    std::uint32_t burst = 20;         ///< Calls saved up at most.
    std::uint32_t attempts = 3;       ///< At one call, where sending it again is safe.
    Duration minBackoff{100'000};     ///< Before the second attempt.
    Duration maxBackoff{5'000'000};
    Duration watchSilence{60'000'000}; ///< A watch that says nothing for so long is opened anew.
    std::uint32_t maxWatchLineBytes = 4U << 20U;
};

/// Reads "http://192.0.2.1:2379" into address and port. Throws SettingError.
auto storeSettingsFromUrl(const std::string &url) -> StoreSettings;

/// Calls since the start, by kind and by how they ended. Attempts count one by one.
struct StoreCounters
{
    std::array<std::array<std::uint64_t, enumNames<StoreStatus>.size()>,
               enumNames<StoreCall>.size()>
            calls{};
    std::uint64_t delayed = 0;       ///< Calls that waited for the rate limit.
    std::uint64_t watchMessages = 0; ///< With events.

    [[nodiscard]] auto count(StoreCall call, StoreStatus status) const -> std::uint64_t
    {
        return calls[static_cast<std::size_t>(call)][static_cast<std::size_t>(status)];
    }
};

/// PlatformStore over the JSON gateway of etcd v3. Belongs to the thread of its io_context.
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

    /// Hands on each message until the stream ends, falls silent (settings) or is cancelled. The caller opens it anew
    /// from where it ended, after a backoff. `cancellation` may be null.
    auto watch(WatchRequest request, WatchHandler handler, transport::CancellationPtr cancellation)
            -> transport::Task<StoreResult<WatchEnd>>;

    [[nodiscard]] auto counters() const -> const StoreCounters &;

private:
    class Calls;
    std::shared_ptr<Calls> m_calls;
};

} // namespace stairspur::platform
