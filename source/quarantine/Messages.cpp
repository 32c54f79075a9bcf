#include <stairspur/quarantine/Messages.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

namespace stairspur::quarantine {

using Json = nlohmann::json;

/// Kind of a message; the first element of each encoded message.
enum class Kind : std::uint8_t {
    CrashReport = 1,
    Digest = 2,
    Records = 3,
};

/// The largest value of the underlying type of Kind; larger numbers are read as this one.
static constexpr auto MaxKind = std::uint64_t{255};

static auto toJson(const RequestFingerprint &it) -> Json
{
    return Json::array({it.high, it.low});
}

static auto toJson(const CrashRecord::Crash &it) -> Json
{
    return Json::array({it.id, it.isCleared});
}

template <typename Item>
static auto toJson(const std::vector<Item> &items) -> Json
{
    auto array = Json::array();
    for (const auto &it : items)
        array.push_back(toJson(it));
    return array;
}

static auto toJson(const Records::Item &it) -> Json
{
    return Json::array(
            {toJson(it.request), toJson(it.crashes), static_cast<std::uint64_t>(it.age.count())});
}

static auto toJson(const CrashReport &it) -> Json
{
    return Json::array({Kind::CrashReport, it.crash, it.shouldForward, toJson(it.requests)});
}

static auto toJson(const Digest &it) -> Json
{
    return Json::array({Kind::Digest, it.hash, it.isReply});
}

static auto toJson(const Records &it) -> Json
{
    return Json::array({Kind::Records, it.shouldForward, toJson(it.items)});
}

/// Upper bound of the encoded size of one request in CrashReport, in bytes.
static constexpr auto MaxRequestBytes = std::size_t{20};
/// Returns an upper bound of the encoded size of one item in Records with `crashes` crashes, in bytes.
static constexpr auto maxItemBytes(std::size_t crashes) -> std::size_t
{
    return 40 + 12 * crashes;
}
/// Upper bound of the encoded size of a message without its requests or items, in bytes.
static constexpr auto MaxFrameBytes = std::size_t{32};

auto splitCrashReport(const CrashReport &report, std::size_t maxBytes) -> std::vector<CrashReport>
{
    const auto perMessage = (maxBytes - MaxFrameBytes) / MaxRequestBytes;
    auto parts = std::vector<CrashReport>();
    for (const auto &it : report.requests) {
        if (parts.empty() || parts.back().requests.size() >= perMessage)
            parts.push_back({report.crash, report.shouldForward, {}});
        parts.back().requests.push_back(it);
    }
    return parts;
}

auto splitRecords(const Records &records, std::size_t maxBytes) -> std::vector<Records>
{
    auto parts = std::vector<Records>();
    auto bytes = std::size_t{0};
    for (const auto &it : records.items) {
        const auto size = maxItemBytes(it.crashes.size());
        if (parts.empty() || bytes + size > maxBytes) {
            parts.push_back({records.shouldForward, {}});
            bytes = MaxFrameBytes;
        }
        bytes += size;
        parts.back().items.push_back(it);
    }
    return parts;
}

auto writeMessage(const Message &message) -> std::string
{
    return toCbor(std::visit([](const auto &it) { return toJson(it); }, message));
}

static auto readFingerprint(const Json &json) -> RequestFingerprint
{
    return {readUnsigned(json.at(0)), readUnsigned(json.at(1))};
}

static auto readCrashReport(const Json &json) -> CrashReport
{
    auto report = CrashReport();
    report.crash = readUnsigned(json.at(1));
    report.shouldForward = json.at(2).get<bool>();
    for (const auto &it : json.at(3))
        report.requests.push_back(readFingerprint(it));
    return report;
}

static auto readItem(const Json &json) -> Records::Item
{
    /// One day, in microseconds. Subtracting a much larger age from a time point would overflow.
    static constexpr auto MaxAge = std::uint64_t{86'400'000'000};
    auto item = Records::Item();
    item.request = readFingerprint(json.at(0));
    for (const auto &it : json.at(1))
        item.crashes.push_back({readUnsigned(it.at(0)), it.at(1).get<bool>()});
    item.age = Duration{std::min(readUnsigned(json.at(2)), MaxAge)};
    return item;
}

static auto readRecords(const Json &json) -> Records
{
    auto records = Records();
    records.shouldForward = json.at(1).get<bool>();
    for (const auto &it : json.at(2))
        records.items.push_back(readItem(it));
    return records;
}

/// Throws InputError if the kind is unknown.
static auto readByKind(const Json &json) -> Message
{
    switch (static_cast<Kind>(std::min(readUnsigned(json.at(0)), MaxKind))) {
    case Kind::CrashReport:
        return readCrashReport(json);
    case Kind::Digest:
        return Digest{readUnsigned(json.at(1)), json.at(2).get<bool>()};
    case Kind::Records:
        return readRecords(json);
    }
    throw InputError("a quarantine message is of an unknown kind",
                     "run compatible versions on all nodes");
}

auto readMessage(std::string_view bytes) -> Message
{
    try {
        return readByKind(fromCbor(bytes));
    } catch (const Json::exception &error) {
        throw InputError(std::string("a quarantine message is malformed: ") + error.what(),
                         "allow only nodes to send to the peer port");
    }
}

} // namespace stairspur::quarantine
