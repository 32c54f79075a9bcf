#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

/// What makes the head of an answer invalid although the parser accepts it.
namespace stairspur::transport {

/// Returns whether another answer to the same request follows one with this status (RFC 9110, section 15.2).
auto isInterim(unsigned status) -> bool;

/// Returns whether a line of `head`, which consists of whole lines, continues the field before it (RFC 9112, section 5.2).
/// The parser joins both, which changes that field and hides what the second line is a field of.
auto hasFoldedLine(std::string_view head) -> bool;

/// Returns why an answer with this head cannot be used; empty if it can.
auto findFault(const boost::beast::http::header<false, boost::beast::http::fields> &head)
        -> std::string_view;

} // namespace stairspur::transport
