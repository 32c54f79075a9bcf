#include <stairspur/config/Quantities.h>

#include <array>
#include <charconv>
#include <limits>
#include <ranges>

namespace stairspur::config {

struct Unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

/// Factors in microseconds, smallest unit first.
static constexpr auto DurationUnits = std::array<Unit, 5>{
        {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"m", 60'000'000}, {"h", 3'600'000'000}}};

/// Factors in bytes, smallest unit first.
static constexpr auto SizeUnits =
        std::array<Unit, 4>{{{"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}}};

/// Greatest value that fits into both a signed and an unsigned result.
static constexpr auto MaxQuantity =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

template <std::size_t Count>
static auto parseQuantity(std::string_view text, const std::array<Unit, Count> &units)
        -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t{0};
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc())
        return std::nullopt;
    const auto suffix = std::string_view(stop, static_cast<std::size_t>(end - stop));
    for (const auto &it : units) {
        if (it.suffix != suffix)
            continue;
        if (number > MaxQuantity / it.factor)
            return std::nullopt;
        return number * it.factor;
    }
    return std::nullopt;
}

template <std::size_t Count>
static auto formatQuantity(std::uint64_t value, const std::array<Unit, Count> &units) -> std::string
{
    for (const auto &it : units | std::views::reverse) {
        if (value != 0 && value % it.factor == 0)
            return std::to_string(value / it.factor).append(it.suffix);
    }
    return std::to_string(value).append(units.front().suffix);
}

auto parseDuration(std::string_view text) -> std::optional<Duration>
{
    const auto value = parseQuantity(text, DurationUnits);
    if (!value)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(*value));
}

auto parseSize(std::string_view text) -> std::optional<std::uint64_t>
{
    return parseQuantity(text, SizeUnits);
}

auto formatDuration(Duration duration) -> std::string
{
    return formatQuantity(static_cast<std::uint64_t>(duration.count()), DurationUnits);
}

auto formatSize(std::uint64_t bytes) -> std::string
{
    return formatQuantity(bytes, SizeUnits);
}

} // namespace stairspur::config
