#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Problem in a text file, with its location and remedy.
struct TextProblem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 when the problem concerns the whole file.
    std::string message;
    std::string remedy;

    /// "file:line: message remedy".
    [[nodiscard]] std::string text() const;
};

/// One "name = value" line.
struct IniEntry {
    std::string name;
    std::string value;
    int line = 0;
};

/// One "[kind name]" section; name is empty for "[kind]".
struct IniSection {
    std::string kind;
    std::string name;
    int line = 0; ///< Line of the header.
    std::vector<IniEntry> entries;
};

/// Parsed INI text with line numbers. Entries keep their order.
class IniDocument
{
public:
    /// Parses the text. Appends syntax errors and entries set twice to problems, and returns all lines that could be
    /// read. Every header starts a section, even if the section is empty or the header is repeated.
    static IniDocument parse(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

    [[nodiscard]] const std::vector<IniSection> &sections() const
    {
        return m_sections;
    }

    [[nodiscard]] const std::string &file() const
    {
        return m_file;
    }

private:
    std::string m_file;
    std::vector<IniSection> m_sections;
};

/// Reads the values of one section. Collects all problems, so that they are reported at once.
class IniSectionReader
{
public:
    IniSectionReader(const IniDocument &document, const IniSection &section, std::vector<TextProblem> &problems);

    /// The read functions mark the entry as known. They leave the target unchanged if the entry is absent or invalid.
    void readString(std::string_view name, std::string &target);
    void readBool(std::string_view name, bool &target); ///< Accepts yes or no.
    void readInteger(std::string_view name, std::int64_t &target, std::int64_t lowest, std::int64_t highest);
    void readInteger(std::string_view name, int &target, int lowest, int highest);
    void
    readDuration(std::string_view name, Duration &target, Duration lowest, Duration highest); ///< E.g. 250ms, 2s, 1h
    void readList(std::string_view name, std::vector<std::string> &target); ///< Comma-separated.

    /// Reads an enum value by its name in the table.
    template<class Enum, std::size_t Size>
    void readEnum(std::string_view name, Enum &target, const NameTable<Enum, Size> &names)
    {
        const IniEntry *entry = find(name);
        if (!entry) {
            return;
        }
        if (const auto value = names.value(entry->value)) {
            target = *value;
            return;
        }
        report(*entry, "is not a valid value", "Use one of: " + names.list() + ".");
    }

    /// Reports a problem if the entry is absent, for entries without a default.
    void require(std::string_view name, std::string_view remedy);

    /// Reports every entry that was not read, such as misspelt names.
    void reportUnknown();

    /// Reports a problem at the line of the entry, or of the section header if the entry is absent. Marks it as known.
    void reportAt(std::string_view name, std::string message, std::string remedy);

    [[nodiscard]] bool has(std::string_view name) const;

private:
    const IniEntry *find(std::string_view name);
    void report(const IniEntry &entry, std::string_view problem, std::string remedy);

    const IniDocument &m_document;
    const IniSection &m_section;
    std::vector<TextProblem> &m_problems;
    std::vector<std::string> m_readNames;
};

/// Parses "250ms", "2s", "5m", "1h" or "7d".
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration for parseDuration() in the largest unit that divides it, e.g. "1500ms"; zero is "0ms".
std::string formatDuration(Duration duration);

} // namespace vanillatack
