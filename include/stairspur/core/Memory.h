#pragma once

/// How the process takes memory from the system.
namespace stairspur {

/// Makes the process return each large block to the system once it is freed. By default glibc adapts to the largest block that
/// was freed, takes later ones of up to that size from its heap, and keeps the gaps that growing bodies leave there. To be
/// called once, before the first thread starts.
auto returnLargeBlocks() -> void;

} // namespace stairspur
