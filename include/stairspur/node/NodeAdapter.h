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

/// Functions of the node that a control listener may call, on the control thread.
struct ControlHooks
{
    /// Processes an announcement of the host's backend server. Throws AnnouncementError.
    std::function<void(const membership::Announcement &)> announce;
    /// Records that an incarnation of the backend server has ended. Its announcements are ignored from now on.
    std::function<void(const membership::BackendIncarnation &incarnation)> leave;
    /// Returns whether the node is ready to serve callers.
    std::function<bool()> isReady;
    /// Records that an announcement of `instance` was refused; `error` is the reason.
    std::function<void(const std::string &instance, const std::string &error)>
            didRefuseAnnouncement;
};

/// An additional address on which the control thread serves HTTP requests.
struct ControlListener
{
    std::string address;
    std::uint16_t port = 0;
    std::function<transport::HttpResponse(const transport::HttpRequest &, const ControlHooks &)>
            handle;
};

/// Why the settings are read again.
enum class ReloadCause {
    Signal, ///< SIGHUP.
    Timer,  ///< The reload interval has passed; the settings may have changed without a signal.
};

/// Connects a node to a platform with other protocols than the product's own. The product's own implementation is used
/// for each field that is not set.
struct NodeAdapter
{
    std::optional<CallProtocol> calls;
    std::function<store::AnyStore(boost::asio::io_context &io, std::uint64_t seed)> makeStore;
    std::optional<distribution::WholeItemSource> configuration;
    std::vector<ControlListener> listeners;
    /// Reads the settings again and logs the result. Called on the signal thread.
    std::function<void(ReloadCause)> reload;
    /// Time between two calls of `reload` without a signal; 0: only on SIGHUP.
    Duration reloadInterval{0};
};

} // namespace stairspur::node
