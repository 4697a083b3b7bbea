#pragma once

#include "base/clock.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace vanillatack {

/// Exit statuses of the command-line tool. Scripts depend on them; docs/cli.md lists them.
enum class ExitStatus {
    Done = 0,
    Usage = 2, ///< Wrong arguments, or an invalid file.
    Refused = 3, ///< The node refused, e.g. a conflict; or the operator declined. Nothing was changed.
    Unreachable = 4, ///< No node, or the platform behind it, could be reached. Nothing was changed.
    Partly = 5, ///< Done, but not everywhere, or without the figures of some zones or nodes.
    Unknown = 6, ///< The change may or may not have taken effect.
};

/// What the tool uses of its surroundings, so that tests can replace it.
struct ToolEnvironment {
    std::istream &in;
    std::ostream &out; ///< Results only, so that they can be redirected.
    std::ostream &err; ///< Problems, prompts and notes.
    std::function<std::string(const std::string &)> variable; ///< Value of an environment variable, or "".
    std::function<void(Duration)> pause; ///< Waits.
    const IClock &clock;
};

/// Runs one command; the arguments come without the program's name. Returns the exit status.
int runTool(const std::vector<std::string> &arguments, const ToolEnvironment &environment);

} // namespace vanillatack
