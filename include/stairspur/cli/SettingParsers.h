#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

/// Checks of single settings. Each throws SettingError that names the flag and the remedy.
namespace stairspur::cli {

/// An IP number and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator==(const Endpoint &) const -> bool = default;
};

auto parsePort(const std::string &flag, std::uint32_t value) -> std::uint16_t;

/// A whole number from `least` to `greatest`.
auto parseCount(const std::string &flag, std::uint32_t value, std::uint32_t least,
                std::uint32_t greatest) -> std::uint32_t;

auto parseDurationSetting(const std::string &flag, const std::string &value, Duration least,
                          Duration greatest) -> Duration;

auto parseSizeSetting(const std::string &flag, const std::string &value, std::uint64_t least,
                      std::uint64_t greatest) -> std::uint64_t;

/// A name with the characters that the configuration allows.
auto parseNameSetting(const std::string &flag, const std::string &value) -> std::string;

/// An IPv4 address that another host can reach: not 0.0.0.0, no multicast and no broadcast.
auto parseHostAddress(const std::string &flag, const std::string &value) -> std::string;

/// Any IP number to listen on.
auto parseListenAddress(const std::string &flag, const std::string &value) -> std::string;

/// `192.0.2.7:7102`; the port is from 1 to 65535.
auto parseEndpoint(const std::string &flag, const std::string &value) -> Endpoint;

/// Node ids with commas between them; empty: none.
auto parseSeeds(const std::string &flag, const std::string &value) -> std::vector<NodeId>;

/// `http://192.0.2.1:2379`.
auto parseStoreUrl(const std::string &flag, const std::string &value) -> Endpoint;

/// Empty, or at least 16 characters.
auto parseSecret(const std::string &flag, const std::string &value) -> std::string;

} // namespace stairspur::cli
