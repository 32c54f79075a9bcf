#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/core/Time.h>

#include "FindingList.h"
#include "Toml.h"

namespace stairspur::config {

/// The least and the greatest allowed value, both included.
template <typename Value>
struct Range
{
    Value least;
    Value greatest;
};

/// A text with its position in the file.
struct LocatedText
{
    std::string text;
    toml::source_position position;
};

/// Reads the keys of one TOML table. A value of the wrong type or out of range is reported as a finding and treated as
/// missing. finish() then reports the keys that weren't read.
class TableReader
{
public:
    /// `title` names the table in findings, such as `service`.
    TableReader(const toml::table &table, std::string title, FindingList &findings);

    /// Returns the position at which the table begins.
    [[nodiscard]] auto position() const -> toml::source_position;

    /// Returns the title of this table in findings, followed by its name after name() read one.
    [[nodiscard]] auto title() const -> const std::string & { return m_title; }

    /// Reads the required key `name` and checks that it is a valid name. Empty after a finding.
    auto name() -> LocatedText;

    /// Reads a string; nothing when the key is missing.
    auto text(std::string_view key) -> std::optional<LocatedText>;

    /// Reads a string and reports a finding when the key is missing.
    auto requiredText(std::string_view key, const std::string &remedy)
            -> std::optional<LocatedText>;

    /// Reads an array of strings; empty when the key is missing.
    auto texts(std::string_view key) -> std::vector<LocatedText>;

    auto integer(std::string_view key, Range<std::uint32_t> range) -> std::optional<std::uint32_t>;
    auto number(std::string_view key, Range<double> range) -> std::optional<double>;
    auto boolean(std::string_view key) -> std::optional<bool>;
    auto duration(std::string_view key, Range<Duration> range) -> std::optional<Duration>;
    auto size(std::string_view key, Range<std::uint32_t> range) -> std::optional<std::uint32_t>;

    /// Returns a table inside this one; null when it is missing.
    auto table(std::string_view key) -> const toml::table *;

    /// Returns the tables of an array of tables, written `[[key]]`; empty when it is missing.
    auto tables(std::string_view key) -> std::vector<const toml::table *>;

    /// Returns the position of the value of `key`, or that of the table when the key is missing.
    [[nodiscard]] auto positionOf(std::string_view key) const -> toml::source_position;

    /// Returns whether `key` is missing or an empty array.
    [[nodiscard]] auto isMissingOrEmpty(std::string_view key) const -> bool;

    /// Reports every key that wasn't read.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const toml::node *;
    auto addWrongType(const toml::node &node, std::string_view key, std::string_view wanted)
            -> void;
    auto addOutOfRange(const toml::node &node, std::string_view key, const std::string &least,
                       const std::string &greatest) -> void;

    const toml::table &m_table;
    std::string m_title;
    FindingList &m_findings;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Returns `text` in double quotes, with control characters escaped, as findings show names.
auto quoted(std::string_view text) -> std::string;

/// Returns `names` with commas between them; of more than 12 names only the first 12.
auto listed(const std::set<std::string, std::less<>> &names) -> std::string;

} // namespace stairspur::config
