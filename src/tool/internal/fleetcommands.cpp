#include "tool/internal/render.h"
#include "tool/internal/toolcontext.h"

namespace vanillatack {

namespace {

// Prints a value that is read from the first node that responds.
template<class T, class Render>
ExitStatus showValue(const ToolContext &context, const std::string &path, Render render)
{
    const Result<AdminClient> client = context.client();
    const Result<T> value = client ? client.value().read<T>(path) : Result<T>(client.error());
    if (!value) {
        return context.reportError(value.error());
    }
    context.printResult(value.value(), render);
    return ExitStatus::Success;
}

} // namespace

void addFleetCommands(CLI::App &app, ToolContext &context)
{
    CLI::App *workspace = app.add_subcommand("workspace", "Workspaces and their quota");
    workspace->require_subcommand(1);
    CLI::App *list =
        workspace->add_subcommand("list", "List the configured rates and bursts, and the quota state of one node");
    list->footer("Example:\n  vanillatack workspace list");
    list->callback([&context] {
        context.command = [&context] {
            return showValue<WorkspaceList>(context, "/v1/workspaces", renderWorkspaces);
        };
    });

    CLI::App *fleet = app.add_subcommand("fleet", "Show the availability zones: versions, nodes, upstreams and drains");
    fleet->footer("Example:\n  vanillatack fleet\nUnreachable zones are shown with the last figures received.");
    fleet->callback([&context] {
        context.command = [&context] {
            return showValue<FleetView>(context, "/v1/fleet", renderFleet);
        };
    });
}

} // namespace vanillatack
