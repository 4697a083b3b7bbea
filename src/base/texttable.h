#pragma once

#include <string>
#include <vector>

namespace vanillatack {

/// Plain-text table with aligned columns for terminals.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Missing cells are left empty; cells beyond the last title are ignored.
    void addRow(std::vector<std::string> cells);

    /// Renders the table with upper-case titles and two spaces between columns. Columns that hold only numbers are
    /// right-aligned. Widths count UTF-8 characters. Control characters are replaced with spaces, so that names cannot
    /// send escape sequences to the terminal.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::string> m_titles;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace vanillatack
