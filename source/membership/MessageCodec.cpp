#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address_v4.hpp>

#include <stairspur/core/Cbor.h>
#include <stairspur/membership/Message.h>

// A message is an array: version, kind, sequence, names, self, updates, annotation, target, contacts, digest,
// statements. Records refer to services and domains by their index in `names`. Empty parts at the end are omitted.
namespace stairspur::membership {

using Json = nlohmann::json;

static constexpr auto ProtocolVersion = 1U;
static constexpr auto RequiredParts = std::size_t{5};
static constexpr auto MaxParts = std::size_t{11};
static constexpr auto MaxListLength = std::size_t{128};
static constexpr auto AddressBytes = std::size_t{6};
static constexpr auto LivenessCount = 3U;
static constexpr auto StateCount = 4U;
/// Incarnations start at the milliseconds of the clock. A greater one than this could not be refuted without an
/// overflow.
static constexpr auto MaxIncarnation = std::uint64_t{1} << 53U;

[[noreturn]] static auto fail(const std::string &problem) -> void
{
    throw MessageError("membership message: " + problem,
                       "check that every node runs the same protocol version of stairspur");
}

static auto toBinary(const std::string &bytes) -> Json
{
    return Json::binary({bytes.begin(), bytes.end()});
}

/// Returns the six bytes of an IPv4 address and port, or nothing if `node` has another form.
static auto packAddress(const NodeId &node) -> std::string
{
    const auto colon = node.rfind(':');
    if (colon == NodeId::npos)
        return {};
    auto ec = boost::system::error_code();
    const auto address = boost::asio::ip::make_address_v4(node.substr(0, colon), ec);
    auto port = std::uint16_t{0};
    const auto parsed = std::from_chars(node.data() + colon + 1, node.data() + node.size(), port);
    if (ec || parsed.ec != std::errc() || address.to_string() + ":" + std::to_string(port) != node)
        return {};
    const auto bytes = address.to_bytes();
    auto packed = std::string(bytes.begin(), bytes.end());
    packed.push_back(static_cast<char>(port >> 8U));
    packed.push_back(static_cast<char>(port & 0xffU));
    return packed;
}

static auto unpackAddress(const std::vector<std::uint8_t> &packed) -> NodeId
{
    if (packed.size() != AddressBytes)
        fail("an address does not have six bytes");
    const auto address = boost::asio::ip::address_v4({packed[0], packed[1], packed[2], packed[3]});
    const auto port = static_cast<std::uint32_t>(packed[4] << 8U | packed[5]);
    return address.to_string() + ":" + std::to_string(port);
}

static auto writeNode(const NodeId &node) -> Json
{
    const auto packed = packAddress(node);
    return packed.empty() ? Json(node) : toBinary(packed);
}

static auto readText(const Json &value) -> std::string
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > MaxNameBytes)
        fail("a name is not a text of at most 64 bytes");
    return value.get<std::string>();
}

static auto readNode(const Json &value) -> NodeId
{
    if (value.is_binary())
        return unpackAddress(value.get_binary());
    auto node = readText(value);
    if (node.empty())
        fail("a node id is empty");
    return node;
}

static auto readNumber(const Json &value, std::uint64_t max) -> std::uint64_t
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        fail("a number is missing or out of range");
    return value.get<std::uint64_t>();
}

static auto readBytes(const Json &value, std::size_t max) -> std::string
{
    if (!value.is_binary() || value.get_binary().size() > max)
        fail("a byte string is missing or too long");
    const auto &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

static auto readList(const Json &value) -> const Json::array_t &
{
    if (!value.is_array() || value.size() > MaxListLength)
        fail("a list is missing or too long");
    return value.get_ref<const Json::array_t &>();
}

static auto readParts(const Json &value, std::size_t count) -> const Json::array_t &
{
    const auto &parts = readList(value);
    if (parts.size() != count)
        fail("a part has too many or too few fields");
    return parts;
}

/// The names of one message. Each is encoded once.
class NameTable
{
public:
    auto write(const std::string &name) -> Json
    {
        const auto it = std::find(m_names.begin(), m_names.end(), name);
        if (it != m_names.end())
            return static_cast<std::uint64_t>(it - m_names.begin());
        m_names.push_back(name);
        return static_cast<std::uint64_t>(m_names.size() - 1);
    }

    [[nodiscard]] auto toJson() const -> Json { return m_names; }

    auto readTable(const Json &value) -> void
    {
        for (const auto &it : readList(value))
            m_names.push_back(readText(it));
    }

    [[nodiscard]] auto read(const Json &index) const -> const std::string &
    {
        if (m_names.empty())
            fail("the name table is empty");
        return m_names[readNumber(index, m_names.size() - 1)];
    }

private:
    std::vector<std::string> m_names;
};

static auto writeMember(const Member &member, NameTable &names) -> Json
{
    const auto flags = static_cast<unsigned>(member.state) * LivenessCount
                       + static_cast<unsigned>(member.liveness);
    return Json::array({writeNode(member.node), names.write(member.service),
                        names.write(member.domain), member.incarnation,
                        member.incarnation - member.startIncarnation, flags, member.slots});
}

static auto readMember(const Json &value, const NameTable &names) -> Member
{
    static constexpr auto FieldCount = std::size_t{7};
    const auto &parts = readParts(value, FieldCount);
    auto member = Member();
    member.node = readNode(parts[0]);
    member.service = names.read(parts[1]);
    member.domain = names.read(parts[2]);
    member.incarnation = readNumber(parts[3], MaxIncarnation);
    member.startIncarnation = member.incarnation - readNumber(parts[4], member.incarnation);
    const auto flags = readNumber(parts[5], StateCount * LivenessCount - 1);
    member.state = static_cast<ServingState>(flags / LivenessCount);
    member.liveness = static_cast<Liveness>(flags % LivenessCount);
    member.slots = static_cast<std::uint32_t>(readNumber(parts[6], UINT32_MAX));
    if (member.domain.empty())
        fail("a record has no failure domain");
    return member;
}

static auto writeDigest(const Message &message, NameTable &names) -> Json
{
    if (message.digestDomain.empty())
        return nullptr;
    return Json::array({names.write(message.digestDomain), toBinary(message.filter),
                        toBinary(message.hashes), toBinary(message.buckets), message.isComplete});
}

static auto readDigest(const Json &value, const NameTable &names, Message &message) -> void
{
    static constexpr auto FieldCount = std::size_t{5};
    static constexpr auto FilterBytes = std::size_t{128};
    if (value.is_null())
        return;
    const auto &parts = readParts(value, FieldCount);
    message.digestDomain = names.read(parts[0]);
    message.filter = readBytes(parts[1], FilterBytes);
    message.hashes = readBytes(parts[2], DigestBytes);
    message.buckets = readBytes(parts[3], DigestBuckets);
    if (!parts[4].is_boolean())
        fail("a flag is missing");
    message.isComplete = parts[4].get<bool>();
    const auto isBucket = [](char it) { return static_cast<unsigned char>(it) < DigestBuckets; };
    if (!message.filter.empty() && message.filter.size() != FilterBytes)
        fail("a service filter does not have 128 bytes");
    if (!std::all_of(message.buckets.begin(), message.buckets.end(), isBucket))
        fail("a bucket number is out of range");
}

static auto writeStatement(const ContactStatement &it, NameTable &names) -> Json
{
    return Json::array({writeNode(it.relay), names.write(it.domain), it.version, it.isReachable});
}

static auto readStatement(const Json &value, const NameTable &names) -> ContactStatement
{
    static constexpr auto FieldCount = std::size_t{4};
    const auto &parts = readParts(value, FieldCount);
    if (!parts[3].is_boolean())
        fail("a flag is missing");
    return {readNode(parts[0]), names.read(parts[1]), readNumber(parts[2], MaxIncarnation),
            parts[3].get<bool>()};
}

static auto isEmptyPart(const Json &part) -> bool
{
    return part.is_null() || (part.is_array() && part.empty())
           || (part.is_binary() && part.get_binary().empty());
}

auto encode(const Message &message) -> std::string
{
    auto names = NameTable();
    auto updates = Json::array();
    auto contacts = Json::array();
    auto statements = Json::array();
    const auto self = writeMember(message.self, names);
    for (const auto &it : message.updates)
        updates.push_back(writeMember(it, names));
    for (const auto &it : message.contacts)
        contacts.push_back(writeNode(it));
    for (const auto &it : message.statements)
        statements.push_back(writeStatement(it, names));
    const auto digest = writeDigest(message, names);
    const auto target = message.target.empty() ? Json(nullptr) : writeNode(message.target);

    auto parts = Json::array({ProtocolVersion, static_cast<unsigned>(message.kind),
                              message.sequence, names.toJson(), self, updates,
                              toBinary(message.annotation), target, contacts, digest, statements});
    while (parts.size() > RequiredParts && isEmptyPart(parts.back()))
        parts.erase(parts.size() - 1);
    return toCbor(parts);
}

static auto readMessage(const Json &value) -> Message
{
    auto parts = readList(value);
    if (parts.size() < RequiredParts || parts.size() > MaxParts)
        fail("it has too many or too few parts");
    if (readNumber(parts[0], UINT32_MAX) != ProtocolVersion)
        fail("it has an unknown protocol version");
    parts.resize(MaxParts);
    auto names = NameTable();
    names.readTable(parts[3]);

    auto message = Message();
    message.kind =
            static_cast<MessageKind>(readNumber(parts[1], enumNames<MessageKind>.size() - 1));
    message.sequence = static_cast<std::uint32_t>(readNumber(parts[2], UINT32_MAX));
    message.self = readMember(parts[4], names);
    if (!parts[5].is_null()) {
        for (const auto &it : readList(parts[5]))
            message.updates.push_back(readMember(it, names));
    }
    if (!parts[6].is_null())
        message.annotation = readBytes(parts[6], MaxAnnotationBytes);
    if (!parts[7].is_null())
        message.target = readNode(parts[7]);
    if (!parts[8].is_null()) {
        for (const auto &it : readList(parts[8]))
            message.contacts.push_back(readNode(it));
    }
    readDigest(parts[9], names, message);
    if (!parts[10].is_null()) {
        for (const auto &it : readList(parts[10]))
            message.statements.push_back(readStatement(it, names));
    }
    return message;
}

/// Throws MessageError if a message lacks a part that its kind needs.
static auto ensureRequiredParts(const Message &message) -> void
{
    if (message.kind == MessageKind::PingRequest && message.target.empty())
        fail("a ping request has no target");
    if (message.kind == MessageKind::Digest && message.hashes.size() != DigestBytes)
        fail("a digest does not have 128 bytes of hashes");
    const auto isExchange = message.kind == MessageKind::Digest
                            || message.kind == MessageKind::Records
                            || message.kind == MessageKind::RecordsBack;
    if (isExchange && message.digestDomain.empty())
        fail("an exchange has no failure domain");
}

auto decode(std::string_view bytes) -> Message
{
    try {
        auto message = readMessage(fromCbor(bytes));
        ensureRequiredParts(message);
        return message;
    } catch (const MessageError &) {
        throw;
    } catch (const std::exception &) {
        // The library also throws for lengths that no container can hold.
        fail("the bytes are not a single complete CBOR item");
    }
}

static auto numberSize(std::uint64_t number) -> std::size_t
{
    static constexpr auto SmallNumbers = 24U;
    if (number < SmallNumbers)
        return 1;
    if (number <= UINT8_MAX)
        return 2;
    if (number <= UINT16_MAX)
        return 3;
    return number <= UINT32_MAX ? 5 : 9;
}

/// Returns the encoded size of a record whose names each need an index of `indexSize` bytes.
static auto recordSize(const Member &member, std::size_t indexSize) -> std::size_t
{
    static constexpr auto HeaderBytes = std::size_t{2}; // Header of a text.
    static constexpr auto FlagBytes = std::size_t{1};
    const auto packed = packAddress(member.node);
    const auto nodeSize = packed.empty() ? member.node.size() + HeaderBytes : AddressBytes + 1;
    return 1 + nodeSize + 2 * indexSize + numberSize(member.incarnation)
           + numberSize(member.incarnation - member.startIncarnation) + FlagBytes
           + numberSize(member.slots);
}

auto RecordBudget::take(const Member &member) -> bool
{
    static constexpr auto HeaderBytes = std::size_t{2};
    auto newNames = std::vector<std::string>();
    for (const auto &name : {member.service, member.domain}) {
        if (std::find(m_names.begin(), m_names.end(), name) == m_names.end())
            newNames.push_back(name);
    }
    // The names in the sender's record and in the digest may precede these.
    static constexpr auto NamesWithShortIndex = std::size_t{16};
    const auto indexSize = m_names.size() + newNames.size() <= NamesWithShortIndex ? 1U : 2U;
    auto size = recordSize(member, indexSize);
    for (const auto &it : newNames)
        size += it.size() + HeaderBytes;
    if (size > m_remaining)
        return false;
    m_remaining -= size;
    m_names.insert(m_names.end(), newNames.begin(), newNames.end());
    return true;
}

} // namespace stairspur::membership
