#include "base/text.h"
#include "tool/internal/render.h"
#include "tool/internal/toolcontext.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace vanillatack {

namespace {

struct NodeOptions {
    std::string node;
    std::string note;
    std::string request;
    std::string kind;
    int limit = 20;
};

/// Responses of the given nodes. Errors of single nodes are printed, and the first one is kept.
template<class T>
struct NodeAnswers {
    std::vector<T> values;
    std::optional<Error> firstError;

    [[nodiscard]] ExitStatus exitStatus(const ToolContext &context) const
    {
        if (values.empty()) {
            return context.reportError(*firstError);
        }
        return firstError ? ExitStatus::Partial : ExitStatus::Success;
    }
};

template<class T>
NodeAnswers<T> readFromAllNodes(const ToolContext &context, const AdminClient &client, const std::string &path)
{
    NodeAnswers<T> answers;
    for (const Endpoint &node : client.nodes()) {
        const Result<T> value = client.forNode(node).read<T>(path);
        if (value) {
            answers.values.push_back(value.value());
        } else {
            answers.firstError = answers.firstError.value_or(value.error());
            context.environment.err << "Node " << node.text() << ": " << value.error().text() << "\n";
        }
    }
    return answers;
}

// Writes the values as a JSON array.
template<class T>
void writeJsonList(std::ostream &out, const std::vector<T> &values)
{
    std::string separator = "[";
    for (const T &value : values) {
        out << separator << formatAdminValue(value);
        separator = ",";
    }
    out << "]\n";
}

ExitStatus showStatus(const ToolContext &context)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const auto answers = readFromAllNodes<NodeStatus>(context, client.value(), "/v1/status");
    if (context.wantsJson()) {
        writeJsonList(context.environment.out, answers.values);
    } else {
        context.environment.out << renderStatus(answers.values);
    }
    return answers.exitStatus(context);
}

ExitStatus showRefusals(const ToolContext &context, const NodeOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    httplib::Params parameters = {{"limit", std::to_string(options.limit)}};
    if (!options.request.empty()) {
        parameters.emplace("request", options.request);
    }
    if (!options.kind.empty()) {
        parameters.emplace("kind", options.kind);
    }
    const std::string path = httplib::append_query_params("/v1/refusals", parameters);
    const auto answers = readFromAllNodes<RefusalList>(context, client.value(), path);
    if (context.wantsJson()) {
        writeJsonList(context.environment.out, answers.values);
    } else if (!answers.values.empty()) {
        context.environment.out << renderRefusals(answers.values);
    }
    return answers.exitStatus(context);
}

ExitStatus changeDrain(const ToolContext &context, const NodeOptions &options, const std::string &path)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    // With several addresses, AdminClient would fall back to a node other than the one to drain.
    if (client.value().nodes().size() != 1) {
        return context.reportError(makeError(ErrorKind::InvalidArgument,
                                             "This command applies to a single node, but several addresses are given.",
                                             "Pass --node once, with the address of " + options.node + "."));
    }
    const DrainRequest request{NodeName(options.node), context.authorName(), options.note};
    const auto state = client.value().change<DrainState>(path, request);
    if (!state) {
        return context.reportError(state.error());
    }
    context.printResult(state.value(), renderDrainState);
    return ExitStatus::Success;
}

CLI::App *addDrainCommand(CLI::App &app,
                          ToolContext &context,
                          const std::shared_ptr<NodeOptions> &options,
                          const std::string &name,
                          const std::string &help)
{
    CLI::App *command = app.add_subcommand(name, help);
    command->add_option("name", options->node, "Name of the node; must match the node at the address")->required();
    command->add_option("--note", options->note, "Reason for the change");
    command->footer("Example:\n  vanillatack --node 10.0.0.7:7482 " + name + " a-certdesk-2 --note \"kernel update\"");
    command->callback([&context, options, name] {
        context.command = [&context, options, name] {
            return changeDrain(context, *options, "/v1/" + name);
        };
    });
    return command;
}

} // namespace

void addNodeCommands(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<NodeOptions>();
    CLI::App *why = app.add_subcommand("why", "Show recent refusals recorded by the given nodes, with their reasons");
    why->add_option("request", options->request, "ID of the root request, as in the answer to the caller");
    why->add_option("--kind", options->kind, "Show only refusals of this kind, such as overloaded or rate-exceeded");
    why->add_option("--limit", options->limit, "Maximum number of refusals per node")->check(CLI::Range(1, 1000));
    why->footer(
        "Examples:\n  vanillatack why 8f3a0c66d1e2b47790aa51c3be02d914\n  vanillatack why --kind overloaded --limit 5\n"
        "A refusal is recorded only by the node that refused; the command queries all nodes given by --node.");
    why->callback([&context, options] {
        context.command = [&context, options] {
            return showRefusals(context, *options);
        };
    });

    addDrainCommand(
        app, context, options, "drain", "Drain a node: it accepts no new work, also after its upstream restarts");
    addDrainCommand(app, context, options, "undrain", "End the drain of a node");

    CLI::App *status = app.add_subcommand("status", "Show the state of each given node");
    status->footer("Example:\n  vanillatack --node 10.0.0.7:7482 status");
    status->callback([&context] {
        context.command = [&context] {
            return showStatus(context);
        };
    });
}

} // namespace vanillatack
