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

/// Answers of all nodes that were given; the others are written as notes.
template<class T>
struct Answers {
    std::vector<T> values;
    std::optional<Error> firstError;

    [[nodiscard]] ExitStatus status(const ToolContext &context) const
    {
        if (values.empty()) {
            return context.fail(*firstError);
        }
        return firstError ? ExitStatus::Partly : ExitStatus::Done;
    }
};

template<class T>
Answers<T> readAll(const ToolContext &context, const AdminClient &client, const std::string &path)
{
    Answers<T> answers;
    for (const Endpoint &node : client.nodes()) {
        const Result<T> value = client.only(node).read<T>(path);
        if (value) {
            answers.values.push_back(value.value());
        } else {
            answers.firstError = answers.firstError.value_or(value.error());
            context.environment.err << "Node " << node.text() << ": " << value.error().text() << "\n";
        }
    }
    return answers;
}

// One JSON list of the answers.
template<class T>
void writeJson(std::ostream &out, const std::vector<T> &values)
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
        return context.fail(client.error());
    }
    const auto answers = readAll<NodeStatus>(context, client.value(), "/v1/status");
    if (context.wantsJson()) {
        writeJson(context.environment.out, answers.values);
    } else {
        context.environment.out << renderStatus(answers.values);
    }
    return answers.status(context);
}

ExitStatus showRefusals(const ToolContext &context, const NodeOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    httplib::Params parameters = {{"limit", std::to_string(options.limit)}};
    if (!options.request.empty()) {
        parameters.emplace("request", options.request);
    }
    if (!options.kind.empty()) {
        parameters.emplace("kind", options.kind);
    }
    const std::string path = httplib::append_query_params("/v1/refusals", parameters);
    const auto answers = readAll<RefusalList>(context, client.value(), path);
    if (context.wantsJson()) {
        writeJson(context.environment.out, answers.values);
    } else if (!answers.values.empty()) {
        context.environment.out << renderRefusals(answers.values);
    }
    return answers.status(context);
}

ExitStatus changeDrain(const ToolContext &context, const NodeOptions &options, const std::string &path)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    // Trying a second node would ask the wrong one.
    if (client.value().nodes().size() != 1) {
        return context.fail(makeError(ErrorKind::InvalidArgument,
                                      "This command is for one node, but several addresses are given.",
                                      "Pass --node once, with the address of " + options.node + "."));
    }
    const DrainRequest request{NodeName(options.node), context.authorName(), options.note};
    const auto state = client.value().change<DrainState>(path, request);
    if (!state) {
        return context.fail(state.error());
    }
    context.show(state.value(), renderDrainState);
    return ExitStatus::Done;
}

CLI::App *addDrainCommand(CLI::App &app,
                          ToolContext &context,
                          const std::shared_ptr<NodeOptions> &options,
                          const std::string &name,
                          const std::string &help)
{
    CLI::App *command = app.add_subcommand(name, help);
    command->add_option("name", options->node, "Name of the node, as a check of the address")->required();
    command->add_option("--note", options->note, "Why");
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
    CLI::App *why = app.add_subcommand("why", "Tell why requests were refused, from the memory of the given nodes");
    why->add_option("request", options->request, "Id of the root request, as in the refusal's answer");
    why->add_option("--kind", options->kind, "Only refusals of this kind, such as overloaded or rate-exceeded");
    why->add_option("--limit", options->limit, "Number of refusals of each node")->check(CLI::Range(1, 1000));
    why->footer(
        "Examples:\n  vanillatack why 8f3a0c66d1e2b47790aa51c3be02d914\n  vanillatack why --kind overloaded --limit 5\n"
        "A refusal is remembered by the node that refused; all nodes given by --node are asked.");
    why->callback([&context, options] {
        context.command = [&context, options] {
            return showRefusals(context, *options);
        };
    });

    addDrainCommand(app, context, options, "drain", "Let a node take no new work; outlasts restarts of its upstream");
    addDrainCommand(app, context, options, "undrain", "Let a drained node take work again");

    CLI::App *status = app.add_subcommand("status", "Show the state of each given node");
    status->footer("Example:\n  vanillatack --node 10.0.0.7:7482 status");
    status->callback([&context] {
        context.command = [&context] {
            return showStatus(context);
        };
    });
}

} // namespace vanillatack
