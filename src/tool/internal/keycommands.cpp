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
        return context.fail(keys.error());
    }
    context.show(keys.value(), renderKeys);
    return ExitStatus::Done;
}

ExitStatus grantKey(const ToolContext &context, const KeyOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    const KeyGrantRequest request{WorkspaceName(options.workspace), context.authorName(), options.note};
    const auto grant = client.value().change<KeyGrant>("/v1/keys", request);
    if (!grant) {
        if (grant.error().kind == ErrorKind::OutcomeUnknown) {
            context.environment.err << "If the key was granted, it is in \"key list\" with this note and nobody has "
                                       "seen it: revoke it and grant another.\n";
        }
        return context.fail(grant.error());
    }
    context.show(grant.value(), renderKeyGrant);
    return ExitStatus::Done;
}

ExitStatus withdrawKey(const ToolContext &context, const KeyOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    const KeyWithdrawRequest request{KeyId(options.id), context.authorName()};
    const auto withdrawal = client.value().change<KeyWithdrawal>("/v1/keys/withdraw", request);
    if (!withdrawal) {
        return context.fail(withdrawal.error());
    }
    context.show(withdrawal.value(), renderKeyWithdrawal);
    return isComplete(withdrawal.value()) ? ExitStatus::Done : ExitStatus::Partly;
}

} // namespace

void addKeyCommands(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<KeyOptions>();
    CLI::App *key = app.add_subcommand("key", "List, grant and revoke the keys of callers");
    key->require_subcommand(1);

    CLI::App *list = key->add_subcommand("list", "List key ids with their workspaces; keys themselves are not kept");
    list->footer("Example:\n  vanillatack key list --output json");
    list->callback([&context] {
        context.command = [&context] {
            return listKeys(context);
        };
    });

    CLI::App *grant = key->add_subcommand("grant", "Make a key for a workspace and print it this once");
    grant->add_option("workspace", options->workspace, "Name of the workspace")->required();
    grant->add_option("--note", options->note, "Who gets the key")->required();
    grant->footer("Example:\n  vanillatack key grant mill-district --note \"field tablet 12\"");
    grant->callback([&context, options] {
        context.command = [&context, options] {
            return grantKey(context, *options);
        };
    });

    CLI::App *withdraw = key->add_subcommand("withdraw", "Revoke a key and list which zones confirmed");
    withdraw->add_option("id", options->id, "Key id, as in key list")->required();
    withdraw->footer("Example:\n  vanillatack key withdraw k-5f0c2d91\n"
                     "The exit status is 5 when a zone or the table has not confirmed; the revocation holds all the "
                     "same where it arrived, and repeating it is harmless.");
    withdraw->callback([&context, options] {
        context.command = [&context, options] {
            return withdrawKey(context, *options);
        };
    });
}

} // namespace vanillatack
