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
  0  success
  2  invalid arguments or an invalid file
  3  rejected, e.g. a conflict or a wrong credential; nothing was changed
  4  nodes or platform unreachable; nothing was changed
  5  partial result: some availability zones or nodes could not be reached
  6  outcome unknown: check the state before you retry the change

Environment:
  VANILLATACK_CREDENTIAL  operator credential, if --credential-file is not given
  VANILLATACK_NODES       admin ports of nodes, separated by commas, if --node is not given

Example:
  vanillatack --node 10.0.0.7:7482 --node 10.0.1.7:7482 fleet)";

void addCommonOptions(CLI::App &app, ToolContext &context)
{
    app.add_option("--node", context.nodes, "Admin port of a node as ADDRESS:PORT; repeatable, tried in order")
        ->take_all()
        ->allow_extra_args(false);
    app.add_option("--credential-file", context.credentialFile, "File with the operator credential");
    app.add_option("--output", context.output, "Format of the result")->check(CLI::IsMember({"table", "json"}));
    app.add_option("--author", context.author, "Author of a change; defaults to your login name");
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
        return ExitStatus::OutcomeUnknown;
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
            ErrorKind::InvalidArgument, "The file " + path + " cannot be read.", "Check its path and permissions.");
    }
    return text.str();
}

Result<AdminClient> ToolContext::client() const
{
    std::vector<std::string> addresses = nodes;
    if (addresses.empty()) {
        addresses = absl::StrSplit(environment.variable("VANILLATACK_NODES"), ',', absl::SkipWhitespace());
    }
    if (addresses.empty()) {
        return makeError(ErrorKind::InvalidArgument,
                         "No node address is given.",
                         "Pass --node ADDRESS:PORT or set VANILLATACK_NODES.");
    }
    std::vector<Endpoint> endpoints;
    for (const std::string &text : addresses) {
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
    // Spaces and control characters would end or split the HTTP header.
    if (credential.empty() || !std::all_of(credential.begin(), credential.end(), absl::ascii_isgraph)) {
        return makeError(ErrorKind::InvalidArgument,
                         "The operator credential is missing, or contains spaces or control characters.",
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

ExitStatus ToolContext::reportError(const Error &error) const
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
    app.fallthrough(); // Accepts the common options after the command too.
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
        return static_cast<int>(isHelp ? ExitStatus::Success : ExitStatus::Usage);
    }
    const ExitStatus status = context.command();
    environment.out.flush();
    return static_cast<int>(status);
}

} // namespace vanillatack
