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

/// A value's least and greatest allowed value, both included.
template <typename Value>
struct Range
{
    Value least;
    Value greatest;
};

/// A text and where it stands.
struct LocatedText
{
    std::string text;
    toml::source_position position;
};

/// Reads the keys of one TOML table. A value of the wrong type or out of range becomes a finding and reads as missing;
/// finish() then reports the keys that nobody asked for.
class TableReader
{
public:
    /// `title` names the table in findings, such as `service`.
    TableReader(const toml::table &table, std::string title, FindingList &findings);

    /// Where the table begins.
    [[nodiscard]] auto position() const -> toml::source_position;

    /// How findings name this table: its title, with its name once that was read.
    [[nodiscard]] auto title() const -> const std::string & { return m_title; }

    /// The needed key `name`, checked for its characters. Empty upon a finding.
    auto name() -> LocatedText;

    /// A string; missing keys read as nothing.
    auto text(std::string_view key) -> std::optional<LocatedText>;

    /// A string that must be there.
    auto neededText(std::string_view key, const std::string &remedy) -> std::optional<LocatedText>;

    /// An array of strings; a missing key reads as an empty one.
    auto texts(std::string_view key) -> std::vector<LocatedText>;

    auto integer(std::string_view key, Range<std::uint32_t> range) -> std::optional<std::uint32_t>;
    auto number(std::string_view key, Range<double> range) -> std::optional<double>;
    auto boolean(std::string_view key) -> std::optional<bool>;
    auto duration(std::string_view key, Range<Duration> range) -> std::optional<Duration>;
    auto size(std::string_view key, Range<std::uint32_t> range) -> std::optional<std::uint32_t>;

    /// A table below this one; null when it is missing.
    auto table(std::string_view key) -> const toml::table *;

    /// An array of tables, written `[[key]]`; empty when it is missing.
    auto tables(std::string_view key) -> std::vector<const toml::table *>;

    /// Where the value of `key` stands, or the table when it has none.
    [[nodiscard]] auto positionOf(std::string_view key) const -> toml::source_position;

    /// Whether `key` is missing or an empty array.
    [[nodiscard]] auto isMissingOrEmpty(std::string_view key) const -> bool;

    /// Reports every key that was not asked for.
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
    std::set<std::string, std::less<>> m_known;
};

/// `text` in double quotes, with control characters escaped, as findings show names.
auto quoted(std::string_view text) -> std::string;

/// `names` with commas between them, the first ones only when there are many.
auto listed(const std::set<std::string, std::less<>> &names) -> std::string;

} // namespace stairspur::config
