#include "tool/internal/render.h"
#include "tool/internal/toolcontext.h"

namespace vanillatack {

namespace {

// Reads one value from the first node that answers, and shows it.
template<class T, class Render>
ExitStatus showValue(const ToolContext &context, const std::string &path, Render render)
{
    const Result<AdminClient> client = context.client();
    const Result<T> value = client ? client.value().read<T>(path) : Result<T>(client.error());
    if (!value) {
        return context.fail(value.error());
    }
    context.show(value.value(), render);
    return ExitStatus::Done;
}

} // namespace

void addFleetCommands(CLI::App &app, ToolContext &context)
{
    CLI::App *workspace = app.add_subcommand("workspace", "Workspaces and their quota");
    workspace->require_subcommand(1);
    CLI::App *list = workspace->add_subcommand("list", "List rates, bursts and the quota figures of one node");
    list->footer("Example:\n  vanillatack workspace list");
    list->callback([&context] {
        context.command = [&context] {
            return showValue<WorkspaceList>(context, "/v1/workspaces", renderWorkspaces);
        };
    });

    CLI::App *fleet = app.add_subcommand("fleet", "Show the availability zones: versions, nodes, upstreams and drains");
    fleet->footer("Example:\n  vanillatack fleet\nZones that cannot be reached are shown with their last figures.");
    fleet->callback([&context] {
        context.command = [&context] {
            return showValue<FleetView>(context, "/v1/fleet", renderFleet);
        };
    });
}

} // namespace vanillatack
