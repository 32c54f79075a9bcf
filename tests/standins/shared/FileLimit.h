#pragma once

#include <sys/resource.h>

namespace stairspur::standins {

/// Every outstanding call holds a connection: the soft limit of open files is too low for thousands of them.
inline auto raiseFileLimit() -> void
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace stairspur::standins
