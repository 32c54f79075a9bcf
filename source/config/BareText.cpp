#include "BareText.h"

#include <algorithm>

namespace stairspur::config {

static auto isBeyondAscii(char it) -> bool
{
    return (static_cast<unsigned char>(it) & 0x80U) != 0;
}

/// Walks over a TOML text and knows what is a comment or a string. Where the text is malformed it may be wrong about what
/// follows, which the library does not read any more then.
class BareTextScanner
{
public:
    explicit BareTextScanner(std::string_view text)
        : m_text(text)
    {
        static constexpr auto ByteOrderMark = std::string_view("\xef\xbb\xbf");
        if (m_text.starts_with(ByteOrderMark))
            m_at = ByteOrderMark.size();
    }

    auto run() -> std::optional<std::size_t>
    {
        while (m_at < m_text.size()) {
            const auto it = m_text[m_at];
            if (isBeyondAscii(it))
                return m_at;
            if (it == '#')
                m_at = std::min(m_text.find('\n', m_at), m_text.size());
            else if (it == '"' || it == '\'')
                passString(it);
            else
                ++m_at;
        }
        return std::nullopt;
    }

private:
    static constexpr auto MultiLineQuotes = std::size_t{3};

    [[nodiscard]] auto countQuotes(char quote) const -> std::size_t
    {
        const auto end = std::min(m_text.find_first_not_of(quote, m_at), m_text.size());
        return end - m_at;
    }

    auto passString(char quote) -> void
    {
        const auto isMultiLine = countQuotes(quote) >= MultiLineQuotes;
        m_at += isMultiLine ? MultiLineQuotes : 1;
        while (m_at < m_text.size()) {
            const auto it = m_text[m_at];
            if (it == quote && !isMultiLine) {
                ++m_at;
                return;
            }
            if (it == quote && countQuotes(quote) >= MultiLineQuotes) {
                m_at += std::min(countQuotes(quote), MultiLineQuotes + 2); // Two may belong to it.
                return;
            }
            if (it == '\n' && !isMultiLine)
                return; // An error, which the library reports.
            m_at += it == '\\' && quote == '"' ? 2 : 1;
        }
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

static auto positionOf(std::string_view text, std::size_t at) -> toml::source_position
{
    const auto before = text.substr(0, at);
    const auto line = before.substr(before.rfind('\n') + 1); // npos + 1 is 0.
    const auto isContinuation = [](char it) {
        return (static_cast<unsigned char>(it) & 0xc0U) == 0x80U;
    };
    const auto lines = std::ranges::count(before, '\n');
    const auto columns = std::ranges::count_if(line, [&](char it) { return !isContinuation(it); });
    return {static_cast<toml::source_index>(lines + 1),
            static_cast<toml::source_index>(columns + 1)};
}

auto findBareNonAscii(std::string_view text) -> std::optional<toml::source_position>
{
    const auto at = BareTextScanner(text).run();
    if (!at)
        return std::nullopt;
    return positionOf(text, *at);
}

} // namespace stairspur::config
