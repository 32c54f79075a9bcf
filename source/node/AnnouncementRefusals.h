#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Counts refused announcements and logs them. At most one line a second is logged, since a client may repeat invalid
/// announcements without end; each line contains the total count.
class AnnouncementRefusals
{
public:
    /// Records a refused announcement. `instance`: as received, empty if the announcement has none; `error`: the faulty field
    /// and the remedy.
    auto didRefuse(const std::string &instance, const std::string &error, TimePoint now) -> void;

    /// Returns the number of refused announcements.
    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

    /// Returns the number of logged lines.
    [[nodiscard]] auto lines() const -> std::uint64_t { return m_lines; }

private:
    std::uint64_t m_count = 0;
    std::uint64_t m_lines = 0;
    std::optional<TimePoint> m_loggedAt;
};

} // namespace stairspur::node
