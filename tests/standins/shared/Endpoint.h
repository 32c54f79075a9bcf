#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include <stairspur/core/Error.h>

namespace stairspur::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The parts of `text` between `separator`s; none for an empty text.
inline auto splitText(std::string_view text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}

/// Reads "address:port". Throws SettingError.
inline auto parseEndpoint(const std::string &text) -> tcp::endpoint
{
    const auto colon = text.rfind(':');
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    const auto port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (ec || port <= 0 || port > 65535)
        throw SettingError("'" + text + "' is no endpoint", "write it as address:port");
    return {address, static_cast<std::uint16_t>(port)};
}

inline auto parseEndpoints(const std::string &text) -> std::vector<tcp::endpoint>
{
    std::vector<tcp::endpoint> endpoints;
    for (const auto &it : splitText(text, ','))
        endpoints.push_back(parseEndpoint(it));
    return endpoints;
}

inline auto toText(const tcp::endpoint &endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace stairspur::standins
