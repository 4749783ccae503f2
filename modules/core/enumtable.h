#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Pimentohollow
{

/** One line of an EnumTable. */
template <typename Enum>
struct EnumEntry {
    Enum value;
    std::string_view name;
};

/**
 * Table of the names of an enum class, for output, parsing and metric labels.
 * Every enumerator has one entry.
 */
template <typename Enum, std::size_t Size>
class EnumTable
{
public:
    constexpr explicit EnumTable(std::array<EnumEntry<Enum>, Size> entries)
        : m_entries(entries)
    {
    }

    /** The name of @p value, or "invalid" for a value without an entry. */
    constexpr std::string_view name(Enum value) const
    {
        for (const auto &it : m_entries) {
            if (it.value == value) {
                return it.name;
            }
        }
        return "invalid";
    }

    /** The value called @p name, or nothing. */
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto &it : m_entries) {
            if (it.name == name) {
                return it.value;
            }
        }
        return std::nullopt;
    }

    constexpr const std::array<EnumEntry<Enum>, Size> &entries() const
    {
        return m_entries;
    }

private:
    std::array<EnumEntry<Enum>, Size> m_entries;
};

template <typename Enum, std::size_t Size>
constexpr EnumTable<Enum, Size> makeEnumTable(const EnumEntry<Enum> (&entries)[Size])
{
    std::array<EnumEntry<Enum>, Size> table{};
    for (std::size_t n = 0; n < Size; ++n) {
        table[n] = entries[n];
    }
    return EnumTable<Enum, Size>(table);
}

} // namespace Pimentohollow
