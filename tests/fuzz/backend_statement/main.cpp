// Fuzzes the value of a backend server's rate limit, one field per line. Whatever is read must be a usable rate.
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/node/ResponseStatement.h>

#include "../../../source/admission/RateLimit.h"

using namespace stairspur;

static auto readHeaders(std::string_view text) -> transport::HeaderList
{
    auto headers = transport::HeaderList();
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        headers.add("Rate", std::string(line));
    }
    return headers;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto headers = readHeaders({reinterpret_cast<const char *>(data), size});
    const auto read = node::readStatement(headers, {"Rate", "Leaving"});
    const auto rate = read.statement.rateLimit;
    const auto isUsable =
            !rate || (std::isfinite(*rate) && *rate >= 0 && headers.fields().size() == 1);
    const auto hasField = headers.contains("Rate");
    if (!isUsable || hasField != (rate || !read.unreadableRate.empty()))
        __builtin_trap();
    auto now = TimePoint(std::chrono::seconds(1));
    auto limit = admission::RateLimit();
    limit.set(rate, now);
    now += std::chrono::hours(1);
    limit.advanceTo(now);
    if (!limit.hasToken() || limit.timeUntil(1'000'000) < Duration::zero())
        __builtin_trap();
    return 0;
}
