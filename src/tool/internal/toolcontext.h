#pragma once

#include "base/error.h"
#include "tool/internal/adminclient.h"
#include "tool/tool.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>
#include <vector>

namespace vanillatack {

/// Options of all commands, and what they have in common.
struct ToolContext {
    const ToolEnvironment &environment;
    std::vector<std::string> nodes;
    std::string credentialFile;
    std::string output = "table";
    std::string author;
    std::function<ExitStatus()> command; ///< The chosen command, set while the arguments are parsed.

    [[nodiscard]] bool wantsJson() const
    {
        return output == "json";
    }

    /// A client for the nodes and the credential of the options and the environment. Errors: InvalidArgument.
    [[nodiscard]] Result<AdminClient> client() const;

    /// The author of a change: --author, or the login name.
    [[nodiscard]] std::string authorName() const;

    /// Writes the error and returns its exit status.
    ExitStatus fail(const Error &error) const;

    /// Writes the value as JSON, or as the text made by the renderer.
    template<class T, class Render>
    void show(const T &value, Render render) const
    {
        environment.out << (wantsJson() ? formatAdminValue(value) + "\n" : render(value));
    }
};

ExitStatus exitStatusOf(ErrorKind kind);

/// Reads a whole file. Errors: InvalidArgument.
Result<std::string> readFile(const std::string &path);

// Each adds its commands to the application.
void addConfigCommands(CLI::App &app, ToolContext &context);
void addKeyCommands(CLI::App &app, ToolContext &context);
void addFleetCommands(CLI::App &app, ToolContext &context);
void addNodeCommands(CLI::App &app, ToolContext &context);
void addReportCommand(CLI::App &app, ToolContext &context);
void addExplainCommand(CLI::App &app, ToolContext &context);

} // namespace vanillatack
