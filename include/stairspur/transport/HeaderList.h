#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace stairspur::transport {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// HTTP header fields in their order. Names are compared without regard to case (RFC 9110, section 5.1).
class HeaderList
{
public:
    /// The first value of `name`, or an empty view.
    [[nodiscard]] auto find(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto contains(std::string_view name) const -> bool;
    auto add(std::string name, std::string value) -> void;
    /// Replaces every field of that name by this one.
    auto set(std::string name, std::string value) -> void;
    auto remove(std::string_view name) -> void;

    [[nodiscard]] auto fields() const -> const std::vector<HeaderField> & { return m_fields; }

private:
    std::vector<HeaderField> m_fields;
};

/// Names of the header fields that stairspur reads and writes.
namespace header {
inline constexpr auto Service = std::string_view("Stairspur-Service");
inline constexpr auto Class = std::string_view("Stairspur-Class");
inline constexpr auto Timeout = std::string_view("Stairspur-Timeout"); ///< Remaining milliseconds.
inline constexpr auto Call =
        std::string_view("Stairspur-Call"); ///< The running call that makes a deeper one.
inline constexpr auto Outcome = std::string_view("Stairspur-Outcome");
inline constexpr auto Reason = std::string_view("Stairspur-Reason");
inline constexpr auto RetryAfterMs = std::string_view("Stairspur-Retry-After-Ms");
/// Requests per second that the backend server takes from all hosts together; a decimal number.
inline constexpr auto RateLimit = std::string_view("Stairspur-Rate-Limit");
inline constexpr auto Leaving =
        std::string_view("Stairspur-Leaving"); ///< "1": the backend server takes no new calls.
inline constexpr auto IdempotencyKey = std::string_view("Idempotency-Key"); ///< IETF httpapi draft.
inline constexpr auto TraceParent = std::string_view("traceparent");        ///< W3C Trace Context.
inline constexpr auto RetryAfter = std::string_view("Retry-After"); ///< RFC 9110, whole seconds.
inline constexpr auto Authorization = std::string_view("Authorization");
} // namespace header

} // namespace stairspur::transport
