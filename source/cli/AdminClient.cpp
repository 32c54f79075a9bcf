#include <stairspur/cli/AdminClient.h>

#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

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

auto makeAdminSenderFromFlags() -> AdminSender
{
    return makeAdminSender(parseEndpoint("admin", FLAGS_admin),
                           parseDurationSetting("admin-timeout", FLAGS_admin_timeout, 10ms, 1h));
}

} // namespace stairspur::cli
