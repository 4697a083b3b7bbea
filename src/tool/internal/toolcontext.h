#pragma once

#include "base/error.h"
#include "tool/internal/adminclient.h"
#include "tool/tool.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>
#include <vector>

namespace vanillatack {

/// Options that all commands share, with helpers for the commands.
struct ToolContext {
    const ToolEnvironment &environment;
    std::vector<std::string> nodes;
    std::string credentialFile;
    std::string output = "table";
    std::string author;
    std::function<ExitStatus()> command; ///< The selected command; set while the arguments are parsed.

    [[nodiscard]] bool wantsJson() const
    {
        return output == "json";
    }

    /// Creates a client from the nodes and credential in the options or environment variables. Errors: InvalidArgument.
    [[nodiscard]] Result<AdminClient> client() const;

    /// Returns the author of a change: --author, or else the login name.
    [[nodiscard]] std::string authorName() const;

    /// Prints the error to the error stream and returns its exit status.
    ExitStatus reportError(const Error &error) const;

    /// Prints the value as JSON, or as text formatted by the renderer, depending on --output.
    template<class T, class Render>
    void printResult(const T &value, Render render) const
    {
        environment.out << (wantsJson() ? formatAdminValue(value) + "\n" : render(value));
    }
};

ExitStatus exitStatusOf(ErrorKind kind);

/// Reads a whole file. Errors: InvalidArgument.
Result<std::string> readFile(const std::string &path);

// These functions add the commands of one group to the application.
void addConfigCommands(CLI::App &app, ToolContext &context);
void addKeyCommands(CLI::App &app, ToolContext &context);
void addFleetCommands(CLI::App &app, ToolContext &context);
void addNodeCommands(CLI::App &app, ToolContext &context);
void addReportCommand(CLI::App &app, ToolContext &context);
void addExplainCommand(CLI::App &app, ToolContext &context);

} // namespace vanillatack
