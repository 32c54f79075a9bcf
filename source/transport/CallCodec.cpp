#include "CallCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "CborReader.h"
#include "CborWriter.h"

namespace stairspur::transport {

/// Older nodes do not send the counts of the calls that a root makes, nor the items after them: the backend server's statement,
/// and whether the call must run once.
static constexpr auto CallItems = std::uint64_t{21};
static constexpr auto CallItemsWithStatement = std::uint64_t{20};
static constexpr auto CallItemsWithCounts = std::uint64_t{19};
static constexpr auto AnswerItems = std::uint64_t{8};
/// Older nodes send neither the incarnation of the backend server nor, after it, its statement.
static constexpr auto ReportItems = std::uint64_t{10};
static constexpr auto ReportItemsWithIncarnation = std::uint64_t{9};
static constexpr auto StatementItems = std::uint64_t{3};
/// Rates are sent in millionths of a call per second.
static constexpr auto RateScale = 1e6;
static constexpr auto MaxScaledRate = std::uint64_t{1'000'000'000'000'000};
static constexpr auto SizeGuess = std::size_t{512};
static constexpr auto MaxNumber = std::uint64_t{std::numeric_limits<std::uint32_t>::max()};
/// A day in microseconds; no call lasts longer, and sums of such spans never overflow.
static constexpr auto MaxMicroseconds = std::uint64_t{86'400'000'000};

static auto addDuration(CborWriter &writer, Duration value) -> void
{
    const auto n = value.count() > 0 ? static_cast<std::uint64_t>(value.count()) : 0;
    writer.addUnsigned(std::min(n, MaxMicroseconds));
}

static auto readDuration(CborReader &reader) -> Duration
{
    return Duration(reader.readUnsigned(MaxMicroseconds));
}

static auto readNumber(CborReader &reader) -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.readUnsigned(MaxNumber));
}

static auto readLevel(CborReader &reader) -> Level
{
    return Level{static_cast<std::uint16_t>(reader.readUnsigned(ClosedLevel.value))};
}

static auto addHeaders(CborWriter &writer, const HeaderList &headers) -> void
{
    writer.addArray(2 * headers.fields().size());
    for (const auto &it : headers.fields())
        writer.addBytes(it.name).addBytes(it.value);
}

static auto readHeaders(CborReader &reader) -> HeaderList
{
    auto headers = HeaderList();
    const auto n = reader.readArray();
    for (auto index = std::uint64_t{0}; index + 1 < n; index += 2) {
        auto name = std::string(reader.readBytes());
        headers.add(std::move(name), std::string(reader.readBytes()));
    }
    reader.skip(n % 2);
    return headers;
}

/// Adds null if nothing is known, and false for an empty statement, since nearly all are one of these.
static auto addStatement(CborWriter &writer, const std::optional<admission::InstanceStatement> &it)
        -> void
{
    if (!it) {
        writer.addNull();
        return;
    }
    if (it->statement.isEmpty()) {
        writer.addBoolean(false);
        return;
    }
    writer.addArray(StatementItems).addUnsigned(it->instance).addBoolean(it->statement.isLeaving);
    if (!it->statement.rateLimit) {
        writer.addNull();
        return;
    }
    const auto most = static_cast<double>(MaxScaledRate);
    const auto scaled = std::clamp(*it->statement.rateLimit * RateScale, 0.0, most);
    writer.addUnsigned(static_cast<std::uint64_t>(std::llround(scaled)));
}

static auto readStatement(CborReader &reader) -> std::optional<admission::InstanceStatement>
{
    if (reader.takeNull())
        return std::nullopt;
    auto it = admission::InstanceStatement();
    if (reader.takeFalse())
        return it;
    const auto n = reader.readArray();
    it.instance = reader.readUnsigned();
    it.statement.isLeaving = reader.readBoolean();
    if (!reader.takeNull())
        it.statement.rateLimit =
                static_cast<double>(reader.readUnsigned(MaxScaledRate)) / RateScale;
    reader.skip(n > StatementItems ? n - StatementItems : 0);
    return it;
}

/// Begins the array of a message; the items past those that are known are passed over by finish().
class FieldReader
{
public:
    FieldReader(std::string_view fields, std::uint64_t known)
        : m_reader(fields)
        , m_items(m_reader.readArray())
        // Too few items make a read run into the end.
        , m_surplus(m_items > known ? m_items - known : 0)
    {}

    /// How many items the message has.
    [[nodiscard]] auto items() const -> std::uint64_t { return m_items; }

    auto reader() -> CborReader & { return m_reader; }

    auto finish() -> void
    {
        m_reader.skip(m_surplus);
        m_reader.ensureEnd();
    }

private:
    CborReader m_reader;
    std::uint64_t m_items;
    std::uint64_t m_surplus;
};

auto writeCall(const CallRequest &request) -> std::string
{
    auto bytes = std::string();
    bytes.reserve(SizeGuess);
    auto writer = CborWriter(bytes);
    writer.addArray(CallItems)
            .addBytes(request.service)
            .addBytes(request.className)
            .addUnsigned(request.level.value)
            .addUnsigned(request.root.high)
            .addUnsigned(request.root.low);
    addDuration(writer, request.remaining);
    writer.addUnsigned(request.retryBudget)
            .addBytes(request.idempotencyKey)
            .addBytes(request.caller)
            .addBytes(request.method)
            .addBytes(request.target);
    addHeaders(writer, request.headers);
    writer.addBoolean(request.isRepeat)
            .addBytes(request.attemptId)
            .addBytes(request.originService)
            .addUnsigned(request.path)
            .addBoolean(request.isDeeperCall)
            .addUnsigned(request.callsPerRoot)
            .addUnsigned(request.callsLeft);
    addStatement(writer, request.statement);
    writer.addBoolean(request.mustRunOnce);
    return bytes;
}

auto readCall(std::string_view fields) -> CallRequest
{
    auto fieldReader = FieldReader(fields, CallItems);
    auto &reader = fieldReader.reader();
    auto request = CallRequest();
    request.service = reader.readBytes();
    request.className = reader.readBytes();
    request.level = readLevel(reader);
    request.root.high = reader.readUnsigned();
    request.root.low = reader.readUnsigned();
    request.remaining = readDuration(reader);
    request.retryBudget = readNumber(reader);
    request.idempotencyKey = reader.readBytes();
    request.caller = reader.readBytes();
    request.method = reader.readBytes();
    request.target = reader.readBytes();
    request.headers = readHeaders(reader);
    request.isRepeat = reader.readBoolean();
    request.attemptId = reader.readBytes();
    request.originService = reader.readBytes();
    request.path = readNumber(reader);
    request.isDeeperCall = reader.readBoolean();
    if (fieldReader.items() >= CallItemsWithCounts) {
        request.callsPerRoot = static_cast<std::uint32_t>(reader.readUnsigned(MostCallsPerRoot));
        request.callsLeft = static_cast<std::uint32_t>(reader.readUnsigned(MostCallsPerRoot));
    }
    if (fieldReader.items() >= CallItemsWithStatement)
        request.statement = readStatement(reader).value_or(admission::InstanceStatement());
    if (fieldReader.items() >= CallItems)
        request.mustRunOnce = reader.readBoolean();
    fieldReader.finish();
    return request;
}

static auto addReport(CborWriter &writer, const std::optional<admission::LoadReport> &report)
        -> void
{
    if (!report) {
        writer.addNull();
        return;
    }
    writer.addArray(ReportItems)
            .addUnsigned(report->sequence)
            .addUnsigned(report->limit)
            .addUnsigned(report->inFlight)
            .addUnsigned(report->queued);
    addDuration(writer, report->estimatedWait);
    writer.addBoolean(report->isDraining).addArray(report->floors.size());
    for (const auto it : report->floors)
        writer.addUnsigned(it.value);
    writer.addArray(2 * report->pathFloors.size());
    for (const auto &it : report->pathFloors)
        writer.addUnsigned(it.path).addUnsigned(it.floor.value);
    writer.addUnsigned(report->backendIncarnation);
    addStatement(writer, report->statement);
}

static auto readReport(CborReader &reader) -> std::optional<admission::LoadReport>
{
    if (reader.takeNull())
        return std::nullopt;
    const auto n = reader.readArray();
    auto report = admission::LoadReport();
    report.sequence = reader.readUnsigned();
    report.limit = readNumber(reader);
    report.inFlight = readNumber(reader);
    report.queued = readNumber(reader);
    report.estimatedWait = readDuration(reader);
    report.isDraining = reader.readBoolean();
    report.floors.resize(reader.readArray());
    for (auto &it : report.floors)
        it = readLevel(reader);
    report.pathFloors.resize(reader.readArray() / 2);
    for (auto &it : report.pathFloors) {
        it.path = readNumber(reader);
        it.floor = readLevel(reader);
    }
    if (n >= ReportItemsWithIncarnation)
        report.backendIncarnation = readNumber(reader);
    if (n >= ReportItems)
        report.statement = readStatement(reader);
    reader.skip(n > ReportItems ? n - ReportItems : 0);
    return report;
}

auto writeAnswer(const CallAnswer &answer) -> std::string
{
    auto bytes = std::string();
    bytes.reserve(SizeGuess);
    auto writer = CborWriter(bytes);
    writer.addArray(AnswerItems)
            .addUnsigned(static_cast<std::uint64_t>(answer.outcome))
            .addUnsigned(static_cast<std::uint64_t>(answer.reason))
            .addBoolean(answer.wasDispatched)
            .addUnsigned(answer.unspentBudget);
    addDuration(writer, answer.retryAfter);
    writer.addUnsigned(answer.status);
    addHeaders(writer, answer.headers);
    addReport(writer, answer.report);
    return bytes;
}

auto readAnswer(std::string_view fields) -> CallAnswer
{
    auto fieldReader = FieldReader(fields, AnswerItems);
    auto &reader = fieldReader.reader();
    auto answer = CallAnswer();
    answer.outcome = static_cast<Outcome>(reader.readUnsigned(enumNames<Outcome>.size() - 1));
    // A newer node may know more reasons; its outcome still holds.
    const auto reason = reader.readUnsigned();
    answer.reason = reason < enumNames<Reason>.size() ? static_cast<Reason>(reason) : Reason::None;
    answer.wasDispatched = reader.readBoolean();
    answer.unspentBudget = readNumber(reader);
    answer.retryAfter = readDuration(reader);
    answer.status = readNumber(reader);
    answer.headers = readHeaders(reader);
    answer.report = readReport(reader);
    fieldReader.finish();
    return answer;
}

auto writeRequest(std::string_view topic) -> std::string
{
    auto bytes = std::string();
    CborWriter(bytes).addArray(1).addText(topic);
    return bytes;
}

auto readRequest(std::string_view fields) -> std::string
{
    auto fieldReader = FieldReader(fields, 1);
    auto topic = std::string(fieldReader.reader().readText());
    fieldReader.finish();
    return topic;
}

auto writeReply(bool hasFailed) -> std::string
{
    auto bytes = std::string();
    CborWriter(bytes).addArray(1).addBoolean(hasFailed);
    return bytes;
}

auto readReply(std::string_view fields) -> bool
{
    auto fieldReader = FieldReader(fields, 1);
    const auto hasFailed = fieldReader.reader().readBoolean();
    fieldReader.finish();
    return hasFailed;
}

} // namespace stairspur::transport
