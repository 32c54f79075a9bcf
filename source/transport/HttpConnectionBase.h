#pragma once

#include <functional>

#include <stairspur/transport/HttpServer.h>

namespace stairspur::transport {

/// What a listener needs to do with a connection, whatever its stream.
class HttpConnectionBase
{
public:
    virtual ~HttpConnectionBase() = default;
    /// Closes at once when idle, else after the answer to the running request.
    virtual auto drain() -> void = 0;
    /// Cancels a running handler, and closes after its answer; closes at once while no whole request is there.
    virtual auto endRequest() -> void = 0;
    /// Closes at once; a running handler is cancelled.
    virtual auto abort() -> void = 0;
};

/// What the connections of one listener share.
struct HttpConnectionContext
{
    HttpServerSettings settings;
    HttpServer::Handler handler;
    bool isClosing = false; ///< Each connection ends with its next answer.
    std::function<void(HttpConnectionBase *)> didEnd;
};

} // namespace stairspur::transport
