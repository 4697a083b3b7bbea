#include "base/inidocument.h"

#include "base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <ini.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <mutex>

namespace vanillatack {

namespace {

constexpr int MaxLineBytes = 4096;

struct ParseState {
    std::string_view remaining;
    int line = 0;
    std::vector<IniSection> sections;
    std::vector<int> invalidLines;
    bool lineTooLong = false;
};

// inih reports neither empty sections nor repeated headers, and only the first invalid line. Detects all three from
// the line itself.
void inspectLine(ParseState &state, absl::string_view line)
{
    const absl::string_view text = absl::StripAsciiWhitespace(line);
    if (text.empty() || text[0] == '#' || text[0] == ';') {
        return;
    }
    const std::size_t end = text.find(']');
    if (text[0] != '[') {
        if (text.find_first_of("=:") == absl::string_view::npos) {
            state.invalidLines.push_back(state.line);
        }
    } else if (end == absl::string_view::npos) {
        state.invalidLines.push_back(state.line);
    } else {
        const std::pair<std::string, std::string> title =
            absl::StrSplit(text.substr(1, end - 1), absl::MaxSplits(' ', 1));
        state.sections.push_back({title.first, std::string(absl::StripAsciiWhitespace(title.second)), state.line, {}});
    }
}

char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    if (state.remaining.empty()) {
        return nullptr;
    }
    const std::size_t end = state.remaining.find('\n');
    const std::size_t full = end == std::string_view::npos ? state.remaining.size() : end + 1;
    const std::size_t length = std::min(full, static_cast<std::size_t>(size) - 1);
    state.lineTooLong |= length < full;
    std::memcpy(buffer, state.remaining.data(), length);
    buffer[length] = '\0';
    state.remaining.remove_prefix(full);
    ++state.line;
    inspectLine(state, absl::string_view(buffer, length));
    return buffer;
}

int addEntry(void *user, const char *, const char *name, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    if (state.sections.empty()) {
        state.sections.push_back({"", "", state.line, {}});
    }
    state.sections.back().entries.push_back({name, value, state.line});
    return 1;
}

void reportRepeatedEntries(const IniSection &section, const std::string &file, std::vector<TextProblem> &problems)
{
    std::map<std::string_view, int> lines;
    for (const IniEntry &entry : section.entries) {
        const auto [first, added] = lines.try_emplace(entry.name, entry.line);
        if (!added) {
            problems.push_back(
                {file,
                 entry.line,
                 absl::StrCat(entry.name, " is set twice in its section, first at line ", first->second, "."),
                 "Remove one of the lines."});
        }
    }
}

void configureParser()
{
    // The inih parser options are global variables.
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_max_line = MaxLineBytes;
        ini_initial_alloc = MaxLineBytes;
        ini_allow_multiline = false;
        ini_allow_inline_comments = false;
    });
}

struct Unit {
    std::string_view suffix;
    Duration length;
};

// Longest first, so that formatting finds the largest unit that divides the value.
constexpr std::array<Unit, 5> Units = {{
    {"d", std::chrono::hours(24)},
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
}};

} // namespace

std::string TextProblem::text() const
{
    const std::string place = line > 0 ? absl::StrCat(file, ":", line) : file;
    return absl::StrCat(place, ": ", message, remedy.empty() ? "" : " ", remedy);
}

IniDocument IniDocument::parse(std::string_view text, std::string_view file, std::vector<TextProblem> &problems)
{
    configureParser();
    ParseState state;
    state.remaining = text;
    const int result = ini_parse_stream(readLine, &state, addEntry, &state);
    IniDocument document;
    document.m_file = std::string(file);
    document.m_sections = std::move(state.sections);
    if (result > 0
        && std::find(state.invalidLines.begin(), state.invalidLines.end(), result) == state.invalidLines.end()) {
        state.invalidLines.push_back(result);
    } else if (result < 0) {
        problems.push_back({document.m_file, 0, "The parser is out of memory.", "Use a smaller file."});
    }
    for (const int line : state.invalidLines) {
        problems.push_back({document.m_file,
                            line,
                            "The line is neither a section, an entry nor a comment.",
                            "Write [kind name], name = value, or start the line with #."});
    }
    for (const IniSection &section : document.m_sections) {
        reportRepeatedEntries(section, document.m_file, problems);
    }
    if (state.lineTooLong) {
        problems.push_back({document.m_file, 0, "A line is longer than 4095 bytes.", "Shorten the line."});
    }
    return document;
}

IniSectionReader::IniSectionReader(const IniDocument &document,
                                   const IniSection &section,
                                   std::vector<TextProblem> &problems)
    : m_document(document)
    , m_section(section)
    , m_problems(problems)
{
}

const IniEntry *IniSectionReader::find(std::string_view name)
{
    m_readNames.emplace_back(name);
    const auto entry = std::find_if(m_section.entries.begin(), m_section.entries.end(), [name](const IniEntry &e) {
        return e.name == name;
    });
    return entry == m_section.entries.end() ? nullptr : &*entry;
}

bool IniSectionReader::has(std::string_view name) const
{
    return std::any_of(m_section.entries.begin(), m_section.entries.end(), [name](const IniEntry &entry) {
        return entry.name == name;
    });
}

void IniSectionReader::report(const IniEntry &entry, std::string_view problem, std::string remedy)
{
    m_problems.push_back({m_document.file(),
                          entry.line,
                          absl::StrCat("\"", entry.value, "\" ", asAbsl(problem), " for ", entry.name, "."),
                          std::move(remedy)});
}

void IniSectionReader::reportAt(std::string_view name, std::string message, std::string remedy)
{
    const IniEntry *entry = find(name);
    const int line = entry ? entry->line : m_section.line;
    m_problems.push_back({m_document.file(), line, std::move(message), std::move(remedy)});
}

void IniSectionReader::readString(std::string_view name, std::string &target)
{
    if (const IniEntry *entry = find(name)) {
        target = entry->value;
    }
}

void IniSectionReader::readBool(std::string_view name, bool &target)
{
    const IniEntry *entry = find(name);
    if (!entry) {
        return;
    }
    if (entry->value != "yes" && entry->value != "no") {
        report(*entry, "is not a valid value", "Use yes or no.");
        return;
    }
    target = entry->value == "yes";
}

void IniSectionReader::readInteger(std::string_view name,
                                   std::int64_t &target,
                                   std::int64_t lowest,
                                   std::int64_t highest)
{
    const IniEntry *entry = find(name);
    if (!entry) {
        return;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(entry->value, &value) || value < lowest || value > highest) {
        report(*entry, "is not a valid number", absl::StrCat("Use a whole number from ", lowest, " to ", highest, "."));
        return;
    }
    target = value;
}

void IniSectionReader::readInteger(std::string_view name, int &target, int lowest, int highest)
{
    std::int64_t value = target;
    readInteger(name, value, static_cast<std::int64_t>(lowest), static_cast<std::int64_t>(highest));
    target = static_cast<int>(value);
}

void IniSectionReader::readDuration(std::string_view name, Duration &target, Duration lowest, Duration highest)
{
    const IniEntry *entry = find(name);
    if (!entry) {
        return;
    }
    const std::optional<Duration> value = parseDuration(entry->value);
    if (!value || *value < lowest || *value > highest) {
        const std::string range = absl::StrCat(formatDuration(lowest), " to ", formatDuration(highest));
        report(
            *entry, "is not a valid duration", absl::StrCat("Use a duration from ", range, ", such as 250ms or 2s."));
        return;
    }
    target = *value;
}

void IniSectionReader::readList(std::string_view name, std::vector<std::string> &target)
{
    const IniEntry *entry = find(name);
    if (!entry) {
        return;
    }
    target.clear();
    for (absl::string_view item : absl::StrSplit(entry->value, ',', absl::SkipWhitespace())) {
        target.emplace_back(absl::StripAsciiWhitespace(item));
    }
}

void IniSectionReader::require(std::string_view name, std::string_view remedy)
{
    if (!has(name)) {
        const std::string title = absl::StrCat(m_section.kind, m_section.name.empty() ? "" : " ", m_section.name);
        const std::string message = absl::StrCat("[", title, "] has no entry ", asAbsl(name), ".");
        m_problems.push_back({m_document.file(), m_section.line, message, std::string(remedy)});
    }
}

void IniSectionReader::reportUnknown()
{
    for (const IniEntry &entry : m_section.entries) {
        if (std::find(m_readNames.begin(), m_readNames.end(), entry.name) == m_readNames.end()) {
            m_problems.push_back({m_document.file(),
                                  entry.line,
                                  absl::StrCat("[", m_section.kind, "] has no setting named ", entry.name, "."),
                                  "Remove the line or correct the name; docs/ lists the settings."});
        }
    }
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    std::int64_t count = 0;
    if (digits == 0 || !absl::SimpleAtoi(asAbsl(text.substr(0, digits)), &count)) {
        return std::nullopt;
    }
    for (const Unit &unit : Units) {
        const bool fits = count <= Duration::max() / unit.length;
        if (text.substr(digits) == unit.suffix) {
            return fits ? std::optional<Duration>(unit.length * count) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const Unit &unit : Units) {
        if (duration != Duration::zero() && duration % unit.length == Duration::zero()) {
            return absl::StrCat(duration / unit.length, asAbsl(unit.suffix));
        }
    }
    return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), "ms");
}

} // namespace vanillatack
