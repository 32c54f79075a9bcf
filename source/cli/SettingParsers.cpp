#include <stairspur/cli/SettingParsers.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

#include <stairspur/config/Quantities.h>
#include <stairspur/core/Error.h>

namespace stairspur::cli {

namespace ip = boost::asio::ip;

static constexpr auto MaxPort = std::uint32_t{65535};
static constexpr auto MaxNameLength = std::size_t{63};
static constexpr auto MinSecretLength = std::size_t{16};
static constexpr auto StoreScheme = std::string_view("http://");

static auto makeError(const std::string &flag, const std::string &problem,
                      const std::string &remedy) -> SettingError
{
    return {"--" + flag + ' ' + problem, remedy};
}

static auto fromTo(const std::string &least, const std::string &greatest) -> std::string
{
    return "give a value from " + least + " to " + greatest;
}

auto parseCount(const std::string &flag, std::uint32_t value, std::uint32_t least,
                std::uint32_t greatest) -> std::uint32_t
{
    if (value < least || value > greatest)
        throw makeError(flag, "is out of range: " + std::to_string(value),
                        fromTo(std::to_string(least), std::to_string(greatest)));
    return value;
}

auto parsePort(const std::string &flag, std::uint32_t value) -> std::uint16_t
{
    return static_cast<std::uint16_t>(parseCount(flag, value, 0, MaxPort));
}

auto parseDurationSetting(const std::string &flag, const std::string &value, Duration least,
                          Duration greatest) -> Duration
{
    const auto duration = config::parseDuration(value);
    if (!duration)
        throw makeError(flag, "is no duration: '" + value + "'",
                        "give a whole number with us, ms, s, m or h, such as 250ms or 2s");
    if (*duration < least || *duration > greatest)
        throw makeError(flag, "is out of range: " + value,
                        fromTo(config::formatDuration(least), config::formatDuration(greatest)));
    return *duration;
}

auto parseSizeSetting(const std::string &flag, const std::string &value, std::uint64_t least,
                      std::uint64_t greatest) -> std::uint64_t
{
    const auto size = config::parseSize(value);
    if (!size)
        throw makeError(flag, "is no size: '" + value + "'",
                        "give a whole number with B, KiB, MiB or GiB, such as 64KiB");
    if (*size < least || *size > greatest)
        throw makeError(flag, "is out of range: " + value,
                        fromTo(config::formatSize(least), config::formatSize(greatest)));
    return *size;
}

auto parseNameSetting(const std::string &flag, const std::string &value) -> std::string
{
    static constexpr auto Allowed = std::string_view("abcdefghijklmnopqrstuvwxyz0123456789-_.");
    if (value.empty())
        throw makeError(flag, "is not set", "give a name, such as --" + flag + "=bezigrad");
    if (value.size() > MaxNameLength || value.front() == '.'
        || value.find_first_not_of(Allowed) != std::string::npos)
        throw makeError(flag, "is no name: '" + value + "'",
                        "use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no '.'");
    return value;
}

auto parseHostAddress(const std::string &flag, const std::string &value) -> std::string
{
    auto ec = boost::system::error_code();
    const auto address = ip::make_address_v4(value, ec);
    if (ec || address.is_unspecified() || address.is_multicast()
        || address == ip::address_v4::broadcast())
        throw makeError(flag, "is no address of a host: '" + value + "'",
                        "give an IPv4 address that other hosts reach, such as 192.0.2.7");
    return address.to_string();
}

auto parseListenAddress(const std::string &flag, const std::string &value) -> std::string
{
    auto ec = boost::system::error_code();
    const auto address = ip::make_address(value, ec);
    if (ec)
        throw makeError(flag, "is no IP number: '" + value + "'",
                        "give the address to listen on, such as 127.0.0.1");
    return address.to_string();
}

auto parseEndpoint(const std::string &flag, const std::string &value) -> Endpoint
{
    static constexpr auto Remedy = "give an IPv4 address and a port from 1 to 65535, such as "
                                   "192.0.2.7:7100";
    const auto colon = value.find(':');
    const auto portText = colon == std::string::npos ? std::string() : value.substr(colon + 1);
    auto port = std::uint16_t{0};
    const auto *end = portText.data() + portText.size();
    const auto [stop, ec] = std::from_chars(portText.data(), end, port);
    if (ec != std::errc() || stop != end || port == 0)
        throw makeError(flag, "has no usable port: '" + value + "'", Remedy);
    return {parseHostAddress(flag, value.substr(0, colon)), port};
}

auto parseSeeds(const std::string &flag, const std::string &value) -> std::vector<NodeId>
{
    auto seeds = std::vector<NodeId>();
    if (value.empty())
        return seeds;
    for (auto begin = std::size_t{0}; begin <= value.size();) {
        const auto end = std::min(value.find(',', begin), value.size());
        const auto seed = parseEndpoint(flag, value.substr(begin, end - begin));
        auto node = seed.address + ':' + std::to_string(seed.port);
        if (std::ranges::find(seeds, node) != seeds.end())
            throw makeError(flag, "names " + node + " twice", "name each node once");
        seeds.push_back(std::move(node));
        begin = end + 1;
    }
    return seeds;
}

auto parseStoreUrl(const std::string &flag, const std::string &value) -> Endpoint
{
    if (!value.starts_with(StoreScheme))
        throw makeError(flag, "is no address of a store: '" + value + "'",
                        "give http:// with an IPv4 address and a port, such as "
                        "http://192.0.2.1:2379");
    auto rest = value.substr(StoreScheme.size());
    if (rest.ends_with('/'))
        rest.pop_back();
    return parseEndpoint(flag, rest);
}

auto parseSecret(const std::string &flag, const std::string &value) -> std::string
{
    // The value itself is not shown.
    if (!value.empty() && value.size() < MinSecretLength)
        throw makeError(flag, "is shorter than 16 characters",
                        "give a longer one, such as from openssl rand -hex 32");
    return value;
}

} // namespace stairspur::cli
