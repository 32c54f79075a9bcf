#pragma once

#include <cstdint>
#include <string>

#include <stairspur/transport/HeaderList.h>

namespace stairspur::transport {

struct HttpRequest
{
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    std::string remoteAddress; ///< The peer's IP number.
};

struct HttpResponse
{
    std::uint32_t status = 200;
    HeaderList headers;
    std::string body;
};

} // namespace stairspur::transport
