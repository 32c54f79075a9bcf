#include "HttpWire.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <stairspur/core/Error.h>

namespace stairspur::transport {

static constexpr auto SizeGuess = std::size_t{512};
static constexpr auto FirstStatusWithBody = 200U;
static constexpr auto NoContent = 204U;
static constexpr auto NotModified = 304U;

auto isConnectionField(std::string_view name) -> bool
{
    static constexpr auto Names = std::array<std::string_view, 9>{
            "Connection", "Content-Length",   "Transfer-Encoding", "Keep-Alive", "TE",
            "Trailer",    "Proxy-Connection", "Upgrade",           "Expect"};
    return std::any_of(Names.begin(), Names.end(),
                       [name](auto it) { return boost::beast::iequals(it, name); });
}

static auto isToken(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != ':';
    });
}

static auto isFieldText(std::string_view text) -> bool
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

static auto isTarget(std::string_view text) -> bool
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
        return (c >= '\0' && c <= ' ') || c == '\x7f';
    });
}

static auto appendField(std::string &head, std::string_view name, std::string_view value) -> void
{
    head.append(name).append(": ").append(value).append("\r\n");
}

auto makeRequestHead(const HttpRequest &request, std::string_view host) -> std::string
{
    if (!isToken(request.method) || !isTarget(request.target))
        throw InputError("the method or target of a request holds a forbidden character",
                         "send a method and target as RFC 9112 has them");
    auto head = std::string();
    head.reserve(SizeGuess);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!request.headers.contains("Host"))
        appendField(head, "Host", host);
    for (const auto &it : request.headers.fields()) {
        if (isConnectionField(it.name))
            continue;
        if (!isToken(it.name) || !isFieldText(it.value))
            throw InputError("a header field of a request holds a forbidden character",
                             "send header fields as RFC 9110, section 5, has them");
        appendField(head, it.name, it.value);
    }
    const auto isBodyExpected =
            request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (!request.body.empty() || isBodyExpected)
        appendField(head, "Content-Length", std::to_string(request.body.size()));
    return head.append("\r\n");
}

auto toHttpRequest(boost::beast::http::request<boost::beast::http::string_body> message,
                   std::string remoteAddress) -> HttpRequest
{
    auto request = HttpRequest{.method = std::string(message.method_string()),
                               .target = std::string(message.target()),
                               .headers = {},
                               .body = std::move(message.body()),
                               .remoteAddress = std::move(remoteAddress)};
    for (const auto &it : message)
        request.headers.add(std::string(it.name_string()), std::string(it.value()));
    return request;
}

auto mayHaveBody(std::string_view method, std::uint32_t status) -> bool
{
    return method != "HEAD" && status >= FirstStatusWithBody && status != NoContent
           && status != NotModified;
}

auto makeResponseHead(const HttpResponse &response, std::string_view method, bool isKept)
        -> std::string
{
    namespace http = boost::beast::http;
    auto head = std::string();
    head.reserve(SizeGuess);
    head.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    head.append(http::obsolete_reason(http::int_to_status(response.status))).append("\r\n");
    for (const auto &it : response.headers.fields()) {
        if (!isConnectionField(it.name) && isToken(it.name) && isFieldText(it.value))
            appendField(head, it.name, it.value);
    }
    if (response.status >= FirstStatusWithBody && response.status != NoContent
        && response.status != NotModified)
        appendField(head, "Content-Length", std::to_string(response.body.size()));
    if (!isKept || method.empty())
        appendField(head, "Connection", "close");
    return head.append("\r\n");
}

auto makeProblem(std::uint32_t status, Reason reason, std::string_view detail) -> HttpResponse
{
    namespace http = boost::beast::http;
    const auto title = std::string(http::obsolete_reason(http::int_to_status(status)));
    const auto body = nlohmann::json{{"type", "about:blank"},
                                     {"title", title},
                                     {"status", status},
                                     {"detail", detail},
                                     {"outcome", nameOf(Outcome::NotRun)},
                                     {"reason", nameOf(reason)},
                                     {"retryAfterMs", nullptr}};
    auto response = HttpResponse{.status = status, .headers = {}, .body = body.dump()};
    response.headers.add("Content-Type", "application/problem+json");
    response.headers.add(std::string(header::Outcome), std::string(nameOf(Outcome::NotRun)));
    response.headers.add(std::string(header::Reason), std::string(nameOf(reason)));
    return response;
}

} // namespace stairspur::transport
