#include <stairspur/cli/Command.h>

#include <algorithm>

namespace stairspur::cli {

static constexpr auto NodeFlags = std::to_array<std::string_view>({"failure-domain",
                                                                   "host-address",
                                                                   "region",
                                                                   "rack",
                                                                   "peer-port",
                                                                   "entry-port",
                                                                   "admin-port",
                                                                   "admin-address",
                                                                   "seeds",
                                                                   "store",
                                                                   "peer-secret",
                                                                   "tls-certificate",
                                                                   "tls-key",
                                                                   "protocol-period",
                                                                   "announcement-timeout",
                                                                   "drain-timeout",
                                                                   "revocation-bound",
                                                                   "configuration-bound",
                                                                   "store-timeout",
                                                                   "store-calls-per-second",
                                                                   "subset-size",
                                                                   "max-connections",
                                                                   "max-header",
                                                                   "max-body",
                                                                   "request-timeout",
                                                                   "log-level",
                                                                   "log-decision-sample"});
static constexpr auto ApplyFlags = std::to_array<std::string_view>(
        {"store", "store-timeout", "applied-by", "expect-version", "minimum-version", "json"});
static constexpr auto CheckFlags = std::to_array<std::string_view>({"json"});
static constexpr auto StatusFlags = std::to_array<std::string_view>(
        {"store", "store-timeout", "admin", "admin-timeout", "watch", "json"});
static constexpr auto AdminFlags =
        std::to_array<std::string_view>({"admin", "admin-timeout", "json"});
static constexpr auto VersionFlags = std::to_array<std::string_view>({"json"});

static constexpr auto Descriptions = std::to_array<CommandDescription>({
        {Command::Node, "", false, "run the node of this host until SIGTERM or a drain", NodeFlags},
        {Command::Apply, "FILE", true, "put a whole configuration in force", ApplyFlags},
        {Command::Check, "FILE", true, "check a configuration, offline", CheckFlags},
        {Command::Status, "", false, "show which configuration is in force where, and who is alive",
         StatusFlags},
        {Command::Drain, "", false, "let a node end its running calls and leave", AdminFlags},
        {Command::Release, "REQUEST", true,
         "let a request run again that was stopped because backend servers ended under it",
         AdminFlags},
        {Command::Version, "", false, "show the version of this program", VersionFlags},
        {Command::Help, "COMMAND", false, "show the commands, or the flags of one", {}},
});

auto commandDescriptions() -> std::span<const CommandDescription>
{
    return Descriptions;
}

auto describe(Command command) -> const CommandDescription &
{
    return *std::ranges::find(Descriptions, command, &CommandDescription::command);
}

auto hasFlag(const CommandDescription &command, std::string_view flag) -> bool
{
    return std::ranges::find(command.flags, flag) != command.flags.end();
}

} // namespace stairspur::cli
