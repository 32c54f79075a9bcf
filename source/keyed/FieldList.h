#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Error.h>

namespace stairspur::keyed {

/// Appends values to a CBOR array. FieldReader must read them in the same order.
class FieldWriter
{
public:
    auto number(std::uint64_t value) -> FieldWriter &
    {
        m_fields.push_back(value);
        return *this;
    }
    auto flag(bool value) -> FieldWriter &
    {
        m_fields.push_back(value);
        return *this;
    }
    /// Appends a CBOR byte string, since keys and payloads may contain any bytes.
    auto bytes(const std::string &value) -> FieldWriter &
    {
        m_fields.push_back(nlohmann::json::binary({value.begin(), value.end()}));
        return *this;
    }
    auto fields(nlohmann::json value) -> FieldWriter &
    {
        m_fields.push_back(std::move(value));
        return *this;
    }
    template <NamedEnum Enum>
    auto value(Enum value) -> FieldWriter &
    {
        return number(static_cast<std::uint64_t>(value));
    }
    auto take() -> nlohmann::json { return std::move(m_fields); }

private:
    nlohmann::json m_fields = nlohmann::json::array();
};

/// Reads the fields that FieldWriter wrote. Every member throws InputError if the next field is missing or has another
/// type.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &fields)
        : m_fields(fields)
    {
        if (!fields.is_array())
            fail("expected an array");
    }

    auto number() -> std::uint64_t
    {
        const auto &field = next();
        if (!field.is_number_unsigned())
            fail("expected a number");
        return field.get<std::uint64_t>();
    }
    auto smallNumber() -> std::uint32_t
    {
        const auto value = number();
        if (value > std::numeric_limits<std::uint32_t>::max())
            fail("a number is too large");
        return static_cast<std::uint32_t>(value);
    }
    auto flag() -> bool
    {
        const auto &field = next();
        if (!field.is_boolean())
            fail("expected a boolean");
        return field.get<bool>();
    }
    auto bytes() -> std::string
    {
        const auto &field = next();
        if (!field.is_binary())
            fail("expected a byte string");
        const auto &binary = field.get_binary();
        return {binary.begin(), binary.end()};
    }
    auto fields() -> const nlohmann::json &
    {
        const auto &field = next();
        if (!field.is_array())
            fail("expected an array");
        return field;
    }
    template <NamedEnum Enum>
    auto value() -> Enum
    {
        const auto index = number();
        if (index >= enumNames<Enum>.size())
            fail("an enumeration value is unknown");
        return static_cast<Enum>(index);
    }
    /// Throws InputError if fields are left. It must be called last.
    auto finish() const -> void
    {
        if (m_next != m_fields.size())
            fail("unexpected fields at the end");
    }

    [[noreturn]] static auto fail(const std::string &problem) -> void
    {
        throw InputError("keyed message cannot be decoded: " + problem,
                         "check that both ends run the same version of stairspur");
    }

private:
    auto next() -> const nlohmann::json &
    {
        if (m_next >= m_fields.size())
            fail("a field is missing");
        return m_fields[m_next++];
    }

    const nlohmann::json &m_fields;
    std::size_t m_next = 0;
};

/// Calls fromCbor() and throws every failure as an InputError. fromCbor() lets the library's own exception through when
/// the length of an array is larger than memory could hold.
inline auto parseFields(std::string_view bytes) -> nlohmann::json
{
    try {
        return fromCbor(bytes);
    } catch (const nlohmann::json::exception &e) {
        FieldReader::fail(e.what());
    }
}

} // namespace stairspur::keyed
