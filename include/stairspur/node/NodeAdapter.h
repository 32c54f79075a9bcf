#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/distribution/DistributionService.h>
#include <stairspur/membership/Announcement.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// What a control listener may ask of the node. Called on the control thread.
struct ControlHooks
{
    /// Takes what the host's backend server says of itself. Throws AnnouncementError.
    std::function<void(const membership::Announcement &)> announce;
    /// A life of the backend server has ended; nothing of it counts from now on.
    std::function<void(const membership::BackendIncarnation &life)> leave;
    std::function<bool()> isReady;
    /// What was said of `instance` could not be taken; `error` tells why.
    std::function<void(const std::string &instance, const std::string &error)> didRefuse;
};

/// A further address on which the control thread answers HTTP.
struct ControlListener
{
    std::string address;
    std::uint16_t port = 0;
    std::function<transport::HttpResponse(const transport::HttpRequest &, const ControlHooks &)>
            handle;
};

/// Why settings are read again.
enum class ReloadCause {
    Signal, ///< SIGHUP.
    Timer,  ///< They may have changed without a signal.
};

/// What connects a node to surroundings that don't speak the product's own protocols. Whatever is left out, the
/// product's own holds.
struct NodeAdapter
{
    std::optional<CallProtocol> calls;
    std::function<store::AnyStore(boost::asio::io_context &io, std::uint64_t seed)> makeStore;
    std::optional<distribution::WholeItemSource> configuration;
    std::vector<ControlListener> listeners;
    /// The settings may have changed. Called on the thread of the signals; logs what it finds.
    std::function<void(ReloadCause)> reload;
    /// How often it is called without a signal; 0: upon SIGHUP only.
    Duration reloadInterval{0};
};

} // namespace stairspur::node
