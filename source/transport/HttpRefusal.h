#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

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

/// Returns the refusal of a header that the parser accepts and RFC 9112 does not (sections 3.2 and 6.1); nothing if there is none.
auto refusalForHeader(
        const boost::beast::http::header<true, boost::beast::http::fields> &requestHeader,
        bool isChunked) -> std::optional<HttpRefusal>;

} // namespace stairspur::transport
