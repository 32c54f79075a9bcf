#include "TableReader.h"

#include <sstream>

#include <stairspur/config/Names.h>
#include <stairspur/config/Quantities.h>
#include <stairspur/core/Hex.h>

namespace stairspur::config {

static constexpr auto MaxListedNames = std::size_t{12};

auto quoted(std::string_view text) -> std::string
{
    auto result = std::string("\"");
    for (const auto it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte < ' ' || byte == 0x7f) {
            result.append("\\x").append(toHex(std::string_view(&it, 1)));
            continue;
        }
        if (it == '"' || it == '\\')
            result.push_back('\\');
        result.push_back(it);
    }
    return result.append("\"");
}

auto listed(const std::set<std::string, std::less<>> &names) -> std::string
{
    auto result = std::string();
    auto n = std::size_t{0};
    for (const auto &it : names) {
        if (n++ == MaxListedNames)
            return result + ", ...";
        result += (result.empty() ? "" : ", ") + it;
    }
    return result;
}

static auto numberText(double value) -> std::string
{
    auto stream = std::ostringstream();
    stream << value;
    return stream.str();
}

TableReader::TableReader(const toml::table &table, std::string title, FindingList &findings)
    : m_table(table)
    , m_title(std::move(title))
    , m_findings(findings)
{}

auto TableReader::position() const -> toml::source_position
{
    return m_table.source().begin;
}

auto TableReader::positionOf(std::string_view key) const -> toml::source_position
{
    const auto *node = m_table.get(key);
    return node ? node->source().begin : position();
}

auto TableReader::isMissingOrEmpty(std::string_view key) const -> bool
{
    const auto *node = m_table.get(key);
    return !node || (node->is_array() && node->as_array()->empty());
}

auto TableReader::name() -> LocatedText
{
    auto result = requiredText("name", "add name = \"...\"");
    if (!result)
        return {};
    if (!isName(result->text)) {
        m_findings.add(result->position, quoted(result->text) + " is no name",
                       std::string(NameRemedy));
        return {};
    }
    m_title += ' ' + quoted(result->text);
    return *result;
}

auto TableReader::text(std::string_view key) -> std::optional<LocatedText>
{
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    if (!node->is_string()) {
        addWrongType(*node, key, "a string");
        return std::nullopt;
    }
    return LocatedText{node->as_string()->get(), node->source().begin};
}

auto TableReader::requiredText(std::string_view key, const std::string &remedy)
        -> std::optional<LocatedText>
{
    if (!find(key))
        m_findings.add(position(), m_title + " has no " + std::string(key), remedy);
    return text(key);
}

auto TableReader::texts(std::string_view key) -> std::vector<LocatedText>
{
    const auto *node = find(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        addWrongType(*node, key, "an array of strings");
        return {};
    }
    auto result = std::vector<LocatedText>();
    for (const auto &it : *node->as_array()) {
        if (it.is_string())
            result.push_back({it.as_string()->get(), it.source().begin});
        else
            addWrongType(it, key, "an array of strings");
    }
    return result;
}

auto TableReader::integer(std::string_view key, Range<std::uint32_t> range)
        -> std::optional<std::uint32_t>
{
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    if (!node->is_integer()) {
        addWrongType(*node, key, "a whole number");
        return std::nullopt;
    }
    const auto value = node->as_integer()->get();
    if (value < range.least || value > range.greatest) {
        addOutOfRange(*node, key, std::to_string(range.least), std::to_string(range.greatest));
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
}

auto TableReader::number(std::string_view key, Range<double> range) -> std::optional<double>
{
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    if (!node->is_number()) {
        addWrongType(*node, key, "a number");
        return std::nullopt;
    }
    const auto value = node->is_integer() ? static_cast<double>(node->as_integer()->get())
                                          : node->as_floating_point()->get();
    // The negated condition makes NaN, which TOML allows, out of range too.
    if (!(value >= range.least && value <= range.greatest)) {
        addOutOfRange(*node, key, numberText(range.least), numberText(range.greatest));
        return std::nullopt;
    }
    return value;
}

auto TableReader::boolean(std::string_view key) -> std::optional<bool>
{
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    if (!node->is_boolean()) {
        addWrongType(*node, key, "true or false");
        return std::nullopt;
    }
    return node->as_boolean()->get();
}

auto TableReader::duration(std::string_view key, Range<Duration> range) -> std::optional<Duration>
{
    static constexpr auto Wanted = std::string_view("a duration such as \"250ms\" or \"2s\"");
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    const auto value = node->is_string() ? parseDuration(node->as_string()->get()) : std::nullopt;
    if (!value) {
        addWrongType(*node, key, Wanted);
        return std::nullopt;
    }
    if (*value < range.least || *value > range.greatest) {
        addOutOfRange(*node, key, formatDuration(range.least), formatDuration(range.greatest));
        return std::nullopt;
    }
    return value;
}

auto TableReader::size(std::string_view key, Range<std::uint32_t> range)
        -> std::optional<std::uint32_t>
{
    static constexpr auto Wanted = std::string_view("a size such as \"64KiB\" or \"8MiB\"");
    const auto *node = find(key);
    if (!node)
        return std::nullopt;
    const auto value = node->is_string() ? parseSize(node->as_string()->get()) : std::nullopt;
    if (!value) {
        addWrongType(*node, key, Wanted);
        return std::nullopt;
    }
    if (*value < range.least || *value > range.greatest) {
        addOutOfRange(*node, key, formatSize(range.least), formatSize(range.greatest));
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*value);
}

auto TableReader::table(std::string_view key) -> const toml::table *
{
    const auto *node = find(key);
    if (node && !node->is_table())
        addWrongType(*node, key, "a table");
    return node ? node->as_table() : nullptr;
}

auto TableReader::tables(std::string_view key) -> std::vector<const toml::table *>
{
    const auto wanted = "an array of tables, written [[" + std::string(key) + "]]";
    const auto *node = find(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        addWrongType(*node, key, wanted);
        return {};
    }
    auto result = std::vector<const toml::table *>();
    for (const auto &it : *node->as_array()) {
        if (it.is_table())
            result.push_back(it.as_table());
        else
            addWrongType(it, key, wanted);
    }
    return result;
}

auto TableReader::finish() -> void
{
    for (const auto &[key, node] : m_table) {
        if (m_readKeys.contains(key.str()))
            continue;
        m_findings.add(key.source().begin, m_title + " has an unknown key " + quoted(key.str()),
                       "remove it or use one of " + listed(m_readKeys));
    }
}

auto TableReader::find(std::string_view key) -> const toml::node *
{
    m_readKeys.emplace(key);
    return m_table.get(key);
}

auto TableReader::addWrongType(const toml::node &node, std::string_view key,
                               std::string_view wanted) -> void
{
    m_findings.add(node.source().begin,
                   std::string(key).append(" of ").append(m_title).append(" cannot be read"),
                   std::string("give ").append(wanted));
}

auto TableReader::addOutOfRange(const toml::node &node, std::string_view key,
                                const std::string &least, const std::string &greatest) -> void
{
    m_findings.add(node.source().begin,
                   std::string(key).append(" of ").append(m_title).append(" is out of range"),
                   "give a value from " + least + " to " + greatest);
}

} // namespace stairspur::config
