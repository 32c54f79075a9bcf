#include <stairspur/cli/DrainCommand.h>

#include <stairspur/transport/HttpClient.h>

namespace stairspur::cli {

static constexpr auto SuccessBegin = std::uint32_t{200};
static constexpr auto SuccessEnd = std::uint32_t{300};

static auto sendDrain(const AdminSender &send) -> transport::HttpResponse
{
    auto request = transport::HttpRequest();
    request.method = "POST";
    request.target = "/drain";
    try {
        return send(std::move(request));
    } catch (const transport::HttpClientError &error) {
        if (error.failure() == transport::HttpFailure::NotConnected)
            throw CommandError(ExitCode::Unreachable,
                               "the node cannot be reached (" + std::string(error.what()) + ')',
                               "give its admin address by --admin, or check that it runs");
        throw CommandError(ExitCode::Unknown,
                           "the node gave no answer (" + std::string(error.what()) + ')',
                           "it may be draining: see stairspur status, then drain it again");
    }
}

auto drain(const AdminSender &send) -> CommandReport
{
    const auto response = sendDrain(send);
    if (response.status < SuccessBegin || response.status >= SuccessEnd)
        throw CommandError(ExitCode::Failed,
                           "the node answered " + std::to_string(response.status) + ": "
                                   + response.body,
                           "check that --admin names the admin port of a node");
    return {ExitCode::Ok,
            "the node drains and leaves once its running calls have ended\n",
            {{"status", response.status}}};
}

auto runDrain() -> CommandReport
{
    return drain(makeAdminSenderFromFlags());
}

} // namespace stairspur::cli
