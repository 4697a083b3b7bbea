#pragma once

#include "config/fleetconfig.h"

namespace vanillatack {

/// Reads one configuration text and collects all problems instead of stopping at the first.
class ConfigReader
{
public:
    ConfigReader(std::string_view text, std::string_view file);

    ConfigParseResult read();

private:
    /// Checks the kinds and names of all sections and reports duplicates.
    void checkSections();
    void readExceptions();
    void readException(const IniSection &section);

    /// Returns the section with the overrides of its exceptions applied.
    IniSection withExceptions(const IniSection &section) const;

    void readDefaults(const IniSection &section);
    void readZone(const IniSection &section);
    void readService(const IniSection &section);
    void readRoute(const IniSection &section);
    void readObjective(IniSectionReader &reader, RouteConfig &route);
    void readWorkspace(const IniSection &section);

    void checkRoutes();
    void checkZones();

    /// Reports "stopped" in a zone section. Stopping a zone moves its quota shares to the other zones, so it needs the
    /// recorded reason of an exception.
    void checkStoppedOnlyByException(const IniSection &section);
    void report(int line, std::string message, std::string remedy);

    [[nodiscard]] int lineOf(std::string_view kind, const std::string &name) const;

    std::vector<TextProblem> m_problems;
    IniDocument m_document;
    FleetConfig m_config;
    std::map<std::string, std::vector<IniEntry>> m_overrides; ///< Keyed by target, e.g. "route certificates".
};

/// Returns whether the name consists of 1 to 40 characters of a-z, 0-9 and "-" and neither starts nor ends with "-".
/// Such names are safe as metric labels and table keys.
bool isConfigName(std::string_view name);

/// Decodes a request path and removes its query and fragment. Returns nullopt if the path is not absolute, if a segment
/// is empty, "." or "..", or if the path contains an invalid escape, a control character or a backslash: an upstream
/// may normalize such a path into the prefix of another route.
std::optional<std::string> normalizedPath(std::string_view path);

} // namespace vanillatack
