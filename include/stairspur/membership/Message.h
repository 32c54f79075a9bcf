#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/core/Error.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

inline constexpr auto MaxAnnotationBytes = std::size_t{24};
inline constexpr auto MaxNameBytes = std::size_t{64};
/// Number of buckets of a digest; see MemberDigest.h.
inline constexpr auto DigestBuckets = std::size_t{64};
inline constexpr auto DigestBytes = DigestBuckets * 2;

/// Thrown for a datagram that is no membership message. Such datagrams are counted and dropped.
class MessageError : public InputError
{
public:
    using InputError::InputError;
};

enum class MessageKind {
    Ping,
    Ack,
    PingRequest, ///< Requests a probe of `target` for the sender (SWIM, section 3.1).
    Digest,      ///< Requests the records that differ.
    Records,     ///< Replies to a digest.
    RecordsBack, ///< Carries the requester's records of the buckets that differ.
    Gossip,      ///< Carries updates that should not wait for the next probe.
};

/// The statement of a relay about its contact with another domain. The statement with the greater version is valid.
struct ContactStatement
{
    NodeId relay;
    std::string domain;
    std::uint64_t version = 0;
    bool isReachable = true;

    auto operator==(const ContactStatement &) const -> bool = default;
};

/// One datagram of the protocol. Empty parts are not encoded.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    std::uint32_t sequence = 0; ///< Repeated in the answer.
    Member self;                ///< The sender's own record.
    std::vector<Member> updates;
    std::string annotation;
    NodeId target;                ///< Set in a PingRequest.
    std::vector<NodeId> contacts; ///< Nodes of the receiver's domain, or relays of the sender's.
    std::string digestDomain;     ///< Domain of the records in a Digest, Records or RecordsBack.
    std::string filter;           ///< ServiceFilter bytes in a Digest; empty for all records.
    std::string hashes;           ///< DigestBytes bytes in a Digest.
    std::string buckets;          ///< Numbers of the buckets in this datagram of Records.
    /// In Records: whether the datagram contains all records of its buckets.
    bool isComplete = true;
    std::vector<ContactStatement> statements;

    auto operator==(const Message &) const -> bool = default;
};

/// Returns `message` encoded as CBOR.
auto encode(const Message &message) -> std::string;

/// Returns the message in `bytes`. Throws MessageError for bytes that encode() would not produce.
auto decode(std::string_view bytes) -> Message;

/// Limits the number of bytes that records add to one message.
class RecordBudget
{
public:
    explicit RecordBudget(std::size_t bytes)
        : m_remaining(bytes)
    {}

    /// Returns whether `member` fits into the budget, and subtracts its bytes if so.
    auto take(const Member &member) -> bool;
    [[nodiscard]] auto remaining() const -> std::size_t { return m_remaining; }

private:
    std::size_t m_remaining;
    /// Names that are already in the message and cost only an index.
    std::vector<std::string> m_names;
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::MessageKind> =
        std::array<std::string_view, 7>{"ping",    "ack",          "ping-request", "digest",
                                        "records", "records-back", "gossip"};
