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

/// Appends values to a CBOR array, in an order that the reader knows.
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
    /// Keys and payloads are bytes of any kind, so they go as CBOR byte strings.
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

/// Reads what FieldWriter wrote. Every member throws InputError when the next field is missing or of another kind.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &fields)
        : m_fields(fields)
    {
        if (!fields.is_array())
            fail("an array was expected");
    }

    auto number() -> std::uint64_t
    {
        const auto &field = next();
        if (!field.is_number_unsigned())
            fail("a number was expected");
        return field.get<std::uint64_t>();
    }
    auto smallNumber() -> std::uint32_t
    {
        const auto value = number();
        if (value > std::numeric_limits<std::uint32_t>::max())
            fail("a number is too great");
        return static_cast<std::uint32_t>(value);
    }
    auto flag() -> bool
    {
        const auto &field = next();
        if (!field.is_boolean())
            fail("a truth value was expected");
        return field.get<bool>();
    }
    auto bytes() -> std::string
    {
        const auto &field = next();
        if (!field.is_binary())
            fail("a byte string was expected");
        const auto &binary = field.get_binary();
        return {binary.begin(), binary.end()};
    }
    auto fields() -> const nlohmann::json &
    {
        const auto &field = next();
        if (!field.is_array())
            fail("an array was expected");
        return field;
    }
    template <NamedEnum Enum>
    auto value() -> Enum
    {
        const auto index = number();
        if (index >= enumNames<Enum>.size())
            fail("a value is not among those known");
        return static_cast<Enum>(index);
    }
    /// To be called last: nothing may be left over.
    auto finish() const -> void
    {
        if (m_next != m_fields.size())
            fail("fields are left over");
    }

    [[noreturn]] static auto fail(const std::string &problem) -> void
    {
        throw InputError("a message about keyed calls cannot be read: " + problem,
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

/// fromCbor(), with every refusal as an InputError: the library's own exception escapes it where an array claims more
/// elements than memory could hold.
inline auto parseFields(std::string_view bytes) -> nlohmann::json
{
    try {
        return fromCbor(bytes);
    } catch (const nlohmann::json::exception &e) {
        FieldReader::fail(e.what());
    }
}

} // namespace stairspur::keyed
