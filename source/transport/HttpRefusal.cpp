#include "HttpRefusal.h"

#include <boost/beast/http/error.hpp>

namespace stairspur::transport {

auto refusalFor(boost::beast::error_code ec) -> HttpRefusal
{
    namespace http = boost::beast::http;
    if (ec == http::error::header_limit)
        return {431, Reason::TooLarge, "the header fields are too large; send fewer"};
    if (ec == http::error::body_limit)
        return {413, Reason::TooLarge, "the body is too large; send a smaller one"};
    return {400, Reason::BadRequest,
            "the request is malformed (" + ec.message() + "); send HTTP/1.1 as RFC 9112 says"};
}

} // namespace stairspur::transport
