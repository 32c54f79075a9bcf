#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/PeerSettings.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// The listening end of peer links: hands calls to the gate and control requests to whoever handles their topic.
class PeerServer
{
public:
    /// Answers one call. The cancellation fires when the entry gives the call up or its link breaks.
    using CallHandler = std::function<Task<CallAnswer>(NodeId from, CallRequest, CancellationPtr)>;
    /// Answers one control request, which may come twice. What it throws reaches the requester as a PeerError with the message.
    using RequestHandler = std::function<Task<std::string>(NodeId from, std::string payload)>;

    PeerServer(asio::io_context &io, std::string address, std::uint16_t port,
               PeerSettings settings);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer(PeerServer &&) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;
    auto operator=(PeerServer &&) -> PeerServer & = delete;

    auto setCallHandler(CallHandler handler) -> void;
    auto setRequestHandler(std::string topic, RequestHandler handler) -> void;

    /// Binds and accepts. Throws SettingError when the port cannot be bound.
    auto start() -> void;

    /// Closes the links once their running calls have been answered; `didFinish` runs when none is left.
    auto drain(std::function<void()> didFinish) -> void;

    [[nodiscard]] auto port() const -> std::uint16_t;
    [[nodiscard]] auto traffic() const -> PeerTraffic;

private:
    class Acceptor;
    std::shared_ptr<Acceptor> m_acceptor;
};

} // namespace stairspur::transport
