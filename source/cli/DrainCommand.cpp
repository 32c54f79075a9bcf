#include <stairspur/cli/DrainCommand.h>

namespace stairspur::cli {

auto drain(const AdminSender &send) -> CommandReport
{
    const auto response = postToNode(send, "/drain", {},
                                     "it may be draining: see stairspur status, then drain it "
                                     "again");
    return {ExitCode::Ok,
            "the node drains and leaves once its running calls have ended\n",
            {{"status", response.status}}};
}

auto runDrain() -> CommandReport
{
    return drain(makeAdminSenderFromFlags());
}

} // namespace stairspur::cli
