#include "base/texttable.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace vanillatack {

namespace {

std::size_t displayWidth(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0xc0) != 0x80;
    }));
}

bool isNumber(const std::string &cell)
{
    return cell.empty() || cell == "-" || cell.find_first_not_of("0123456789.%-+") == std::string::npos;
}

void replaceControlCharacters(std::string &cell)
{
    std::replace_if(
        cell.begin(),
        cell.end(),
        [](char c) {
            return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
        },
        ' ');
}

std::string padded(const std::string &cell, std::size_t width, bool right)
{
    const std::string fill(width - std::min(width, displayWidth(cell)), ' ');
    return right ? fill + cell : cell + fill;
}

} // namespace

TextTable::TextTable(std::vector<std::string> titles)
    : m_titles(std::move(titles))
{
    for (std::string &title : m_titles) {
        absl::AsciiStrToUpper(&title);
    }
}

void TextTable::addRow(std::vector<std::string> cells)
{
    cells.resize(m_titles.size());
    std::for_each(cells.begin(), cells.end(), replaceControlCharacters);
    m_rows.push_back(std::move(cells));
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths;
    std::vector<bool> numeric;
    for (std::size_t column = 0; column < m_titles.size(); ++column) {
        std::size_t width = displayWidth(m_titles[column]);
        bool numbers = !m_rows.empty();
        for (const auto &row : m_rows) {
            width = std::max(width, displayWidth(row[column]));
            numbers = numbers && isNumber(row[column]);
        }
        widths.push_back(width);
        numeric.push_back(numbers);
    }
    std::string text;
    const auto addLine = [&](const std::vector<std::string> &cells) {
        std::string line;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            line += (column ? "  " : "") + padded(cells[column], widths[column], numeric[column]);
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    };
    addLine(m_titles);
    std::for_each(m_rows.begin(), m_rows.end(), addLine);
    return text;
}

} // namespace vanillatack
