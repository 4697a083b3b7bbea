#include "statechart/internal/chartreader.h"

#include "base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace vanillatack {

namespace {

bool isChartName(const std::string &name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), allowed);
}

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

ChartReader::ChartReader(std::string_view text, std::string_view file, std::vector<TextProblem> &problems)
    : m_problems(problems)
    , m_document(IniDocument::parse(text, file, problems))
{
}

ChartDeclaration ChartReader::read()
{
    readSections();
    checkStates();
    std::set<std::string> usedEvents;
    std::set<std::string> usedActions;
    for (const ChartTransition &transition : m_chart.transitions) {
        usedEvents.insert(transition.event);
        usedActions.insert(transition.action);
    }
    checkUse(m_chart.events, usedEvents, "event");
    checkUse(m_actions, usedActions, "action");
    return m_chart;
}

void ChartReader::report(int line, std::string message, std::string remedy)
{
    m_problems.push_back({m_document.file(), line, std::move(message), std::move(remedy)});
}

void ChartReader::readSections()
{
    // The header is read first, wherever it is in the file, since transitions are checked against its lists.
    for (const IniSection &section : m_document.sections()) {
        if (section.kind == "chart" && m_headerLine == 0) {
            readHeader(section);
        } else if (section.kind == "chart") {
            report(section.line, "The file has a second [chart] section.", "Keep one chart in a file.");
        } else if (section.kind != "state") {
            report(section.line,
                   absl::StrCat("Section kind \"", section.kind, "\" is unknown in a chart."),
                   "Use [chart NAME] or [state NAME].");
        }
    }
    if (m_headerLine == 0) {
        report(0, "The [chart NAME] section is missing.", "Add one with initial, events and actions.");
    }
    for (const IniSection &section : m_document.sections()) {
        if (section.kind == "state") {
            readState(section);
        }
    }
}

void ChartReader::readHeader(const IniSection &section)
{
    m_headerLine = section.line;
    m_chart.name = section.name;
    if (!isChartName(section.name)) {
        report(section.line, "The chart has no valid name.", "Write [chart NAME] with a-z, 0-9 and -.");
    }
    IniSectionReader reader(m_document, section, m_problems);
    reader.require("initial", "Add initial = STATE.");
    reader.require("events", "Add events = EVENT, EVENT.");
    reader.readString("initial", m_chart.initial);
    reader.readList("events", m_chart.events);
    reader.readList("actions", m_actions);
    reader.reportUnknown();
    for (const auto &[list, setting] : {std::pair(&m_chart.events, "events"), std::pair(&m_actions, "actions")}) {
        std::set<std::string> uniqueNames;
        for (const std::string &name : *list) {
            if (!isChartName(name)) {
                reader.reportAt(setting, absl::StrCat("\"", name, "\" is not a valid name."), "Use a-z, 0-9 and -.");
            } else if (!uniqueNames.insert(name).second) {
                reader.reportAt(setting, absl::StrCat(name, " is listed twice."), "Remove one of the two.");
            }
        }
    }
}

void ChartReader::readState(const IniSection &section)
{
    if (!isChartName(section.name)) {
        report(section.line, "The state has no valid name.", "Write [state NAME] with a-z, 0-9 and -.");
        return;
    }
    if (contains(m_chart.states, section.name)) {
        report(section.line,
               absl::StrCat("State ", section.name, " is defined twice."),
               "Move the transitions into one of the sections.");
        return;
    }
    m_chart.states.push_back(section.name);
    m_stateLines.push_back(section.line);
    for (const IniEntry &entry : section.entries) {
        readTransition(section, entry);
    }
}

void ChartReader::readTransition(const IniSection &section, const IniEntry &entry)
{
    const std::pair<std::string, std::string> targetAndAction = absl::StrSplit(entry.value, absl::MaxSplits('/', 1));
    ChartTransition transition;
    transition.from = section.name;
    transition.event = entry.name;
    transition.to = std::string(absl::StripAsciiWhitespace(targetAndAction.first));
    transition.action = std::string(absl::StripAsciiWhitespace(targetAndAction.second));
    if (!contains(m_chart.events, transition.event)) {
        report(entry.line,
               absl::StrCat("Event ", transition.event, " is not declared."),
               "Correct the name or add it to events of the [chart] section.");
    }
    const bool hasSlash = absl::StrContains(entry.value, '/');
    if (hasSlash && !contains(m_actions, transition.action)) {
        report(entry.line,
               absl::StrCat("Action \"", transition.action, "\" is not declared."),
               "Correct the name or add it to actions of the [chart] section.");
    }
    m_chart.transitions.push_back(std::move(transition));
    m_transitionLines.push_back(entry.line);
}

void ChartReader::checkStates()
{
    const std::string remedy = "Correct the name or add its [state] section.";
    for (std::size_t i = 0; i < m_chart.transitions.size(); ++i) {
        if (!contains(m_chart.states, m_chart.transitions[i].to)) {
            report(m_transitionLines[i],
                   absl::StrCat("State \"", m_chart.transitions[i].to, "\" is not defined."),
                   remedy);
        }
    }
    if (m_chart.initial.empty()) {
        return; // Already reported as missing; without it, every state would be reported as unreachable.
    }
    if (!contains(m_chart.states, m_chart.initial)) {
        report(m_headerLine, absl::StrCat("Initial state \"", m_chart.initial, "\" is not defined."), remedy);
        return;
    }
    const std::set<std::string> reachable = reachableStates();
    for (std::size_t i = 0; i < m_chart.states.size(); ++i) {
        if (!reachable.contains(m_chart.states[i])) {
            report(m_stateLines[i],
                   absl::StrCat("State ", m_chart.states[i], " cannot be reached from ", m_chart.initial, "."),
                   "Add a transition to it or remove it.");
        }
    }
}

std::set<std::string> ChartReader::reachableStates() const
{
    std::set<std::string> visited;
    std::vector<std::string> pending = {m_chart.initial};
    while (!pending.empty()) {
        const std::string state = pending.back();
        pending.pop_back();
        if (!visited.insert(state).second) {
            continue;
        }
        for (const ChartTransition &transition : m_chart.transitions) {
            if (transition.from == state) {
                pending.push_back(transition.to);
            }
        }
    }
    return visited;
}

void ChartReader::checkUse(const std::vector<std::string> &declared,
                           const std::set<std::string> &used,
                           std::string_view kind)
{
    for (const std::string &name : declared) {
        if (isChartName(name) && !used.contains(name)) {
            report(m_headerLine,
                   absl::StrCat("No transition uses the ", asAbsl(kind), " ", name, "."),
                   "Remove it or add a transition.");
        }
    }
}

} // namespace vanillatack
