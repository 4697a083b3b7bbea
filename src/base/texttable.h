#pragma once

#include <string>
#include <vector>

namespace vanillatack {

/// Text table with aligned columns for terminals.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Missing cells are empty; cells beyond the titles are dropped.
    void addRow(std::vector<std::string> cells);

    /// Titles in upper case, two spaces between columns. Columns whose cells are all numbers are right-aligned. Widths
    /// count characters of UTF-8. Control characters are replaced, so that a name cannot change the terminal.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::string> m_titles;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace vanillatack
