#include "tool/tool.h"

#include "base/text.h"
#include "tool/internal/toolcontext.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace vanillatack {

namespace {

constexpr const char *Footer = R"(Exit statuses:
  0  done
  2  wrong arguments or an invalid file
  3  refused, e.g. a conflict or a wrong credential; nothing was changed
  4  no node or the platform could be reached; nothing was changed
  5  partly done: some availability zones or nodes could not be reached
  6  outcome unknown: look at the state before you repeat the change

Environment:
  VANILLATACK_CREDENTIAL  operator credential, when --credential-file is not given
  VANILLATACK_NODES       admin ports of nodes, separated by commas, when --node is not given

Example:
  vanillatack --node 10.0.0.7:7482 --node 10.0.1.7:7482 fleet)";

void addCommonOptions(CLI::App &app, ToolContext &context)
{
    app.add_option("--node", context.nodes, "Admin port of a node as ADDRESS:PORT; the next is tried when one fails")
        ->take_all()
        ->allow_extra_args(false);
    app.add_option("--credential-file", context.credentialFile, "File with the operator credential");
    app.add_option("--output", context.output, "Format of the result")->check(CLI::IsMember({"table", "json"}));
    app.add_option("--author", context.author, "Who makes a change; your login name when not given");
}

} // namespace

ExitStatus exitStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
    case ErrorKind::InvalidConfiguration:
    case ErrorKind::InvalidMessage:
    case ErrorKind::InvalidArgument:
        return ExitStatus::Usage;
    case ErrorKind::Unavailable:
    case ErrorKind::Timeout:
        return ExitStatus::Unreachable;
    case ErrorKind::OutcomeUnknown:
        return ExitStatus::Unknown;
    case ErrorKind::NotFound:
    case ErrorKind::Conflict:
    case ErrorKind::Unauthorized:
    case ErrorKind::LimitExceeded:
    case ErrorKind::Internal:
        break;
    }
    return ExitStatus::Refused;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    if (!file || text.fail()) {
        return makeError(
            ErrorKind::InvalidArgument, "The file " + path + " cannot be read.", "Check its name and rights.");
    }
    return text.str();
}

Result<AdminClient> ToolContext::client() const
{
    std::vector<std::string> texts = nodes;
    if (texts.empty()) {
        texts = absl::StrSplit(environment.variable("VANILLATACK_NODES"), ',', absl::SkipWhitespace());
    }
    if (texts.empty()) {
        return makeError(
            ErrorKind::InvalidArgument, "No node is given.", "Pass --node ADDRESS:PORT or set VANILLATACK_NODES.");
    }
    std::vector<Endpoint> endpoints;
    for (const std::string &text : texts) {
        const Result<Endpoint> endpoint = parseNodeAddress(std::string(absl::StripAsciiWhitespace(text)));
        if (!endpoint) {
            return endpoint.error();
        }
        endpoints.push_back(endpoint.value());
    }
    std::string credential = environment.variable("VANILLATACK_CREDENTIAL");
    if (!credentialFile.empty()) {
        const Result<std::string> text = readFile(credentialFile);
        if (!text) {
            return text.error();
        }
        credential = text.value();
    }
    credential = std::string(absl::StripAsciiWhitespace(credential));
    // Other characters would end or split the header.
    if (credential.empty() || !std::all_of(credential.begin(), credential.end(), absl::ascii_isgraph)) {
        return makeError(ErrorKind::InvalidArgument,
                         "The operator credential is missing, or holds spaces or control characters.",
                         "Pass --credential-file FILE or set VANILLATACK_CREDENTIAL.");
    }
    return AdminClient(std::move(endpoints), std::move(credential));
}

std::string ToolContext::authorName() const
{
    if (!author.empty()) {
        return author;
    }
    const std::string user = environment.variable("USER");
    return user.empty() ? environment.variable("LOGNAME") : user;
}

ExitStatus ToolContext::fail(const Error &error) const
{
    environment.err << "vanillatack: " << error.text() << "\n";
    return exitStatusOf(error.kind);
}

int runTool(const std::vector<std::string> &arguments, const ToolEnvironment &environment)
{
    ToolContext context{environment, {}, {}, "table", {}, {}};
    CLI::App app("Command-line tool of vanillatack, the overload control layer.", "vanillatack");
    app.footer(Footer);
    app.require_subcommand(1);
    app.fallthrough(); // Common options may also stand behind the command.
    addCommonOptions(app, context);
    addConfigCommands(app, context);
    addFleetCommands(app, context);
    addKeyCommands(app, context);
    addNodeCommands(app, context);
    addExplainCommand(app, context);
    addReportCommand(app, context);
    try {
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError &error) {
        const bool isHelp = app.exit(error, environment.out, environment.err) == 0;
        return static_cast<int>(isHelp ? ExitStatus::Done : ExitStatus::Usage);
    }
    const ExitStatus status = context.command();
    environment.out.flush();
    return static_cast<int>(status);
}

} // namespace vanillatack
