#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/beast/core/string.hpp>

#include <stairspur/node/ResponseStatement.h>

namespace stairspur::node {

/// Far more digits than a rate needs.
static constexpr auto MaxRateLength = std::size_t{32};
/// Upper bound of a rate, far above what any server takes.
static constexpr auto MaxRate = 1e9;
/// Number of bytes of an unreadable value that are kept for the log.
static constexpr auto MaxUnreadableLength = std::size_t{64};

/// Returns the value of a number such as `12` or `12.5`. Signs, exponents, hexadecimal digits, infinity and NaN aren't
/// accepted.
static auto readDecimal(std::string_view text) -> std::optional<double>
{
    const auto isDigit = [](char it) { return it >= '0' && it <= '9'; };
    const auto isPart = [&](char it) { return isDigit(it) || it == '.'; };
    if (text.size() > MaxRateLength || !std::ranges::all_of(text, isPart)
        || !std::ranges::any_of(text, isDigit))
        return std::nullopt;
    auto value = 0.0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const auto isWhole = ec == std::errc() && stop == end;
    return isWhole ? std::optional(std::min(value, MaxRate)) : std::nullopt;
}

static auto countOf(const transport::HeaderList &headers, std::string_view name) -> std::ptrdiff_t
{
    return std::ranges::count_if(headers.fields(), [name](const auto &it) {
        return boost::beast::iequals(it.name, name);
    });
}

auto readStatement(const transport::HeaderList &headers, const StatementFields &fields)
        -> ResponseStatement
{
    auto read = ResponseStatement();
    read.statement.isLeaving = headers.find(fields.leaving) == "1";
    if (!headers.contains(fields.rateLimit))
        return read;
    const auto text = headers.find(fields.rateLimit);
    if (countOf(headers, fields.rateLimit) == 1)
        read.statement.rateLimit = readDecimal(text);
    if (!read.statement.rateLimit)
        read.unreadableRate = text.empty() ? "(empty)" : text.substr(0, MaxUnreadableLength);
    return read;
}

} // namespace stairspur::node
