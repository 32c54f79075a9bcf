#include <stairspur/membership/Announcement.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <stairspur/core/Hash.h>
#include <stairspur/membership/Message.h>

namespace stairspur::membership {

using Json = nlohmann::json;

auto instanceIdOf(const BackendIncarnation &incarnation) -> std::uint64_t
{
    if (incarnation.instance.empty())
        return 0;
    const auto id = hash64(incarnation.instance, incarnation.startedAtMs);
    return std::max(id, std::uint64_t{1});
}

/// Bits of a start id for the start time, in milliseconds; they last for 557 years. The bits above are a hash of the name.
static constexpr auto StartBits = 44U;
static constexpr auto MaxStart = (std::uint64_t{1} << StartBits) - 1;

auto startIdOf(const BackendIncarnation &incarnation) -> std::uint64_t
{
    if (incarnation.instance.empty() || incarnation.startedAtMs == 0)
        return 0;
    return (hash64(incarnation.instance) & ~MaxStart) | std::min(incarnation.startedAtMs, MaxStart);
}

auto isLaterStart(std::uint64_t id, const BackendIncarnation &incarnation) -> bool
{
    const auto own = startIdOf(incarnation);
    return own != 0 && id > own && (id & ~MaxStart) == (own & ~MaxStart);
}

static constexpr auto MaxPort = std::uint64_t{65'535};
static constexpr auto MaxSlots = std::uint64_t{100'000};

[[noreturn]] static auto fail(const std::string &problem, const std::string &remedy) -> void
{
    throw AnnouncementError("announcement: " + problem, remedy);
}

static auto readNumber(const Json &body, const char *field, std::uint64_t min, std::uint64_t max)
        -> std::uint64_t
{
    const auto it = body.find(field);
    if (it == body.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() < min
        || it->get<std::uint64_t>() > max)
        fail(std::string("'") + field + "' is missing or out of range",
             "send a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return it->get<std::uint64_t>();
}

static auto readText(const Json &body, const char *field, const std::string &remedy) -> std::string
{
    const auto it = body.find(field);
    if (it == body.end() || !it->is_string())
        fail(std::string("'") + field + "' is missing or not a text", remedy);
    return it->get<std::string>();
}

static auto readService(const Json &body) -> std::string
{
    static constexpr auto Remedy =
            "send the service's name from the configuration: up to 64 of a-z, 0-9 and '-'";
    auto service = readText(body, "service", Remedy);
    const auto isAllowed = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9') || it == '-';
    };
    if (service.empty() || service.size() > MaxNameBytes
        || !std::all_of(service.begin(), service.end(), isAllowed))
        fail("'service' is not a valid service name", Remedy);
    return service;
}

static auto readState(const Json &body) -> ServingState
{
    static constexpr auto Remedy = "send one of starting, serving, draining, left";
    const auto state = fromName<ServingState>(readText(body, "state", Remedy));
    if (!state)
        fail("'state' is unknown", Remedy);
    return *state;
}

auto parseAnnouncement(std::string_view json) -> Announcement
{
    static constexpr auto MaxBytes = std::size_t{4096};
    if (json.size() > MaxBytes)
        fail("the body is too long", "send at most 4096 bytes");
    const auto body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        fail("the body is not a JSON object",
             R"(send {"service": ..., "port": ..., "slots": ..., "state": ...})");
    auto announcement = Announcement();
    announcement.service = readService(body);
    announcement.port = static_cast<std::uint16_t>(readNumber(body, "port", 1, MaxPort));
    announcement.slots = static_cast<std::uint32_t>(readNumber(body, "slots", 1, MaxSlots));
    announcement.state = readState(body);
    if (body.contains("inFlight"))
        announcement.inFlight =
                static_cast<std::uint32_t>(readNumber(body, "inFlight", 0, UINT32_MAX));
    return announcement;
}

} // namespace stairspur::membership
