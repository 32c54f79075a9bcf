#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/node/NodeSettings.h>

using namespace stairspur;
using boost::asio::ip::tcp;

Test(RunNode, portInUseThrowsSettingError)
{
    auto io = boost::asio::io_context();
    const auto taken = tcp::acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    auto settings = node::NodeSettings();
    settings.failureDomain = "centre";
    settings.peerPort = 0;
    settings.entryPort = 0;
    settings.adminPort = taken.local_endpoint().port();
    cr_assert_throw(node::runNode(settings), SettingError);
}
