#include "AnswerHead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace stairspur::transport {

namespace http = boost::beast::http;

/// RFC 9110, section 15.
static constexpr auto FirstStatus = 100U;
static constexpr auto FirstFinalStatus = 200U;
static constexpr auto LastStatus = 599U;
static constexpr auto SwitchingProtocols = 101U;

/// Parts of the protocol's version, as the parser gives it.
static constexpr auto Http11 = 11U;

auto isInterim(unsigned status) -> bool
{
    return status >= FirstStatus && status < FirstFinalStatus;
}

auto hasFoldedLine(std::string_view head) -> bool
{
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

/// Returns whether the parser decodes the body: it knows one coding, and forwards a body in others as it is. HTTP/1.0 has
/// none (RFC 9112, section 6.1).
static auto isTransferCodingKnown(const http::header<false, http::fields> &head) -> bool
{
    return head.version() >= Http11 && head.count(http::field::transfer_encoding) == 1
           && boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

auto findFault(const http::header<false, http::fields> &head) -> std::string_view
{
    const auto status = head.result_int();
    if (status < FirstStatus || status > LastStatus)
        return "its status is outside 100 to 599";
    if (status == SwitchingProtocols)
        return "it switched protocols";
    const auto isCoded = head.count(http::field::transfer_encoding) > 0;
    if (isCoded && !isTransferCodingKnown(head))
        return "its transfer coding is unknown";
    const auto length = head[http::field::content_length];
    if (isInterim(status) && (isCoded || (!length.empty() && length != "0")))
        return "it is an interim answer with a body";
    return {};
}

} // namespace stairspur::transport
