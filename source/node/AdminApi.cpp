#include "AdminApi.h"

#include <nlohmann/json.hpp>

#include <stairspur/core/Error.h>

namespace stairspur::node {

using transport::HttpRequest;
using transport::HttpResponse;

static auto textResponse(std::uint32_t status, std::string type, std::string body) -> HttpResponse
{
    auto response = HttpResponse();
    response.status = status;
    response.headers.set("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

static auto jsonResponse(std::uint32_t status, const nlohmann::json &body) -> HttpResponse
{
    return textResponse(status, "application/json",
                        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

static auto problem(std::uint32_t status, const std::string &detail) -> HttpResponse
{
    auto response = jsonResponse(
            status, {{"title", "The request was refused"}, {"status", status}, {"detail", detail}});
    response.headers.set("Content-Type", "application/problem+json");
    return response;
}

auto AdminApi::announce(const HttpRequest &request) -> HttpResponse
{
    try {
        m_hooks.didAnnounce(request.body);
    } catch (const Error &error) {
        return problem(400, error.what());
    }
    return jsonResponse(200, {{"accepted", true}});
}

auto AdminApi::release(const HttpRequest &request) -> HttpResponse
{
    if (!m_hooks.release(request.body))
        return problem(404,
                       "no request of that name is suspected or refused at this node's service; "
                       "run `stairspur status` at a node of the service");
    return jsonResponse(202, {{"released", true}});
}

auto AdminApi::readiness() -> HttpResponse
{
    const auto isReady = m_hooks.isReady();
    return jsonResponse(isReady ? 200 : 503, {{"ready", isReady}});
}

auto AdminApi::handle(const HttpRequest &request) -> HttpResponse
{
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto isGet = request.method == "GET";
    const auto isPost = request.method == "POST";
    if (isPost && path == "/announce")
        return announce(request);
    if (isPost && path == "/drain") {
        m_hooks.startDrain();
        return jsonResponse(202, {{"draining", true}});
    }
    if (isPost && path == "/release")
        return release(request);
    if (isGet && path == "/healthz")
        return jsonResponse(200, {{"alive", true}});
    if (isGet && path == "/readyz")
        return readiness();
    if (isGet && path == "/status")
        return textResponse(200, "application/json", m_hooks.renderStatus());
    if (isGet && path == "/metrics")
        return textResponse(200, "text/plain; version=0.0.4", m_hooks.renderMetrics());
    if (path == "/announce" || path == "/drain" || path == "/healthz" || path == "/readyz"
        || path == "/status" || path == "/metrics" || path == "/release")
        return problem(405, "this path does not support the method; see docs/INTERFACES.md");
    return problem(404,
                   "unknown path; use /healthz, /readyz, /status, /metrics, /drain, /release or "
                   "/announce");
}

} // namespace stairspur::node
