#pragma once

#include "base/clock.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace vanillatack {

/// Exit statuses of the command-line tool. Scripts depend on the numbers; see docs/cli.md.
enum class ExitStatus {
    Success = 0,
    Usage = 2, ///< Invalid arguments or an invalid file.
    /// The node rejected the request, e.g. with a conflict, or the operator declined; nothing changed. Also a response
    /// that cannot be read and an internal error of the node, unless to a change.
    Refused = 3,
    Unreachable = 4, ///< No node could be reached, or the node could not reach the platform. Nothing changed.
    Partial = 5, ///< The command succeeded only in part, or the result lacks some availability zones or nodes.
    OutcomeUnknown = 6, ///< The change may or may not have taken effect.
};

/// The tool's interface to the operating system. Tests replace it.
struct ToolEnvironment {
    std::istream &in;
    std::ostream &out; ///< Receives results only, so that they can be redirected.
    std::ostream &err; ///< Receives errors, prompts and notes.
    std::function<std::string(const std::string &)> variable; ///< Reads an environment variable; "" if unset.
    std::function<void(Duration)> sleep;
    const IClock &clock;
};

/// Runs a command and returns its exit status. The arguments do not include the program's name.
int runTool(const std::vector<std::string> &arguments, const ToolEnvironment &environment);

} // namespace vanillatack
