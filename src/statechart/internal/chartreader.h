#pragma once

#include "statechart/statechart.h"

#include <set>

namespace vanillatack {

/// Contents of a chart file. Lists keep the order of the file.
struct ChartDeclaration {
    std::string name;
    std::string initial;
    std::vector<std::string> states;
    std::vector<std::string> events;
    std::vector<ChartTransition> transitions;
};

/// Reads one chart file and collects all problems.
class ChartReader
{
public:
    ChartReader(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

    ChartDeclaration read();

private:
    void readSections();
    void readHeader(const IniSection &section);
    void readState(const IniSection &section);
    void readTransition(const IniSection &section, const IniEntry &entry);
    void checkStates();
    void checkUse(const std::vector<std::string> &declared, const std::set<std::string> &used, std::string_view kind);
    [[nodiscard]] std::set<std::string> reachableStates() const;
    void report(int line, std::string message, std::string remedy);

    std::vector<TextProblem> &m_problems;
    IniDocument m_document;
    ChartDeclaration m_chart;
    std::vector<std::string> m_actions;
    std::vector<int> m_stateLines;
    std::vector<int> m_transitionLines;
    int m_headerLine = 0;
};

} // namespace vanillatack
