#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace vanillatack {

/// Two-way mapping between the values of an enum class and their names. Every value must have a name.
template<class Enum, std::size_t Size>
class NameTable
{
public:
    struct Entry {
        Enum value;
        std::string_view name;
    };

    constexpr explicit NameTable(const std::array<Entry, Size> &entries)
        : m_entries(entries)
    {
    }

    /// Name of the value; "invalid" if it has none.
    [[nodiscard]] constexpr std::string_view name(Enum value) const
    {
        for (const Entry &entry : m_entries) {
            if (entry.value == value) {
                return entry.name;
            }
        }
        return "invalid";
    }

    [[nodiscard]] constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const Entry &entry : m_entries) {
            if (entry.name == name) {
                return entry.value;
            }
        }
        return std::nullopt;
    }

    /// Comma-separated list of all names, for messages that list the valid values.
    [[nodiscard]] std::string list() const
    {
        std::string text;
        for (const Entry &entry : m_entries) {
            text += text.empty() ? "" : ", ";
            text += entry.name;
        }
        return text;
    }

    [[nodiscard]] constexpr const std::array<Entry, Size> &entries() const
    {
        return m_entries;
    }

private:
    std::array<Entry, Size> m_entries;
};

/// Makes a table from a list of {value, name} pairs.
template<class Enum, std::size_t Size>
constexpr NameTable<Enum, Size> makeNameTable(const typename NameTable<Enum, Size>::Entry (&entries)[Size])
{
    return NameTable<Enum, Size>(std::to_array(entries));
}

} // namespace vanillatack
