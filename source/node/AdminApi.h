#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// What the admin port asks of the rest of the node. Every function runs on the control thread.
struct AdminHooks
{
    /// The backend server announces itself. Throws Error, with the remedy, on a body that is no announcement.
    std::function<void(const std::string &body)> didAnnounce;
    std::function<void()> startDrain;
    /// An operator lets a request run again; whether one of that name is on trial or refused here.
    std::function<bool(const std::string &name)> release;
    std::function<bool()> isReady;
    std::function<std::string()> renderStatus;  ///< JSON.
    std::function<std::string()> renderMetrics; ///< Prometheus text.
};

/// The operators' port: health, readiness, status, metrics, drain, and the backend server's announcements.
class AdminApi
{
public:
    explicit AdminApi(AdminHooks hooks)
        : m_hooks(std::move(hooks))
    {}

    /// Answers one request; never throws.
    auto handle(const transport::HttpRequest &request) -> transport::HttpResponse;

private:
    auto announce(const transport::HttpRequest &request) -> transport::HttpResponse;
    auto release(const transport::HttpRequest &request) -> transport::HttpResponse;
    auto readiness() -> transport::HttpResponse;

    AdminHooks m_hooks;
};

} // namespace stairspur::node
