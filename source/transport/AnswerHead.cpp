#include "AnswerHead.h"

namespace stairspur::transport {

/// RFC 9110, section 15.
static constexpr auto FirstStatus = 100U;
static constexpr auto FirstFinalStatus = 200U;
static constexpr auto LastStatus = 599U;
static constexpr auto SwitchingProtocols = 101U;

auto isInterim(unsigned status) -> bool
{
    return status >= FirstStatus && status < FirstFinalStatus;
}

auto hasFoldedLine(std::string_view head) -> bool
{
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

auto findFault(const boost::beast::http::header<false, boost::beast::http::fields> &head)
        -> std::string_view
{
    if (head.result_int() < FirstStatus || head.result_int() > LastStatus)
        return "its status is outside 100 to 599";
    if (head.result_int() == SwitchingProtocols)
        return "it switched protocols";
    return {};
}

} // namespace stairspur::transport
