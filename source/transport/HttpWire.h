#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <stairspur/core/Outcome.h>
#include <stairspur/transport/HttpMessages.h>

/// HTTP/1.1 message heads as they go onto the wire (RFC 9112), and the answers to input that cannot be served.
namespace stairspur::transport {

/// What a parser has read, in the form that handlers take.
auto toHttpRequest(boost::beast::http::request<boost::beast::http::string_body> message,
                   std::string remoteAddress) -> HttpRequest;

/// Whether a field says how a message is framed on one connection. Those are never passed on; each end writes its own.
auto isConnectionField(std::string_view name) -> bool;

/// The head of a request to `host`. Throws InputError when a part of it holds a character that would end it early.
auto makeRequestHead(const HttpRequest &request, std::string_view host) -> std::string;

/// Whether an answer of `status` to `method` may have a body (RFC 9110, section 6.4.1).
auto mayHaveBody(std::string_view method, std::uint32_t status) -> bool;

/// The head of the answer to a `method` request. Fields whose text would split the answer are left out.
auto makeResponseHead(const HttpResponse &response, std::string_view method, bool isKept)
        -> std::string;

/// A `not-run` answer with a problem body (RFC 9457).
auto makeProblem(std::uint32_t status, Reason reason, std::string_view detail) -> HttpResponse;

} // namespace stairspur::transport
