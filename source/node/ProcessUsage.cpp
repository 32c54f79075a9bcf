#include "ProcessUsage.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <unistd.h>

namespace stairspur::node {

/// Number of fields in /proc/self/stat between the command's name and the ticks in user mode.
static constexpr auto FieldsBeforeTicks = 11;

static auto readFile(const char *path) -> std::string
{
    auto file = std::ifstream(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

auto parseProcessUsage(std::string_view stat, std::string_view statm, std::int64_t ticksPerSecond,
                       std::int64_t pageBytes) -> ProcessUsage
{
    static constexpr auto MicrosecondsPerSecond = std::int64_t{1'000'000};
    auto usage = ProcessUsage();
    // The command's name is in parentheses and may itself contain spaces and parentheses.
    const auto nameEnd = stat.rfind(')');
    if (nameEnd != std::string_view::npos) {
        auto fields = std::istringstream(std::string(stat.substr(nameEnd + 1)));
        auto skipped = std::string();
        for (auto n = 0; n < FieldsBeforeTicks; ++n)
            fields >> skipped;
        auto user = std::int64_t{0};
        auto kernel = std::int64_t{0};
        if (fields >> user >> kernel)
            usage.cpu = Duration{(user + kernel) * MicrosecondsPerSecond / ticksPerSecond};
    }
    auto fields = std::istringstream(std::string(statm));
    auto totalPages = std::uint64_t{0};
    auto residentPages = std::uint64_t{0};
    if (fields >> totalPages >> residentPages)
        usage.residentBytes = residentPages * static_cast<std::uint64_t>(pageBytes);
    return usage;
}

auto readProcessUsage() -> ProcessUsage
{
    return parseProcessUsage(readFile("/proc/self/stat"), readFile("/proc/self/statm"),
                             ::sysconf(_SC_CLK_TCK), ::sysconf(_SC_PAGESIZE));
}

} // namespace stairspur::node
