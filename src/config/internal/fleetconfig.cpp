#include "config/fleetconfig.h"

#include "base/text.h"
#include "config/internal/configreader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace vanillatack {

namespace {

std::optional<std::string> decodePercent(std::string_view path)
{
    std::string decoded;
    decoded.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            decoded += path[i];
            continue;
        }
        if (i + 2 >= path.size() || !absl::ascii_isxdigit(path[i + 1]) || !absl::ascii_isxdigit(path[i + 2])) {
            return std::nullopt;
        }
        decoded += absl::HexStringToBytes(asAbsl(path.substr(i + 1, 2)));
        i += 2;
    }
    return decoded;
}

bool isUnsafeCharacter(char character)
{
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f || character == '\\';
}

// Prefixes match whole path segments only, so /parts does not match /parts-internal.
bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (!absl::StartsWith(asAbsl(path), asAbsl(prefix))) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

std::optional<std::string> normalizedPath(std::string_view path)
{
    const std::string_view encodedPath = path.substr(0, path.find_first_of("?#"));
    if (encodedPath.empty() || encodedPath[0] != '/') {
        return std::nullopt;
    }
    std::optional<std::string> decoded = decodePercent(encodedPath);
    if (!decoded || std::any_of(decoded->begin(), decoded->end(), isUnsafeCharacter)) {
        return std::nullopt;
    }
    std::vector<absl::string_view> segments = absl::StrSplit(absl::string_view(*decoded).substr(1), '/');
    if (segments.back().empty()) {
        segments.pop_back(); // The path has a trailing slash.
    }
    const bool isNormalized = std::none_of(segments.begin(), segments.end(), [](absl::string_view segment) {
        return segment.empty() || segment == "." || segment == "..";
    });
    return isNormalized ? decoded : std::nullopt;
}

const RouteConfig *FleetConfig::findRoute(std::string_view method, std::string_view path) const
{
    const std::optional<std::string> decodedPath = normalizedPath(path);
    if (!decodedPath) {
        return nullptr;
    }
    const RouteConfig *best = nullptr;
    for (const auto &[name, route] : routes) {
        const bool anyMethod = route.method == "*";
        if ((!anyMethod && route.method != method) || !matchesPrefix(*decodedPath, route.pathPrefix)) {
            continue;
        }
        const bool hasLongerPrefix = !best || route.pathPrefix.size() > best->pathPrefix.size();
        const bool samePrefixExactMethod = best && route.pathPrefix.size() == best->pathPrefix.size() && !anyMethod;
        if (hasLongerPrefix || samePrefixExactMethod) {
            best = &route;
        }
    }
    return best;
}

Duration FleetConfig::deadlineOf(const RouteConfig &route) const
{
    return route.deadline.value_or(defaults.deadline);
}

int FleetConfig::retryAllowanceOf(const RouteConfig &route) const
{
    return route.retryAllowance.value_or(defaults.retryAllowance);
}

} // namespace vanillatack
