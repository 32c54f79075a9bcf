#pragma once

#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "StoreRecords.h"

/// Requests and answers of the gateway over HTTP.
namespace stairspur::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Response = http::response<http::string_body>;

/// "lease/grant" of "/v3/lease/grant", "put" of "/v3/kv/put".
inline auto kindOf(const std::string &target) -> std::string
{
    for (const auto *prefix : {"/v3/kv/lease/", "/v3/kv/", "/v3/"}) {
        if (!target.starts_with(prefix))
            continue;
        const auto rest = target.substr(std::string_view(prefix).size());
        return std::string_view(prefix) == "/v3/kv/lease/" ? "lease/" + rest : rest;
    }
    return "unknown";
}

inline auto failure(const StoreError &error) -> Response
{
    auto response = Response(http::int_to_status(error.status), 11);
    response.body() =
            Json{{"error", error.what()}, {"message", error.what()}, {"code", error.code}}.dump();
    return response;
}

inline auto write(asio::ip::tcp::socket &socket, Response response, bool keepAlive)
        -> asio::awaitable<bool>
{
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keepAlive);
    response.prepare_payload();
    auto ec = beast::error_code();
    co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec && keepAlive;
}

inline auto writeChunk(asio::ip::tcp::socket &socket, Json result) -> asio::awaitable<bool>
{
    const auto text = Json{{"result", std::move(result)}}.dump() + "\n";
    auto ec = beast::error_code();
    co_await asio::async_write(socket, http::make_chunk(asio::buffer(text)),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

} // namespace stairspur::standin
