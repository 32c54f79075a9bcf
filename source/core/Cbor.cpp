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

[[noreturn]] static auto throwMalformed() -> void
{
    throw InputError("the bytes are not exactly one complete CBOR item, or its nesting is too deep",
                     "check that both ends run the same protocol version of stairspur");
}

/// Validates the structure of a CBOR item without recursion. Throws InputError unless the item ends where the bytes
/// end, is nested at most MaxDepth deep and has definite lengths that fit the bytes. nlohmann::json's parser recurses
/// for each nesting level, indefinite strings included, so that a long run of opening bytes would crash the process;
/// it also throws its own exceptions for impossible lengths. toCbor() writes neither tags nor indefinite lengths (RFC
/// 8949, section 3.2).
class StructureValidator
{
public:
    explicit StructureValidator(std::string_view bytes)
        : m_remaining(bytes)
    {}

    auto validate() -> void
    {
        m_openCounts.push_back(1);
        while (!m_openCounts.empty()) {
            if (m_openCounts.back() == 0) {
                m_openCounts.pop_back();
                continue;
            }
            --m_openCounts.back();
            skipItem();
        }
        if (!m_remaining.empty())
            throwMalformed();
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

    auto skipItem() -> void
    {
        const auto initialByte = readByte();
        const auto major = initialByte >> 5U;
        const auto argument = readArgument(initialByte & 0x1fU);
        if (major == Tag)
            throwMalformed();
        if (major == Bytes || major == Text)
            skipBytes(argument);
        if (major == Array || major == Map)
            openContainer(argument, major == Map ? 2 : 1);
    }

    /// Opens an array or map. Each item takes at least one byte, so a count greater than the remaining bytes is
    /// invalid.
    auto openContainer(std::uint64_t count, std::uint64_t itemsEach) -> void
    {
        if (m_openCounts.size() > MaxDepth || count > m_remaining.size())
            throwMalformed();
        m_openCounts.push_back(count * itemsEach);
    }

    auto readArgument(std::uint32_t additionalInformation) -> std::uint64_t
    {
        static constexpr auto FirstWide = 24U;
        static constexpr auto LastWide = 27U;
        if (additionalInformation < FirstWide)
            return additionalInformation;
        if (additionalInformation > LastWide)
            throwMalformed();
        auto value = std::uint64_t{0};
        for (auto n = 1U << (additionalInformation - FirstWide); n > 0; --n)
            value = (value << 8U) | readByte();
        return value;
    }

    auto readByte() -> std::uint8_t
    {
        if (m_remaining.empty())
            throwMalformed();
        const auto byte = static_cast<std::uint8_t>(m_remaining.front());
        m_remaining.remove_prefix(1);
        return byte;
    }

    auto skipBytes(std::uint64_t count) -> void
    {
        if (count > m_remaining.size())
            throwMalformed();
        m_remaining.remove_prefix(count);
    }

    std::string_view m_remaining;
    /// Number of items not yet read in each open array or map.
    std::vector<std::uint64_t> m_openCounts;
};

auto fromCbor(std::string_view bytes) -> nlohmann::json
{
    StructureValidator(bytes).validate();
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded())
        throwMalformed();
    return value;
}

static constexpr auto NumberRemedy = "check that both ends run the same version of stairspur";

auto readUnsigned(const nlohmann::json &value) -> std::uint64_t
{
    if (!value.is_number_unsigned())
        throw InputError("a message does not have an unsigned integer where one is required",
                         NumberRemedy);
    return value.get<std::uint64_t>();
}

auto readSigned(const nlohmann::json &value) -> std::int64_t
{
    const auto isTooLarge = value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (!value.is_number_integer() || isTooLarge)
        throw InputError("a message does not have a signed integer where one is required",
                         NumberRemedy);
    return value.get<std::int64_t>();
}

} // namespace stairspur
