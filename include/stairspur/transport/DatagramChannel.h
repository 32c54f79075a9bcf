#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Identifiers.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

struct DatagramSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Datagrams carry an HMAC of it; those without are dropped and counted. Empty: none.
    std::string secret;
    std::uint32_t maxBytes = 1400; ///< Stays below the usual path MTU.
    NodeId ownNode; ///< How other nodes address this one. Empty: `address` and the bound port.
};

/// Since the start; bytes without the headers of UDP and IP.
struct DatagramTraffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Garbage, strangers' and misdirected ones; too large ones to send.
    std::uint64_t rejected = 0;
};

/// Small control messages between nodes by UDP: a topic and CBOR bytes each. Nothing is resent.
class DatagramChannel
{
public:
    using Handler = std::function<void(NodeId from, std::string payload)>;

    DatagramChannel(asio::io_context &io, DatagramSettings settings);
    ~DatagramChannel();
    DatagramChannel(const DatagramChannel &) = delete;
    DatagramChannel(DatagramChannel &&) = delete;
    auto operator=(const DatagramChannel &) -> DatagramChannel & = delete;
    auto operator=(DatagramChannel &&) -> DatagramChannel & = delete;

    auto setHandler(std::string topic, Handler handler) -> void;
    /// Throws SettingError when the port cannot be bound.
    auto start() -> void;
    auto stop() -> void;
    auto send(const NodeId &to, const std::string &topic, const std::string &payload) -> void;

    [[nodiscard]] auto port() const -> std::uint16_t;
    [[nodiscard]] auto traffic() const -> DatagramTraffic;

private:
    class Socket;
    std::shared_ptr<Socket> m_socket;
};

} // namespace stairspur::transport
