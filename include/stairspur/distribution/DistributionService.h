#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/distribution/DistributionState.h>
#include <stairspur/membership/Member.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/DatagramChannel.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

namespace stairspur::distribution {

/// Topic of the distribution's datagrams and control requests.
inline constexpr auto ConfigTopic = "config";

/// A whole configuration that the store contains as one item.
struct WholeItem
{
    std::uint64_t version = 0;
    config::Configuration configuration;
};

/// Locates and reads the store's configuration when operators write it by other means than `stairspur apply`.
struct WholeItemSource
{
    std::string key; ///< Key of the item.
    /// Reads the item's value. Throws InputError.
    std::function<WholeItem(const std::string &value)> read;
};

/// Objects and callbacks that a node's distribution uses. All of them must outlive the service and are used only on the
/// control thread.
struct DistributionParts
{
    /// Returns membership's current view. Called at each tick; may return null before the first view exists.
    using View = std::function<std::shared_ptr<const membership::MembershipView>()>;
    /// Called on the control thread with each configuration that comes into force.
    using DidPublish = std::function<void(config::ConfigurationPtr)>;

    transport::PeerClient &peers;
    transport::DatagramChannel &datagrams;
    store::AnyStore *store =
            nullptr; ///< Null for a node that receives configurations only from peers.
    View view;
    DidPublish didPublish;
    /// Source of whole items; unset when the store contains the head and sections that `apply` writes.
    std::optional<WholeItemSource> source{};
    /// Called on the control thread with each later time at which the configuration in force is proven to be the newest.
    std::function<void(TimePoint provenAt)> didProve{};
    /// Called on the control thread when a connection to the store was found silent while a new one works.
    std::function<void()> didFindSilence{};
};

/// Runs DistributionState on the control thread: its datagrams, control requests, store reads and watch.
class DistributionService
{
public:
    DistributionService(boost::asio::io_context &control, NodeId self, std::string domain,
                        DistributionSettings settings, DistributionParts parts, std::uint64_t seed);
    ~DistributionService();
    DistributionService(const DistributionService &) = delete;
    DistributionService(DistributionService &&) = delete;
    auto operator=(const DistributionService &) -> DistributionService & = delete;
    auto operator=(DistributionService &&) -> DistributionService & = delete;

    /// Registers the handler of the datagram channel's topic `config` and starts the ticks.
    auto start() -> void;
    /// Stops the ticks and cancels the watch.
    auto stop() -> void;

    /// Returns the handler for PeerServer::setRequestHandler(ConfigTopic, ...). It may be called on any thread: requests are
    /// served on the control thread, whose io_context must be running.
    [[nodiscard]] auto requestHandler() const -> transport::PeerServer::RequestHandler;

    /// Returns the 24 bytes that every membership probe and ack carries.
    [[nodiscard]] auto digest() const -> std::string;
    /// Processes the digest that a probe or ack of `from` carried. Empty bytes are ignored; malformed ones are counted.
    auto didReceiveDigest(const NodeId &from, std::string_view bytes) -> void;

    /// Returns the version in force; 0 before the first configuration.
    [[nodiscard]] auto version() const -> std::uint64_t;
    [[nodiscard]] auto hash() const -> std::string;
    [[nodiscard]] auto isRelay() const -> bool;
    [[nodiscard]] auto counters() const -> DistributionCounters;

private:
    class Runner;
    std::shared_ptr<Runner> m_runner;
};

} // namespace stairspur::distribution
