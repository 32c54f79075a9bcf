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

/// A whole configuration that stands in the store as one item.
struct WholeItem
{
    std::uint64_t version = 0;
    config::Configuration configuration;
};

/// Where the store holds the configuration, when operators write it there by other means than `stairspur apply`.
struct WholeItemSource
{
    std::string key;
    /// Reads the item's value. Throws InputError.
    std::function<WholeItem(const std::string &value)> read;
};

/// What surrounds a node's distribution. All of it must outlive the service, and belongs to the control thread.
struct DistributionParts
{
    /// What membership believes now; asked at each tick. May return null before anything is known.
    using View = std::function<std::shared_ptr<const membership::MembershipView>()>;
    /// Called on the control thread with each configuration that comes into force.
    using DidPublish = std::function<void(config::ConfigurationPtr)>;

    transport::PeerClient &peers;
    transport::DatagramChannel &datagrams;
    store::AnyStore *store = nullptr; ///< Null: this node learns from peers alone.
    View view;
    DidPublish didPublish;
    std::optional<WholeItemSource> source{}; ///< None: the head and sections that `apply` writes.
    /// Called on the control thread when the configuration in force is proved to have been the newest later than before.
    std::function<void(TimePoint provenAt)> didProve{};
    /// Called on the control thread when a connection to the store was found silent while a fresh one works.
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

    /// Takes the topic `config` of the datagram channel and begins.
    auto start() -> void;
    auto stop() -> void;

    /// For PeerServer::setRequestHandler(ConfigTopic, ...). May be called on any thread: the work is done on the control
    /// thread, whose io_context must be running.
    [[nodiscard]] auto requestHandler() const -> transport::PeerServer::RequestHandler;

    /// The 24 bytes that every membership probe and ack carries.
    [[nodiscard]] auto digest() const -> std::string;
    /// What a probe or ack of `from` carried; empty bytes are passed over, malformed ones counted.
    auto didReceiveDigest(const NodeId &from, std::string_view bytes) -> void;

    /// Version 0: no configuration yet.
    [[nodiscard]] auto version() const -> std::uint64_t;
    [[nodiscard]] auto hash() const -> std::string;
    [[nodiscard]] auto isRelay() const -> bool;
    [[nodiscard]] auto counters() const -> DistributionCounters;

private:
    class Runner;
    std::shared_ptr<Runner> m_runner;
};

} // namespace stairspur::distribution
