#include <stairspur/transport/HeaderList.h>

#include <algorithm>

namespace stairspur::transport {

static constexpr auto toLower(char c) -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

static auto isSameName(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return toLower(x) == toLower(y);
           });
}

auto HeaderList::find(std::string_view name) const -> std::string_view
{
    for (const auto &it : m_fields) {
        if (isSameName(it.name, name))
            return it.value;
    }
    return {};
}

auto HeaderList::contains(std::string_view name) const -> bool
{
    return std::any_of(m_fields.begin(), m_fields.end(),
                       [name](const auto &it) { return isSameName(it.name, name); });
}

auto HeaderList::add(std::string name, std::string value) -> void
{
    m_fields.push_back({std::move(name), std::move(value)});
}

auto HeaderList::set(std::string name, std::string value) -> void
{
    remove(name);
    add(std::move(name), std::move(value));
}

auto HeaderList::remove(std::string_view name) -> void
{
    std::erase_if(m_fields, [name](const auto &it) { return isSameName(it.name, name); });
}

} // namespace stairspur::transport
