#include "tool/internal/render.h"
#include "tool/internal/toolcontext.h"

namespace vanillatack {

namespace {

struct KeyOptions {
    std::string workspace;
    std::string note;
    std::string id;
};

ExitStatus listKeys(const ToolContext &context)
{
    const Result<AdminClient> client = context.client();
    const auto keys = client ? client.value().read<KeyList>("/v1/keys") : Result<KeyList>(client.error());
    if (!keys) {
        return context.reportError(keys.error());
    }
    context.printResult(keys.value(), renderKeys);
    return ExitStatus::Success;
}

ExitStatus grantKey(const ToolContext &context, const KeyOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const KeyGrantRequest request{WorkspaceName(options.workspace), context.authorName(), options.note};
    const auto grant = client.value().change<KeyGrant>("/v1/keys", request);
    if (!grant) {
        if (grant.error().kind == ErrorKind::OutcomeUnknown) {
            context.environment.err
                << "If the key was granted, \"key list\" shows it with this note. The key itself is "
                   "lost: revoke it and grant another.\n";
        }
        return context.reportError(grant.error());
    }
    context.printResult(grant.value(), renderKeyGrant);
    return ExitStatus::Success;
}

ExitStatus withdrawKey(const ToolContext &context, const KeyOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const KeyWithdrawRequest request{KeyId(options.id), context.authorName()};
    const auto withdrawal = client.value().change<KeyWithdrawal>("/v1/keys/withdraw", request);
    if (!withdrawal) {
        return context.reportError(withdrawal.error());
    }
    context.printResult(withdrawal.value(), renderKeyWithdrawal);
    return isComplete(withdrawal.value()) ? ExitStatus::Success : ExitStatus::Partial;
}

} // namespace

void addKeyCommands(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<KeyOptions>();
    CLI::App *key = app.add_subcommand("key", "List, grant and revoke the keys of callers");
    key->require_subcommand(1);

    CLI::App *list =
        key->add_subcommand("list", "List key IDs with their workspaces; the keys themselves are not stored");
    list->footer("Example:\n  vanillatack key list --output json");
    list->callback([&context] {
        context.command = [&context] {
            return listKeys(context);
        };
    });

    CLI::App *grant =
        key->add_subcommand("grant", "Create a key for a workspace and print it; it cannot be shown again");
    grant->add_option("workspace", options->workspace, "Name of the workspace")->required();
    grant->add_option("--note", options->note, "Holder of the key")->required();
    grant->footer("Example:\n  vanillatack key grant mill-district --note \"field tablet 12\"");
    grant->callback([&context, options] {
        context.command = [&context, options] {
            return grantKey(context, *options);
        };
    });

    CLI::App *withdraw = key->add_subcommand("withdraw", "Revoke a key and show which zones have confirmed");
    withdraw->add_option("id", options->id, "Key ID as shown by key list")->required();
    withdraw->footer("Example:\n  vanillatack key withdraw k-5f0c2d91\n"
                     "The exit status is 5 if a zone or the table has not confirmed. The revocation is still in force "
                     "wherever it was received; the command is safe to retry.");
    withdraw->callback([&context, options] {
        context.command = [&context, options] {
            return withdrawKey(context, *options);
        };
    });
}

} // namespace vanillatack
