#include <stairspur/core/Cbor.h>

#include <cstdint>
#include <vector>

#include <stairspur/core/Error.h>

namespace stairspur {

auto toCbor(const nlohmann::json &value) -> std::string
{
    auto bytes = std::string();
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

[[noreturn]] static auto failToRead() -> void
{
    throw InputError("the bytes are not one whole CBOR item, or it nests too deeply",
                     "check that both ends run the same protocol version of stairspur");
}

/// Walks over the heads of all items, without recursion, and throws InputError unless they end where the bytes end, nest
/// at most MaxDepth deep and have definite lengths that the bytes can hold. The library's reader calls itself for each
/// level, indefinite strings included, so that a long run of opening bytes would end the process; and it throws errors
/// of its own for impossible lengths. Our own writer uses neither tags nor indefinite lengths (RFC 8949, section 3.2).
class ShapeCheck
{
public:
    explicit ShapeCheck(std::string_view bytes)
        : m_rest(bytes)
    {}

    auto run() -> void
    {
        m_open.push_back(1);
        while (!m_open.empty()) {
            if (m_open.back() == 0) {
                m_open.pop_back();
                continue;
            }
            --m_open.back();
            passItem();
        }
        if (!m_rest.empty())
            failToRead();
    }

private:
    enum Major : std::uint8_t {
        Bytes = 2,
        Text,
        Array,
        Map,
        Tag,
    };
    static constexpr auto MaxDepth = std::size_t{32};

    auto passItem() -> void
    {
        const auto head = takeByte();
        const auto major = head >> 5U;
        const auto argument = takeArgument(head & 0x1fU);
        if (major == Tag)
            failToRead();
        if (major == Bytes || major == Text)
            pass(argument);
        if (major == Array || major == Map)
            open(argument, major == Map ? 2 : 1);
    }

    /// Each item takes a byte at least, so that more items than bytes are impossible.
    auto open(std::uint64_t count, std::uint64_t itemsEach) -> void
    {
        if (m_open.size() > MaxDepth || count > m_rest.size())
            failToRead();
        m_open.push_back(count * itemsEach);
    }

    auto takeArgument(std::uint32_t information) -> std::uint64_t
    {
        static constexpr auto FirstWide = 24U;
        static constexpr auto LastWide = 27U;
        if (information < FirstWide)
            return information;
        if (information > LastWide)
            failToRead();
        auto value = std::uint64_t{0};
        for (auto n = 1U << (information - FirstWide); n > 0; --n)
            value = (value << 8U) | takeByte();
        return value;
    }

    auto takeByte() -> std::uint8_t
    {
        if (m_rest.empty())
            failToRead();
        const auto byte = static_cast<std::uint8_t>(m_rest.front());
        m_rest.remove_prefix(1);
        return byte;
    }

    auto pass(std::uint64_t count) -> void
    {
        if (count > m_rest.size())
            failToRead();
        m_rest.remove_prefix(count);
    }

    std::string_view m_rest;
    std::vector<std::uint64_t> m_open; ///< Items still to come, of each item that is open.
};

auto fromCbor(std::string_view bytes) -> nlohmann::json
{
    ShapeCheck(bytes).run();
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded())
        failToRead();
    return value;
}

} // namespace stairspur
