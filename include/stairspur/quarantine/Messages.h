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

/// What the nodes of one service tell each other about requests under which backend servers end: CBOR in datagrams.
namespace stairspur::quarantine {

/// A backend server has just ended under these requests.
struct CrashNews
{
    CrashId crash = 0;
    bool mayPassOn = false; ///< Not every peer was told: whoever finds news in it tells others.
    std::vector<RequestFingerprint> requests;
};

/// What the sender knows, as one number. A peer that knows something else answers with its records.
struct Digest
{
    std::uint64_t hash = 0;
    bool isReply = false; ///< To a digest: it is not answered by another one.
};

/// Records of single requests; each replaces nothing and adds to what is known.
struct Records
{
    struct Item
    {
        RequestFingerprint request;
        std::vector<CrashRecord::Crash> crashes;
        Duration age{0}; ///< Since the last crash.
    };

    bool mayPassOn = false; ///< As in CrashNews.
    std::vector<Item> items;
};

using Message = std::variant<CrashNews, Digest, Records>;

/// `news` in messages of `mostBytes` each, at most.
auto splitNews(const CrashNews &news, std::size_t mostBytes) -> std::vector<CrashNews>;

/// `records` in messages of `mostBytes` each, at most.
auto splitRecords(const Records &records, std::size_t mostBytes) -> std::vector<Records>;

auto writeMessage(const Message &message) -> std::string;

/// Throws InputError on bytes that are no message.
auto readMessage(std::string_view bytes) -> Message;

} // namespace stairspur::quarantine
