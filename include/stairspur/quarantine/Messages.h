#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/quarantine/CrashRecord.h>
#include <stairspur/quarantine/RequestFingerprint.h>

/// The messages that the nodes of one service exchange about requests that crash backend servers: CBOR in datagrams.
namespace stairspur::quarantine {

/// Reports that a backend server has just crashed while these requests were running.
struct CrashReport
{
    CrashId crash = 0;
    /// Whether a receiver forwards the message if any of its content is new; set when it is not sent to every peer.
    bool shouldForward = false;
    std::vector<RequestFingerprint> requests;
};

/// A hash over the sender's records of suspected and refused requests. A peer with another hash replies with its records.
struct Digest
{
    std::uint64_t hash = 0;
    /// Whether it replies to a digest; the receiver of a reply sends no digest back.
    bool isReply = false;
};

/// Records of single requests, which the receiver merges with its own.
struct Records
{
    struct Item
    {
        RequestFingerprint request;
        std::vector<CrashRecord::Crash> crashes;
        Duration age{0}; ///< Time since the last crash.
    };

    bool shouldForward = false; ///< Same meaning as in CrashReport.
    std::vector<Item> items;
};

using Message = std::variant<CrashReport, Digest, Records>;

/// Splits `report` into messages of at most `maxBytes` bytes each.
auto splitCrashReport(const CrashReport &report, std::size_t maxBytes) -> std::vector<CrashReport>;

/// Splits `records` into messages of at most `maxBytes` bytes each.
auto splitRecords(const Records &records, std::size_t maxBytes) -> std::vector<Records>;

/// Returns the message encoded as CBOR.
auto writeMessage(const Message &message) -> std::string;

/// Decodes a message from CBOR. Throws InputError if the bytes are not a valid message.
auto readMessage(std::string_view bytes) -> Message;

} // namespace stairspur::quarantine
