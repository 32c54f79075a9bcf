#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Counts announcements that were refused, and tells of them in the log: one line a second at the most, since another writer
/// may repeat itself without end, and each line tells how many have come by then.
class AnnouncementRefusals
{
public:
    /// `instance` as it was written, empty where none was named; `error` tells the field and the remedy.
    auto didRefuse(const std::string &instance, const std::string &error, TimePoint now) -> void;

    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

    /// Lines written to the log.
    [[nodiscard]] auto lines() const -> std::uint64_t { return m_lines; }

private:
    std::uint64_t m_count = 0;
    std::uint64_t m_lines = 0;
    std::optional<TimePoint> m_toldAt;
};

} // namespace stairspur::node
