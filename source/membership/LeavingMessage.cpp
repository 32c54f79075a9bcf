#include <stairspur/membership/LeavingMessage.h>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>
#include <stairspur/membership/LeavingInstances.h>
#include <stairspur/membership/Message.h>

// A message is an array: whether it is a reply, ids, replicas. Further items are ignored.
namespace stairspur::membership {

using Json = nlohmann::json;

static constexpr auto Items = std::size_t{3};
/// More replicas than any host has.
static constexpr auto MaxReplicas = std::size_t{8};

[[noreturn]] static auto fail(const std::string &problem) -> void
{
    throw InputError("leaving message: " + problem,
                     "check that every node runs the same protocol version of stairspur");
}

static auto readList(const Json &value, std::size_t max) -> const Json::array_t &
{
    if (!value.is_array() || value.size() > max)
        fail("a list is missing or too long");
    return value.get_ref<const Json::array_t &>();
}

static auto readNode(const Json &value) -> NodeId
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > MaxNameBytes)
        fail("a node id is not a text of at most 64 bytes");
    return value.get<std::string>();
}

auto writeLeavingMessage(const LeavingMessage &message) -> std::string
{
    return toCbor(Json::array({message.isReply, message.ids, message.replicas}));
}

auto readLeavingMessage(std::string_view bytes) -> LeavingMessage
{
    const auto parts = fromCbor(bytes);
    if (!parts.is_array() || parts.size() < Items || !parts[0].is_boolean())
        fail("an item is missing");
    auto message = LeavingMessage();
    message.isReply = parts[0].get<bool>();
    for (const auto &it : readList(parts[1], LeavingInstances::MaxIds))
        message.ids.push_back(readUnsigned(it));
    for (const auto &it : readList(parts[2], MaxReplicas))
        message.replicas.push_back(readNode(it));
    return message;
}

} // namespace stairspur::membership
