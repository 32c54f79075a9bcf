// A stand-in for callers: offers calls of several classes, checks that each answer is whole and the call's own, and
// prints what became of them as JSON. Exits 0 only if no answer was wrong or missing.

#include <algorithm>
#include <cstdio>
#include <exception>

#include <gflags/gflags.h>

#include <stairspur/core/Error.h>

#include "../shared/Endpoint.h"
#include "../shared/FileLimit.h"
#include "Caller.h"

DEFINE_string(entries, "", "address:port of the entries to call, separated by commas");
DEFINE_string(direct, "", "address:port of backend servers to call instead, separated by commas");
DEFINE_string(
        mix, "",
        "name:key:class:service:rate for each stream, separated by commas; rate in calls a second");
DEFINE_string(keyed, "", "Services whose calls carry an Idempotency-Key, separated by commas");
DEFINE_string(may_lose, "", "address:port of entries that the run takes down, separated by commas");
DEFINE_double(seconds, 10, "How long calls are offered");
DEFINE_int32(timeout_ms, 2000, "How long a call waits for its answer");
DEFINE_int32(grace_ms, 2000, "Longer than the timeout, to tell a late answer from a missing one");
DEFINE_int32(retries, 0, "Attempts after the first");
DEFINE_bool(honour_retry_after, true, "Comes back when told to; otherwise at once");
DEFINE_int32(request_bytes, 128, "Size of a request's body");
DEFINE_int32(max_outstanding, 20'000, "Calls that wait at once");
DEFINE_int32(bucket_ms, 250, "Width of the timeline's buckets");
DEFINE_string(record, "", "File that gets one line of JSON for each call");
DEFINE_uint64(seed, 1, "Seed of the arrivals");

namespace stairspur::standins {
namespace {

constexpr auto exitUnsound = 1;
constexpr auto exitBadSetting = 2;

auto readStream(const std::string &text) -> StreamSettings
{
    const auto parts = splitText(text, ':');
    const auto rate = parts.size() == 5 ? std::atof(parts[4].c_str()) : 0;
    if (rate <= 0)
        throw SettingError("stream '" + text + "' is malformed",
                           "write it as name:key:class:service:rate");
    auto path = splitText(parts[3], '>');
    if (path.empty())
        throw SettingError("stream '" + text + "' names no service",
                           "write it as name:key:class:service:rate");
    const auto service = path.front();
    path.erase(path.begin());
    return {.name = parts[0],
            .bearerKey = parts[1],
            .className = parts[2],
            .service = service,
            .path = std::move(path),
            .rate = rate};
}

auto toSet(const std::string &text) -> std::set<std::string>
{
    const auto parts = splitText(text, ',');
    return {parts.begin(), parts.end()};
}

auto readSettings() -> CallerSettings
{
    if (FLAGS_entries.empty() == FLAGS_direct.empty())
        throw SettingError("neither or both of --entries and --direct are given",
                           "give one of them");
    CallerSettings settings;
    settings.isDirect = !FLAGS_direct.empty();
    settings.targets = parseEndpoints(settings.isDirect ? FLAGS_direct : FLAGS_entries);
    for (const auto &it : splitText(FLAGS_mix, ','))
        settings.streams.push_back(readStream(it));
    if (settings.streams.empty())
        throw SettingError("--mix is missing", "name at least one stream");
    settings.keyed = toSet(FLAGS_keyed);
    settings.mayLose = toSet(FLAGS_may_lose);
    settings.seconds = FLAGS_seconds;
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.grace = std::chrono::milliseconds(FLAGS_grace_ms);
    settings.retries = static_cast<std::uint32_t>(FLAGS_retries);
    settings.honoursRetryAfter = FLAGS_honour_retry_after;
    settings.requestBytes = static_cast<std::size_t>(FLAGS_request_bytes);
    settings.maxOutstanding = static_cast<std::uint32_t>(FLAGS_max_outstanding);
    settings.bucketMs = static_cast<std::uint32_t>(std::max(FLAGS_bucket_ms, 1));
    settings.recordFile = FLAGS_record;
    settings.seed = FLAGS_seed;
    return settings;
}

auto run() -> int
{
    raiseFileLimit();
    asio::io_context io(1);
    Caller caller(io, readSettings());
    caller.start();
    io.run();
    std::puts(caller.report().dump().c_str());
    return caller.isSound() ? 0 : exitUnsound;
}

} // namespace
} // namespace stairspur::standins

auto main(int argc, char **argv) -> int
{
    try {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        return stairspur::standins::run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin_caller: %s\n", error.what());
        return stairspur::standins::exitBadSetting;
    }
}
