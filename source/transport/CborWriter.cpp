#include "CborWriter.h"

namespace stairspur::transport {

static constexpr auto MajorShift = 5U;
static constexpr auto LargestInline = std::uint64_t{23};
static constexpr auto OneByteFollows = std::uint8_t{24};
static constexpr auto BitsPerByte = 8U;
static constexpr auto BytesMajor = std::uint8_t{2};
static constexpr auto TextMajor = std::uint8_t{3};
static constexpr auto False = '\xf4';
static constexpr auto True = '\xf5';
static constexpr auto Null = '\xf6';

auto CborWriter::addBytes(std::string_view value) -> CborWriter &
{
    addHead(BytesMajor, value.size());
    m_bytes.append(value);
    return *this;
}

auto CborWriter::addText(std::string_view value) -> CborWriter &
{
    addHead(TextMajor, value.size());
    m_bytes.append(value);
    return *this;
}

auto CborWriter::addBoolean(bool value) -> CborWriter &
{
    m_bytes.push_back(value ? True : False);
    return *this;
}

auto CborWriter::addNull() -> CborWriter &
{
    m_bytes.push_back(Null);
    return *this;
}

auto CborWriter::addHead(std::uint8_t major, std::uint64_t argument) -> CborWriter &
{
    const auto type = static_cast<std::uint8_t>(major << MajorShift);
    if (argument <= LargestInline) {
        m_bytes.push_back(static_cast<char>(type | argument));
        return *this;
    }
    // The argument follows in 1, 2, 4 or 8 bytes, the greatest first (RFC 8949, section 3).
    auto sizeLog = std::uint8_t{0};
    while (sizeLog < 3 && (argument >> (BitsPerByte << sizeLog)) != 0)
        ++sizeLog;
    m_bytes.push_back(static_cast<char>(type | (OneByteFollows + sizeLog)));
    for (auto n = 1U << sizeLog; n > 0; --n)
        m_bytes.push_back(static_cast<char>(argument >> (BitsPerByte * (n - 1))));
    return *this;
}

} // namespace stairspur::transport
