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

auto refusalForHeader(
        const boost::beast::http::header<true, boost::beast::http::fields> &requestHeader,
        bool isChunked) -> std::optional<HttpRefusal>
{
    static constexpr auto Http11 = 11U;
    namespace http = boost::beast::http;
    if (requestHeader.version() == Http11 && requestHeader.count(http::field::host) != 1)
        return HttpRefusal{400, Reason::BadRequest, "send exactly one Host field"};
    if (requestHeader.count(http::field::transfer_encoding) > 0 && !isChunked)
        return HttpRefusal{400, Reason::BadRequest,
                           "the transfer encoding is unknown; send chunked or a Content-Length"};
    return std::nullopt;
}

} // namespace stairspur::transport
