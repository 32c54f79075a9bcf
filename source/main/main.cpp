#include <cstdio>

auto main() -> int
{
    std::puts("stairspur 0.1.0");
    return 0;
}
