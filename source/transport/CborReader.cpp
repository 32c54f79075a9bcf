#include "CborReader.h"

#include <stairspur/core/Error.h>

namespace stairspur::transport {

static constexpr auto MajorShift = 5U;
static constexpr auto InformationMask = std::uint8_t{0x1f};
static constexpr auto LargestInline = std::uint8_t{23};
static constexpr auto EightBytesFollow = std::uint8_t{27};
static constexpr auto BitsPerByte = 8U;
static constexpr auto False = std::uint8_t{0xf4};
static constexpr auto True = std::uint8_t{0xf5};
static constexpr auto Null = std::uint8_t{0xf6};

enum Major : std::uint8_t {
    UnsignedMajor = 0,
    NegativeMajor = 1,
    BytesMajor = 2,
    TextMajor = 3,
    ArrayMajor = 4,
    MapMajor = 5,
    TagMajor = 6,
};

[[noreturn]] static auto fail(const char *problem) -> void
{
    throw InputError(problem, "check that both ends run the same protocol version of stairspur");
}

auto CborReader::readUnsigned() -> std::uint64_t
{
    return readHead(UnsignedMajor);
}

auto CborReader::readUnsigned(std::uint64_t greatest) -> std::uint64_t
{
    const auto value = readUnsigned();
    if (value > greatest)
        fail("a number in the CBOR bytes is out of range");
    return value;
}

auto CborReader::readBytes() -> std::string_view
{
    return readString(readHead(BytesMajor));
}

auto CborReader::readText() -> std::string_view
{
    return readString(readHead(TextMajor));
}

auto CborReader::readArray() -> std::uint64_t
{
    const auto n = readHead(ArrayMajor);
    // Each item takes a byte at least, so that a forged number cannot make us reserve memory.
    if (n > m_rest.size())
        fail("a CBOR array is longer than its bytes");
    return n;
}

auto CborReader::readBoolean() -> bool
{
    const auto byte = takeByte();
    if (byte != False && byte != True)
        fail("a CBOR item is no boolean");
    return byte == True;
}

auto CborReader::takeNull() -> bool
{
    if (peek() != Null)
        return false;
    takeByte();
    return true;
}

auto CborReader::takeFalse() -> bool
{
    if (peek() != False)
        return false;
    takeByte();
    return true;
}

auto CborReader::skip(std::uint64_t n) -> void
{
    for (; n > 0; --n)
        skipItem(0);
}

auto CborReader::ensureEnd() const -> void
{
    if (!m_rest.empty())
        fail("bytes follow the CBOR item");
}

auto CborReader::readHead(std::uint8_t major) -> std::uint64_t
{
    const auto byte = takeByte();
    if (byte >> MajorShift != major)
        fail("a CBOR item has another type than expected");
    return readArgument(byte & InformationMask);
}

auto CborReader::readArgument(std::uint8_t information) -> std::uint64_t
{
    if (information <= LargestInline)
        return information;
    if (information > EightBytesFollow)
        fail("a CBOR item has no definite length");
    auto value = std::uint64_t{0};
    for (auto n = 1U << (information - LargestInline - 1U); n > 0; --n)
        value = value << BitsPerByte | takeByte();
    return value;
}

auto CborReader::readString(std::uint64_t n) -> std::string_view
{
    if (n > m_rest.size())
        fail("the CBOR bytes end early");
    const auto text = m_rest.substr(0, n);
    m_rest.remove_prefix(n);
    return text;
}

auto CborReader::skipItem(int depth) -> void
{
    if (depth > MaxDepth)
        fail("the CBOR bytes are nested too deeply");
    const auto byte = takeByte();
    const auto major = byte >> MajorShift;
    const auto argument = readArgument(byte & InformationMask);
    if (major == BytesMajor || major == TextMajor)
        readString(argument);
    if (major < ArrayMajor || major > TagMajor)
        return;
    if (argument > m_rest.size())
        fail("a CBOR array is longer than its bytes");
    const auto n = major == TagMajor ? 1 : major == MapMajor ? 2 * argument : argument;
    for (auto index = std::uint64_t{0}; index < n; ++index)
        skipItem(depth + 1);
}

auto CborReader::peek() const -> std::uint8_t
{
    if (m_rest.empty())
        fail("the CBOR bytes end early");
    return static_cast<std::uint8_t>(m_rest.front());
}

auto CborReader::takeByte() -> std::uint8_t
{
    const auto byte = peek();
    m_rest.remove_prefix(1);
    return byte;
}

} // namespace stairspur::transport
