#include "base/digest.h"
#include "config/fleetconfig.h"
#include "tool/internal/render.h"
#include "tool/internal/toolcontext.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace vanillatack {

namespace {

constexpr int ReadBackAttempts = 3;
constexpr std::chrono::seconds ReadBackInterval(1);

struct ConfigOptions {
    std::string file;
    std::string otherFile;
    std::string note;
    std::optional<std::uint64_t> base;
    bool yes = false;
    int limit = 20;
};

// Reads and validates a file. Prints every problem and returns nullopt if the file is invalid.
std::optional<FleetConfig> readConfig(const ToolContext &context, const std::string &path, std::string &text)
{
    const Result<std::string> read = readFile(path);
    if (!read) {
        context.reportError(read.error());
        return std::nullopt;
    }
    text = read.value();
    ConfigParseResult parse = parseFleetConfig(text, path);
    for (const TextProblem &problem : parse.problems) {
        context.environment.err << problem.text() << "\n";
    }
    return std::move(parse.config);
}

void writeDifference(std::ostream &stream, const std::vector<std::string> &lines)
{
    if (lines.empty()) {
        stream << "No difference in settings.\n";
    }
    for (const std::string &line : lines) {
        stream << line << "\n";
    }
}

// Describes the difference from the configuration in force to another. A configuration in force that this version of
// the tool cannot parse is treated as empty.
std::vector<std::string>
differenceTo(const ToolContext &context, const ConfigDocument &current, const FleetConfig &after)
{
    if (current.version == 0) {
        return describeDifference(FleetConfig{}, after);
    }
    const ConfigParseResult before = parseFleetConfig(current.text, absl::StrCat("version ", current.version));
    if (!before.config) {
        context.environment.err
            << "This version of the tool cannot parse the configuration in force; all settings are shown as added.\n";
    }
    return describeDifference(before.config.value_or(FleetConfig{}), after);
}

ExitStatus showConfig(const ToolContext &context)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const auto document = client.value().read<ConfigDocument>("/v1/config");
    if (!document) {
        return context.reportError(document.error());
    }
    // The text is printed verbatim, so that it can be edited and applied again.
    context.printResult(document.value(), [](const ConfigDocument &value) {
        return value.text;
    });
    if (!context.wantsJson()) {
        context.environment.err << "Version " << document.value().version << ", digest " << document.value().digest
                                << "\n";
    }
    return ExitStatus::Success;
}

ExitStatus validateConfig(const ToolContext &context, const ConfigOptions &options)
{
    std::string text;
    const std::optional<FleetConfig> config = readConfig(context, options.file, text);
    if (!config) {
        return ExitStatus::Usage;
    }
    context.environment.out << options.file << " is valid: " << config->zones.size() << " zones, "
                            << config->services.size() << " services, " << config->routes.size() << " routes, "
                            << config->workspaces.size() << " workspaces, " << config->exceptions.size()
                            << " exceptions.\n";
    return ExitStatus::Success;
}

ExitStatus diffConfig(const ToolContext &context, const ConfigOptions &options)
{
    std::string text;
    const std::optional<FleetConfig> config = readConfig(context, options.file, text);
    if (!config) {
        return ExitStatus::Usage;
    }
    std::vector<std::string> lines;
    if (!options.otherFile.empty()) {
        const std::optional<FleetConfig> other = readConfig(context, options.otherFile, text);
        if (!other) {
            return ExitStatus::Usage;
        }
        lines = describeDifference(*config, *other);
    } else {
        const Result<AdminClient> client = context.client();
        if (!client) {
            return context.reportError(client.error());
        }
        const auto current = client.value().read<ConfigDocument>("/v1/config");
        if (!current) {
            return context.reportError(current.error());
        }
        lines = differenceTo(context, current.value(), *config);
    }
    if (context.wantsJson()) {
        context.environment.out << nlohmann::json{{"difference", lines}}.dump() << "\n";
    } else {
        writeDifference(context.environment.out, lines);
    }
    return ExitStatus::Success;
}

bool confirm(const ToolContext &context)
{
    context.environment.err << "Apply? Type yes: " << std::flush;
    std::string answer;
    std::getline(context.environment.in, answer);
    return answer == "yes";
}

// Determines the outcome of a change that got no answer; returns the given error if it is still unknown. Only one
// change can become the version after the base, so a different digest at that version means that this change was not
// applied and never will be.
Result<ConfigApplied> findOutcome(const AdminClient &client, const ConfigChange &change, const Error &unknownOutcome)
{
    const std::string digest = sha256Hex(change.text);
    const std::uint64_t version = change.baseVersion + 1;
    const auto history = client.read<ConfigHistory>("/v1/config/history?limit=1000");
    for (const ConfigHistoryEntry &entry : history ? history.value().entries : std::vector<ConfigHistoryEntry>()) {
        if (entry.version == version && entry.digest == digest) {
            return ConfigApplied{version, digest};
        }
        if (entry.version == version) {
            return makeError(ErrorKind::Conflict,
                             absl::StrCat("Version ", version, " was applied by ", entry.author, "."),
                             "Compare the file with the new version (config diff FILE), then apply it again.");
        }
    }
    const auto current = client.read<ConfigDocument>("/v1/config");
    if (current && current.value().version == version && current.value().text == change.text) {
        return ConfigApplied{version, digest};
    }
    return unknownOutcome;
}

Result<ConfigApplied> findOutcomeWithRetries(const ToolContext &context,
                                             const AdminClient &client,
                                             const ConfigChange &change,
                                             const Error &unknownOutcome)
{
    Result<ConfigApplied> outcome = findOutcome(client, change, unknownOutcome);
    for (int attempt = 1; attempt < ReadBackAttempts && outcome.has_error() && outcome.error() == unknownOutcome;
         ++attempt) {
        context.environment.sleep(ReadBackInterval);
        outcome = findOutcome(client, change, unknownOutcome);
    }
    return outcome;
}

ExitStatus sendConfig(const ToolContext &context, const AdminClient &client, const ConfigChange &change)
{
    Result<ConfigApplied> applied = client.change<ConfigApplied>("/v1/config", change);
    if (!applied && applied.error().kind == ErrorKind::OutcomeUnknown) {
        applied = findOutcomeWithRetries(context, client, change, applied.error());
    }
    if (!applied) {
        return context.reportError(applied.error());
    }
    context.printResult(applied.value(), [](const ConfigApplied &value) {
        return absl::StrCat("Version ", value.version, " is applied, digest ", value.digest, ".\n");
    });
    return ExitStatus::Success;
}

ExitStatus applyConfig(const ToolContext &context, const ConfigOptions &options)
{
    ConfigChange change;
    const std::optional<FleetConfig> config = readConfig(context, options.file, change.text);
    if (!config) {
        return ExitStatus::Usage;
    }
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const auto current = client.value().read<ConfigDocument>("/v1/config");
    if (!current) {
        return context.reportError(current.error());
    }
    change.baseVersion = current.value().version;
    change.author = context.authorName();
    change.note = options.note;
    if (options.base && *options.base != change.baseVersion) {
        return context.reportError(
            makeError(ErrorKind::Conflict,
                      absl::StrCat("Version ", change.baseVersion, " is in force, not ", *options.base, "."),
                      "Compare the file with the new version (config diff FILE), then apply it again."));
    }
    if (current.value().text == change.text) {
        context.environment.err << "Version " << change.baseVersion << " already has this text; nothing to apply.\n";
        return ExitStatus::Success;
    }
    std::ostream &err = context.environment.err;
    err << "Difference to version " << change.baseVersion << ":\n";
    writeDifference(err, differenceTo(context, current.value(), *config));
    if (!options.yes && !confirm(context)) {
        err << "Nothing was applied.\n";
        return ExitStatus::Refused;
    }
    return sendConfig(context, client.value(), change);
}

ExitStatus showHistory(const ToolContext &context, const ConfigOptions &options)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const auto history = client.value().read<ConfigHistory>(absl::StrCat("/v1/config/history?limit=", options.limit));
    if (!history) {
        return context.reportError(history.error());
    }
    context.printResult(history.value(), renderHistory);
    return ExitStatus::Success;
}

} // namespace

void addConfigCommands(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<ConfigOptions>();
    CLI::App *config = app.add_subcommand("config", "Show, validate and change the configuration of the fleet");
    config->require_subcommand(1);

    CLI::App *show = config->add_subcommand("show", "Print the configuration in force");
    show->footer("Example:\n  vanillatack config show > fleet.ini");
    show->callback([&context] {
        context.command = [&context] {
            return showConfig(context);
        };
    });

    CLI::App *validate = config->add_subcommand("validate", "Validate a file without contacting a node");
    validate->add_option("file", options->file, "Configuration file")->required();
    validate->footer("Example:\n  vanillatack config validate examples/cascadia.ini");
    validate->callback([&context, options] {
        context.command = [&context, options] {
            return validateConfig(context, *options);
        };
    });

    CLI::App *diff = config->add_subcommand("diff", "Compare the configuration in force with a file, or two files");
    diff->add_option("file", options->file, "New file, or the old one if a second file is given")->required();
    diff->add_option("other", options->otherFile, "New file to compare with the first, without contacting a node");
    diff->footer("Examples:\n  vanillatack config diff fleet.ini\n  vanillatack config diff old.ini new.ini");
    diff->callback([&context, options] {
        context.command = [&context, options] {
            return diffConfig(context, *options);
        };
    });

    CLI::App *apply = config->add_subcommand("apply", "Apply a file after showing the difference");
    apply->add_option("file", options->file, "Configuration file")->required();
    apply->add_option("--note", options->note, "Reason for the change")->required();
    apply->add_option("--base", options->base, "Fail unless this version is in force");
    apply->add_flag("--yes", options->yes, "Apply without confirmation");
    apply->footer("Examples:\n  vanillatack config apply fleet.ini --note \"raise the rate of mill-district\"\n"
                  "  vanillatack config apply fleet.ini --base 41 --yes --note \"reviewed by ann\"");
    apply->callback([&context, options] {
        context.command = [&context, options] {
            return applyConfig(context, *options);
        };
    });

    CLI::App *history = config->add_subcommand("history", "List earlier versions, newest first");
    history->add_option("--limit", options->limit, "Number of versions")->check(CLI::Range(1, 1000));
    history->footer("Example:\n  vanillatack config history --limit 5");
    history->callback([&context, options] {
        context.command = [&context, options] {
            return showHistory(context, *options);
        };
    });
}

} // namespace vanillatack
