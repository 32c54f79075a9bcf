#pragma once

#include <cstdint>
#include <string>

#include <boost/beast/core/error.hpp>

#include <stairspur/core/Outcome.h>

namespace stairspur::transport {

/// Why a request cannot be served, as its sender is told.
struct HttpRefusal
{
    std::uint32_t status;
    Reason reason;
    std::string detail;
};

/// What to tell the sender of input that the parser stopped at.
auto refusalFor(boost::beast::error_code ec) -> HttpRefusal;

} // namespace stairspur::transport
