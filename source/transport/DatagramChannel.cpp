#include <stairspur/transport/DatagramChannel.h>

#include <map>
#include <optional>
#include <unordered_map>

#include <boost/asio/ip/udp.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>
#include <stairspur/log/Log.h>

#include "CborReader.h"
#include "CborWriter.h"
#include "Frames.h"
#include <stairspur/transport/NodeAddress.h>

namespace stairspur::transport {

static constexpr auto DatagramVersion = std::uint64_t{1};
static constexpr auto MaxDatagram = std::size_t{65536};
static constexpr auto EnvelopeItems = std::uint64_t{2};
static constexpr auto ContentItems = std::uint64_t{5};

/// Endpoints of nodes that are remembered, so that their text is read once; past these the memory starts anew.
static constexpr auto MaxKnownNodes = std::size_t{16384};

/// Datagrams that are read in a row before other work gets its turn.
static constexpr auto MaxBatch = 64;

/// What a datagram says. Views point into its bytes.
struct DatagramContent
{
    std::string_view from;
    std::string_view to;
    std::string_view topic;
    std::string_view payload;
};

/// [HMAC, content], where the content is CBOR in a byte string of its own: exactly what the HMAC covers. The receiver's
/// id is part of it, so that a datagram cannot be replayed at another node.
static auto writeDatagram(std::string_view secret, const DatagramContent &it) -> std::string
{
    auto content = std::string();
    CborWriter(content)
            .addArray(ContentItems)
            .addUnsigned(DatagramVersion)
            .addText(it.from)
            .addText(it.to)
            .addText(it.topic)
            .addBytes(it.payload);
    auto bytes = std::string();
    CborWriter(bytes)
            .addArray(EnvelopeItems)
            .addBytes(secret.empty() ? std::string() : hmac(secret, content))
            .addBytes(content);
    return bytes;
}

static auto readDatagram(std::string_view secret, std::string_view bytes) -> DatagramContent
{
    auto envelope = CborReader(bytes);
    if (envelope.readArray() != EnvelopeItems)
        throw InputError("a datagram has the wrong number of items",
                         "check which program sends to the peer port");
    const auto proof = envelope.readBytes();
    const auto content = envelope.readBytes();
    envelope.ensureEnd();
    if (!secret.empty() && !isEqualInConstantTime(proof, hmac(secret, content)))
        throw InputError("a datagram's sender does not know the secret",
                         "give all nodes the same secret");
    auto reader = CborReader(content);
    const auto n = reader.readArray();
    if (reader.readUnsigned() != DatagramVersion || n < ContentItems)
        throw InputError("a datagram has another version",
                         "run versions of stairspur side by side that share one");
    auto it = DatagramContent();
    it.from = reader.readText();
    it.to = reader.readText();
    it.topic = reader.readText();
    it.payload = reader.readBytes();
    reader.skip(n - ContentItems);
    reader.ensureEnd();
    return it;
}

class DatagramChannel::Socket : public std::enable_shared_from_this<DatagramChannel::Socket>
{
public:
    Socket(asio::io_context &io, DatagramSettings settings)
        : m_socket(io)
        , m_settings(std::move(settings))
        , m_input(MaxDatagram, '\0')
    {}

    auto setHandler(std::string topic, Handler handler) -> void
    {
        m_handlers.insert_or_assign(std::move(topic), std::move(handler));
    }

    auto start() -> void
    {
        try {
            const auto endpoint = asio::ip::udp::endpoint(
                    asio::ip::make_address(m_settings.address), m_settings.port);
            m_socket.open(endpoint.protocol());
            m_socket.bind(endpoint);
            m_socket.non_blocking(true);
            m_port = m_socket.local_endpoint().port();
        } catch (const boost::system::system_error &error) {
            throw SettingError("cannot bind the UDP port " + m_settings.address + ":"
                                       + std::to_string(m_settings.port) + " (" + error.what()
                                       + ")",
                               "name an address of this host and a port that is free");
        }
        m_ownNode = m_settings.ownNode.empty() ? m_settings.address + ":" + std::to_string(m_port)
                                               : m_settings.ownNode;
        waitForInput();
    }

    auto stop() -> void
    {
        auto ec = boost::system::error_code();
        m_socket.close(ec);
    }

    auto send(const NodeId &to, const std::string &topic, const std::string &payload) -> void
    {
        const auto endpoint = endpointOf(to);
        const auto bytes = writeDatagram(m_settings.secret, {m_ownNode, to, topic, payload});
        if (!endpoint || bytes.size() > m_settings.maxBytes) {
            ++m_traffic.rejected;
            log::Line(log::Severity::Warning, "datagram-unsendable")
                    .add("to", to)
                    .add("topic", topic)
                    .add("bytes", bytes.size());
            return;
        }
        // A datagram that the kernel has no room for is lost, like any on the way.
        auto ec = boost::system::error_code();
        m_socket.send_to(asio::buffer(bytes), *endpoint, 0, ec);
        if (ec)
            return;
        ++m_traffic.sent;
        m_traffic.bytesSent += bytes.size();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    [[nodiscard]] auto traffic() const -> DatagramTraffic { return m_traffic; }

private:
    auto waitForInput() -> void
    {
        m_socket.async_wait(asio::ip::udp::socket::wait_read, [self = shared_from_this()](auto ec) {
            if (ec || !self->m_socket.is_open())
                return;
            self->readBatch();
            if (self->m_socket.is_open())
                self->waitForInput();
        });
    }

    auto readBatch() -> void
    {
        for (auto n = 0; n < MaxBatch && m_socket.is_open(); ++n) {
            auto from = asio::ip::udp::endpoint();
            auto ec = boost::system::error_code();
            const auto size = m_socket.receive_from(asio::buffer(m_input), from, 0, ec);
            if (ec == asio::error::would_block)
                return;
            // Other errors tell of an earlier datagram that could not be delivered, and change nothing.
            if (!ec)
                handle(std::string_view(m_input).substr(0, size), from);
        }
    }

    auto handle(std::string_view bytes, const asio::ip::udp::endpoint &from) -> void
    {
        try {
            const auto content = readDatagram(m_settings.secret, bytes);
            const auto it = m_handlers.find(content.topic);
            if (it == m_handlers.end() || content.to != m_ownNode)
                throw InputError("a datagram is for another node or topic",
                                 "check the addresses that the nodes announce");
            ++m_traffic.received;
            m_traffic.bytesReceived += bytes.size();
            it->second(NodeId(content.from), std::string(content.payload));
        } catch (const std::exception &error) {
            // A handler that cannot read its payload throws as well; no datagram may end the process.
            reject(error, from);
        }
    }

    /// Anybody can send garbage at any rate, so that only the first and then every thousandth is written down.
    auto reject(const std::exception &error, const asio::ip::udp::endpoint &from) -> void
    {
        static constexpr auto LoggedEvery = 1000U;
        if (m_traffic.rejected++ % LoggedEvery != 0)
            return;
        log::Line(log::Severity::Warning, "datagram-rejected")
                .add("remote", from.address().to_string())
                .add("rejected", m_traffic.rejected)
                .add("detail", error.what());
    }

    auto endpointOf(const NodeId &node) -> std::optional<asio::ip::udp::endpoint>
    {
        const auto it = m_endpoints.find(node);
        if (it != m_endpoints.end())
            return it->second;
        const auto address = parseNode(node);
        if (!address)
            return std::nullopt;
        if (m_endpoints.size() >= MaxKnownNodes)
            m_endpoints.clear();
        const auto endpoint = asio::ip::udp::endpoint(address->address, address->port);
        m_endpoints.emplace(node, endpoint);
        return endpoint;
    }

    asio::ip::udp::socket m_socket;
    DatagramSettings m_settings;
    std::string m_input;
    std::map<std::string, Handler, std::less<>> m_handlers;
    std::unordered_map<NodeId, asio::ip::udp::endpoint> m_endpoints;
    DatagramTraffic m_traffic;
    NodeId m_ownNode;
    std::uint16_t m_port = 0;
};

DatagramChannel::DatagramChannel(asio::io_context &io, DatagramSettings settings)
    : m_socket(std::make_shared<Socket>(io, std::move(settings)))
{}

DatagramChannel::~DatagramChannel()
{
    m_socket->stop();
}

auto DatagramChannel::setHandler(std::string topic, Handler handler) -> void
{
    m_socket->setHandler(std::move(topic), std::move(handler));
}

auto DatagramChannel::start() -> void
{
    m_socket->start();
}

auto DatagramChannel::stop() -> void
{
    m_socket->stop();
}

auto DatagramChannel::send(const NodeId &to, const std::string &topic, const std::string &payload)
        -> void
{
    m_socket->send(to, topic, payload);
}

auto DatagramChannel::port() const -> std::uint16_t
{
    return m_socket->port();
}

auto DatagramChannel::traffic() const -> DatagramTraffic
{
    return m_socket->traffic();
}

} // namespace stairspur::transport
