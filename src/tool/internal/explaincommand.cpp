#include "tool/internal/toolcontext.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace vanillatack {

namespace {

/// Kinds of decisions that are not about a request but explain later decisions of the same node.
const std::set<std::string> ContextDecisions = {"config.applied",
                                                "entrance.share",
                                                "instance.announced",
                                                "instance.withdrawn",
                                                "log.left-out",
                                                "node.reload",
                                                "node.start",
                                                "node.stopping",
                                                "store.lost",
                                                "store.regained"};

struct DecisionLine {
    double time = 0; ///< Time on the node's steady clock in seconds.
    std::string node;
    std::string decision;
    std::map<std::string, std::string> fields;
    std::string text;
};

/// Reads the value of a field, which ends at the next space or at the closing quote, and advances the position past it.
std::string readValue(const std::string &line, std::size_t &position)
{
    if (position < line.size() && line[position] == '"') {
        const std::size_t end = line.find('"', position + 1);
        const std::string value = line.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        position = end == std::string::npos ? line.size() : end + 1;
        return value;
    }
    const std::size_t end = std::min(line.find(' ', position), line.size());
    const std::string value = line.substr(position, end - position);
    position = end;
    return value;
}

/// Parses a line that DecisionLog (src/proxy) wrote: "... t=1.5 node=n decision=d name=value ...". Ignores any prefix,
/// such as one added by a log collector.
std::optional<DecisionLine> parseDecision(const std::string &line)
{
    const std::size_t node = line.find(" node=");
    const std::size_t start = node == std::string::npos ? node : line.rfind("t=", node);
    if (start == std::string::npos || line.find(" decision=", node) == std::string::npos) {
        return std::nullopt;
    }
    DecisionLine result;
    result.text = line.substr(start);
    std::size_t position = start;
    while (position < line.size()) {
        const std::size_t equals = line.find('=', position);
        if (equals == std::string::npos) {
            break;
        }
        const std::string name = line.substr(position, equals - position);
        position = equals + 1;
        result.fields[name] = readValue(line, position);
        position = std::min(position + 1, line.size());
    }
    result.node = result.fields["node"];
    result.decision = result.fields["decision"];
    if (!absl::SimpleAtod(result.fields["t"], &result.time) || result.decision.empty()) {
        return std::nullopt;
    }
    return result;
}

struct ParsedLog {
    std::vector<DecisionLine> lines;
    std::size_t skipped = 0; ///< Number of lines that are not decisions or are truncated.
};

void parseLog(std::istream &in, ParsedLog &parsed)
{
    for (std::string line; std::getline(in, line);) {
        if (auto decision = parseDecision(line)) {
            parsed.lines.push_back(std::move(*decision));
        } else if (!absl::StripAsciiWhitespace(line).empty()) {
            ++parsed.skipped;
        }
    }
}

/// Returns the latest preceding decision of each context kind on the same node, ordered by time. Decisions
/// "entrance.share" count only if they are about the route of the line.
std::vector<const DecisionLine *> precedingContext(const DecisionLine &line, const ParsedLog &parsed)
{
    std::map<std::string, const DecisionLine *> latest;
    for (const DecisionLine &other : parsed.lines) {
        const bool sameRoute =
            other.decision != "entrance.share" || other.fields.at("route") == line.fields.at("route");
        if (other.node != line.node || other.time > line.time || !ContextDecisions.contains(other.decision)
            || !sameRoute) {
            continue;
        }
        const DecisionLine *&latestOfKind = latest[other.decision];
        if (latestOfKind == nullptr || latestOfKind->time <= other.time) {
            latestOfKind = &other;
        }
    }
    std::vector<const DecisionLine *> result;
    for (const auto &[decision, item] : latest) {
        result.push_back(item);
    }
    std::sort(result.begin(), result.end(), [](const DecisionLine *a, const DecisionLine *b) {
        return a->time < b->time;
    });
    return result;
}

struct ExplainOptions {
    std::string request;
    std::vector<std::string> files;
};

ExitStatus explain(const ToolContext &context, const ExplainOptions &options)
{
    ParsedLog parsed;
    for (const std::string &path : options.files) {
        std::ifstream file(path);
        if (!file) {
            return context.reportError(makeError(ErrorKind::InvalidArgument,
                                                 "The log file " + path + " cannot be read.",
                                                 "Pass readable files with --logs."));
        }
        parseLog(file, parsed);
    }
    if (options.files.empty()) {
        parseLog(context.environment.in, parsed);
    }
    if (parsed.skipped > 0) {
        context.environment.err << parsed.skipped << " lines are not decisions or are truncated, and were skipped.\n";
    }
    std::size_t found = 0;
    for (DecisionLine &line : parsed.lines) {
        const auto id = line.fields.find("id");
        if (id == line.fields.end() || id->second != options.request) {
            continue;
        }
        ++found;
        line.fields.try_emplace("route");
        context.environment.out << line.text << '\n';
        for (const DecisionLine *preceding : precedingContext(line, parsed)) {
            context.environment.out << "    " << absl::StrCat(line.time - preceding->time)
                                    << " s before: " << preceding->text << '\n';
        }
    }
    if (found == 0) {
        return context.reportError(
            makeError(ErrorKind::NotFound,
                      "No decision found for the request " + options.request + ".",
                      "Collect the logs of all nodes; log.left-out gives the number of omitted lines."));
    }
    return ExitStatus::Success;
}

} // namespace

void addExplainCommand(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<ExplainOptions>();
    CLI::App *command =
        app.add_subcommand("explain", "Show the decisions about a request, from collected decision logs");
    command->add_option("request", options->request, "ID of an attempt of an outside caller, or of an inner call")
        ->required();
    command->add_option("--logs", options->files, "Log files of the nodes; standard input if omitted");
    command->footer("Example:\n  vanillatack explain 0cc168cbbaaedac4 --logs /var/log/vanillatack/*.log");
    command->callback([&context, options] {
        context.command = [&context, options] {
            return explain(context, *options);
        };
    });
}

} // namespace vanillatack
