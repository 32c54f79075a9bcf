#include <stairspur/distribution/Messages.h>

#include <array>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

namespace stairspur::distribution {

using Json = nlohmann::json;

static constexpr auto Remedy = "run one protocol version of stairspur on all nodes";

static auto toBinary(const std::string &bytes) -> Json
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

static auto toText(const Json &binary) -> std::string
{
    const auto &bytes = binary.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Returns changes as an array, as all datagrams and replies are, since names of fields would be a large part of their size.
static auto changesJson(const Changes &changes) -> Json
{
    auto changed = Json::object();
    for (const auto &[name, bytes] : changes.changed)
        changed[name] = toBinary(bytes);
    return Json::array({changed, changes.removed});
}

static auto readChanges(const Json &json) -> Changes
{
    auto changes = Changes();
    for (const auto &[name, bytes] : json.at(0).items())
        changes.changed[name] = toText(bytes);
    changes.removed = json.at(1).get<std::vector<std::string>>();
    return changes;
}

/// Maximum distance of a proof from its subscription. A larger one is useless, and its time could overflow.
static constexpr auto MaxSinceSubscription = Duration{3'600'000'000};

static auto confirmationJson(const Confirmation &it) -> Json
{
    return Json::array({it.subscription, it.version, it.sinceSubscription.count()});
}

static auto readConfirmation(const Json &json) -> Confirmation
{
    auto result = Confirmation();
    result.subscription = readUnsigned(json.at(0));
    result.version = readUnsigned(json.at(1));
    result.sinceSubscription = Duration(readSigned(json.at(2)));
    if (result.sinceSubscription > MaxSinceSubscription
        || result.sinceSubscription < -MaxSinceSubscription)
        throw InputError("a confirmation contains an impossible time", Remedy);
    return result;
}

/// Runs `read` on the decoded bytes and turns any error of the JSON library into an InputError.
template <typename Read>
static auto decodeWith(std::string_view bytes, Read read)
{
    try {
        return read(fromCbor(bytes));
    } catch (const Json::exception &error) {
        throw InputError(std::string("a configuration message cannot be read: ") + error.what(),
                         Remedy);
    }
}

auto encode(const ConfigDatagram &datagram) -> std::string
{
    auto json = Json::array({static_cast<int>(datagram.kind), toBinary(datagram.digest.encode())});
    if (datagram.kind == DatagramKind::Delta) {
        json.push_back(datagram.since);
        json.push_back(changesJson(datagram.changes));
    }
    if (datagram.kind == DatagramKind::Subscribe || datagram.kind == DatagramKind::Confirm)
        json.push_back(confirmationJson(datagram.confirmation));
    return toCbor(json);
}

auto decodeDatagram(std::string_view bytes) -> ConfigDatagram
{
    return decodeWith(bytes, [](const Json &json) {
        const auto kind = readUnsigned(json.at(0));
        if (kind >= enumNames<DatagramKind>.size())
            throw InputError("a configuration datagram is of an unknown kind", Remedy);
        auto datagram = ConfigDatagram();
        datagram.kind = static_cast<DatagramKind>(kind);
        datagram.digest = decodeDigest(toText(json.at(1)));
        if (datagram.kind == DatagramKind::Delta) {
            datagram.since = readUnsigned(json.at(2));
            datagram.changes = readChanges(json.at(3));
        }
        if (datagram.kind == DatagramKind::Subscribe || datagram.kind == DatagramKind::Confirm)
            datagram.confirmation = readConfirmation(json.at(2));
        return datagram;
    });
}

auto encode(const PullRequest &request) -> std::string
{
    return toCbor(Json::array({request.since, request.cursor}));
}

auto decodePullRequest(std::string_view bytes) -> PullRequest
{
    return decodeWith(bytes, [](const Json &json) {
        return PullRequest{readUnsigned(json.at(0)), json.at(1)};
    });
}

auto encode(const PullReply &reply) -> std::string
{
    return toCbor(Json::array({toBinary(reply.digest.encode()), reply.since,
                               changesJson(reply.piece.changes), reply.piece.cursor,
                               reply.piece.isLast}));
}

auto decodePullReply(std::string_view bytes) -> PullReply
{
    return decodeWith(bytes, [](const Json &json) {
        auto reply = PullReply();
        reply.digest = decodeDigest(toText(json.at(0)));
        reply.since = readUnsigned(json.at(1));
        reply.piece.changes = readChanges(json.at(2));
        reply.piece.cursor = json.at(3);
        reply.piece.isLast = json.at(4);
        return reply;
    });
}

} // namespace stairspur::distribution
