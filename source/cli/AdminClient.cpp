#include <stairspur/cli/AdminClient.h>

#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/cli/CommandReport.h>
#include <stairspur/cli/Flags.h>
#include <stairspur/transport/HttpClient.h>

namespace stairspur::cli {

namespace asio = boost::asio;

using namespace std::chrono_literals;

static auto sendAndWait(const Endpoint &admin, Duration timeout, transport::HttpRequest request)
        -> transport::HttpResponse
{
    auto io = asio::io_context();
    auto settings = transport::HttpClientSettings();
    settings.address = admin.address;
    settings.port = admin.port;
    settings.connectTimeout = timeout;
    auto client = transport::HttpClient(io, settings);
    auto response = transport::HttpResponse();
    auto failure = std::exception_ptr();
    asio::co_spawn(io, client.send(std::move(request), timeout, nullptr),
                   [&](std::exception_ptr error, transport::HttpResponse answer) {
                       failure = error;
                       response = std::move(answer);
                       io.stop(); // Kept connections would let it run on.
                   });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    return response;
}

auto makeAdminSender(Endpoint admin, Duration timeout) -> AdminSender
{
    return [admin = std::move(admin), timeout](transport::HttpRequest request) {
        return sendAndWait(admin, timeout, std::move(request));
    };
}

static constexpr auto SuccessBegin = std::uint32_t{200};
static constexpr auto SuccessEnd = std::uint32_t{300};

static auto sendOrExplain(const AdminSender &send, transport::HttpRequest request,
                          const std::string &ifUnknown) -> transport::HttpResponse
{
    try {
        return send(std::move(request));
    } catch (const transport::HttpClientError &error) {
        if (error.failure() == transport::HttpFailure::NotConnected)
            throw CommandError(ExitCode::Unreachable,
                               "the node cannot be reached (" + std::string(error.what()) + ')',
                               "give its admin address by --admin, or check that it runs");
        throw CommandError(ExitCode::Unknown,
                           "the node gave no answer (" + std::string(error.what()) + ')',
                           ifUnknown);
    }
}

auto postToNode(const AdminSender &send, const std::string &target, const std::string &body,
                const std::string &ifUnknown) -> transport::HttpResponse
{
    auto request = transport::HttpRequest();
    request.method = "POST";
    request.target = target;
    request.body = body;
    auto response = sendOrExplain(send, std::move(request), ifUnknown);
    if (response.status < SuccessBegin || response.status >= SuccessEnd)
        throw CommandError(ExitCode::Failed,
                           "the node answered " + std::to_string(response.status) + ": "
                                   + response.body,
                           "check that --admin names the admin port of a node");
    return response;
}

auto makeAdminSenderFromFlags() -> AdminSender
{
    return makeAdminSender(parseEndpoint("admin", FLAGS_admin),
                           parseDurationSetting("admin-timeout", FLAGS_admin_timeout, 10ms, 1h));
}

} // namespace stairspur::cli
