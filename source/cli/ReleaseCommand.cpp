#include <stairspur/cli/ReleaseCommand.h>

namespace stairspur::cli {

auto release(const AdminSender &send, const std::string &request) -> CommandReport
{
    const auto response = postToNode(send, "/release", request,
                                     "it may be released: see stairspur status, then release it "
                                     "again");
    return {ExitCode::Ok,
            "the request may run again at every backend server of its service\n",
            {{"status", response.status}}};
}

auto runRelease(const std::string &request) -> CommandReport
{
    return release(makeAdminSenderFromFlags(), request);
}

} // namespace stairspur::cli
