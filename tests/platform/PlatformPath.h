#pragma once

#include <platform/CallHeaders.h>

#include "../node/CallPathHarness.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

namespace stairspur {

using namespace node;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

/// A path with one idempotent and one non-idempotent route.
struct PlatformPath
{
    CallProtocol protocol = platform::platformCalls();
    CallPathHarness path{&protocol};

    PlatformPath()
    {
        path.settings.service = "caller";
        auto versioned = std::make_shared<config::VersionedConfiguration>();
        versioned->version = 1;
        auto &configuration = versioned->configuration;
        configuration.classes = {{"orders", 0}, {"views", 1}};
        configuration.services = {{.name = "menu"}};
        configuration.retry.requestShare = 0.1;
        configuration.retry.fleetBucketSize =
                160; // Ten tokens for each of the sixteen hosts assumed.
        configuration.routes = {
                {.name = "views",
                 .host = "a",
                 .pathPrefix = "/v/",
                 .targets = {{"menu", 1}},
                 .className = "views",
                 .maxAttempts = 3},
                {.name = "orders",
                 .host = "a",
                 .pathPrefix = "/o/",
                 .targets = {{"menu", 1}},
                 .className = "orders",
                 .isIdempotent = false,
                 .maxAttempts = 3},
        };
        path.board.configuration.publish(
                std::make_shared<const config::ConfigurationIndex>(std::move(versioned)));
    }

    /// Two hosts whose backend servers answer the nth request by `answer(n)`.
    auto addHosts(const std::function<HttpResponse(int n, const HttpRequest &)> &answer) -> void
    {
        for (auto n = 0; n < 2; ++n) {
            path.addHost("menu", [this, answer](auto request, auto) -> Task<HttpResponse> {
                arrived.push_back(request);
                co_return answer(static_cast<int>(arrived.size()), request);
            });
        }
    }

    auto send(const std::string &target, const std::string &id = "root") -> const HttpResponse &
    {
        auto request = HttpRequest();
        request.method = "POST";
        request.target = target;
        request.headers.add("Host", "a");
        request.headers.add("X-Attempt-Id", id);
        request.headers.add("X-Deadline-Ms", "5000");
        request.headers.add("X-Caller-Service", "forged");
        const auto index = path.start(std::move(request));
        cr_assert(path.finish());
        return path.responses[index];
    }

    std::vector<HttpRequest> arrived;
};

} // namespace stairspur
