#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// Functions of the node that the admin port calls. Each of them runs on the control thread.
struct AdminHooks
{
    /// Processes an announcement of the backend server. Throws Error, with a remedy, if the body is not a valid announcement.
    std::function<void(const std::string &body)> didAnnounce;
    std::function<void()> startDrain; ///< Starts the graceful shutdown of the node.
    /// Releases a quarantined request for an operator, so that it may run again. Returns whether a request of that name is
    /// suspected or refused here.
    std::function<bool(const std::string &name)> release;
    std::function<bool()> isReady;
    std::function<std::string()> renderStatus;  ///< JSON.
    std::function<std::string()> renderMetrics; ///< Prometheus text.
};

/// Serves the admin port: health, readiness, status, metrics, drain, release of quarantined requests, and the backend
/// server's announcements.
class AdminApi
{
public:
    explicit AdminApi(AdminHooks hooks)
        : m_hooks(std::move(hooks))
    {}

    /// Serves one request. Invalid requests get an error response; never throws.
    auto handle(const transport::HttpRequest &request) -> transport::HttpResponse;

private:
    auto announce(const transport::HttpRequest &request) -> transport::HttpResponse;
    auto release(const transport::HttpRequest &request) -> transport::HttpResponse;
    auto readiness() -> transport::HttpResponse;

    AdminHooks m_hooks;
};

} // namespace stairspur::node
