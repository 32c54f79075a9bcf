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
/// Buckets of a digest; see MemberDigest.h.
inline constexpr auto DigestBuckets = std::size_t{64};
inline constexpr auto DigestBytes = DigestBuckets * 2;

/// A datagram that is no membership message. It is counted and dropped.
class MessageError : public InputError
{
public:
    using InputError::InputError;
};

enum class MessageKind {
    Ping,
    Ack,
    PingRequest, ///< Probe `target` for the sender (SWIM, section 3.1).
    Digest,      ///< Asks for the records that differ.
    Records,     ///< Answers a digest.
    RecordsBack, ///< The asker's records in the buckets that differed.
    Gossip,      ///< Updates that should not wait for the next probe.
};

/// What a relay says of its contact with another domain. The greater version counts.
struct ContactStatement
{
    NodeId relay;
    std::string domain;
    std::uint64_t version = 0;
    bool isReachable = true;

    auto operator==(const ContactStatement &) const -> bool = default;
};

/// One datagram of the protocol. Empty parts cost nothing.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    std::uint32_t sequence = 0; ///< Repeated by the answer.
    Member self;                ///< The sender's own record.
    std::vector<Member> updates;
    std::string annotation;
    NodeId target;                ///< Of a PingRequest.
    std::vector<NodeId> contacts; ///< Nodes of the receiver's domain, or relays of the sender's.
    std::string digestDomain;     ///< Of a Digest, Records or RecordsBack: whose records.
    std::string filter;           ///< Of a Digest: ServiceFilter bytes, or empty for everything.
    std::string hashes;           ///< Of a Digest: DigestBytes.
    std::string buckets;          ///< Of Records: the numbers of the buckets in this datagram.
    bool isWhole = true; ///< Of Records: those buckets have no records beyond this datagram.
    std::vector<ContactStatement> statements;

    auto operator==(const Message &) const -> bool = default;
};

/// `message` as CBOR.
auto encode(const Message &message) -> std::string;

/// Throws MessageError for anything that encode() would not write.
auto decode(std::string_view bytes) -> Message;

/// Counts the bytes that records add to one message, so that it stays below a bound.
class RecordBudget
{
public:
    explicit RecordBudget(std::size_t bytes)
        : m_left(bytes)
    {}

    /// Whether `member` still fits; then its bytes are taken.
    auto take(const Member &member) -> bool;
    [[nodiscard]] auto left() const -> std::size_t { return m_left; }

private:
    std::size_t m_left;
    std::vector<std::string> m_names; ///< Already in the message, so that they cost an index only.
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::MessageKind> =
        std::array<std::string_view, 7>{"ping",    "ack",          "ping-request", "digest",
                                        "records", "records-back", "gossip"};
