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

/// Decisions of a node that explain a later one about a request.
const std::set<std::string> Background = {"config.applied",
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
    double time = 0; ///< Of the node's steady clock, in seconds.
    std::string node;
    std::string decision;
    std::map<std::string, std::string> fields;
    std::string text;
};

/// Value of a field, up to the next space or the closing quote.
std::string readValue(const std::string &line, std::size_t &at)
{
    if (at < line.size() && line[at] == '"') {
        const std::size_t end = line.find('"', at + 1);
        const std::string value = line.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        at = end == std::string::npos ? line.size() : end + 1;
        return value;
    }
    const std::size_t end = std::min(line.find(' ', at), line.size());
    const std::string value = line.substr(at, end - at);
    at = end;
    return value;
}

/// Reads "... t=1.5 node=n decision=d name=value ...". Anything before it, such as a collector's prefix, is dropped.
std::optional<DecisionLine> parseDecision(const std::string &line)
{
    const std::size_t node = line.find(" node=");
    const std::size_t start = node == std::string::npos ? node : line.rfind("t=", node);
    if (start == std::string::npos || line.find(" decision=", node) == std::string::npos) {
        return std::nullopt;
    }
    DecisionLine result;
    result.text = line.substr(start);
    std::size_t at = start;
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos) {
            break;
        }
        const std::string name = line.substr(at, equals - at);
        at = equals + 1;
        result.fields[name] = readValue(line, at);
        at = std::min(at + 1, line.size());
    }
    result.node = result.fields["node"];
    result.decision = result.fields["decision"];
    if (!absl::SimpleAtod(result.fields["t"], &result.time) || result.decision.empty()) {
        return std::nullopt;
    }
    return result;
}

struct CollectedLines {
    std::vector<DecisionLine> lines;
    std::size_t skipped = 0; ///< Lines that are no decisions, or are cut off.
};

void collect(std::istream &in, CollectedLines &collected)
{
    for (std::string line; std::getline(in, line);) {
        if (auto decision = parseDecision(line)) {
            collected.lines.push_back(std::move(*decision));
        } else if (!absl::StripAsciiWhitespace(line).empty()) {
            ++collected.skipped;
        }
    }
}

/// The last decision of each background kind on the same node before the line; of routes and instances, those that the
/// line names.
std::vector<const DecisionLine *> backgroundOf(const DecisionLine &line, const CollectedLines &collected)
{
    std::map<std::string, const DecisionLine *> latest;
    for (const DecisionLine &other : collected.lines) {
        const bool sameRoute =
            other.decision != "entrance.share" || other.fields.at("route") == line.fields.at("route");
        if (other.node != line.node || other.time > line.time || !Background.contains(other.decision) || !sameRoute) {
            continue;
        }
        const DecisionLine *&known = latest[other.decision];
        if (known == nullptr || known->time <= other.time) {
            known = &other;
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
    CollectedLines collected;
    for (const std::string &path : options.files) {
        std::ifstream file(path);
        if (!file) {
            return context.fail(makeError(ErrorKind::InvalidArgument,
                                          "The log " + path + " cannot be read.",
                                          "Name readable files after --logs."));
        }
        collect(file, collected);
    }
    if (options.files.empty()) {
        collect(context.environment.in, collected);
    }
    if (collected.skipped > 0) {
        context.environment.err << collected.skipped << " lines are no decisions or are cut off, and were skipped.\n";
    }
    std::size_t found = 0;
    for (DecisionLine &line : collected.lines) {
        const auto id = line.fields.find("id");
        if (id == line.fields.end() || id->second != options.request) {
            continue;
        }
        ++found;
        line.fields.try_emplace("route");
        context.environment.out << line.text << '\n';
        for (const DecisionLine *before : backgroundOf(line, collected)) {
            context.environment.out << "    " << absl::StrCat(line.time - before->time) << " s before: " << before->text
                                    << '\n';
        }
    }
    if (found == 0) {
        return context.fail(
            makeError(ErrorKind::NotFound,
                      "No decision names the request " + options.request + ".",
                      "Collect the logs of all nodes; log.left-out tells how many lines were left out."));
    }
    return ExitStatus::Done;
}

} // namespace

void addExplainCommand(CLI::App &app, ToolContext &context)
{
    const auto options = std::make_shared<ExplainOptions>();
    CLI::App *command = app.add_subcommand("explain", "Tell what happened to a request, from collected decision logs");
    command->add_option("request", options->request, "Id of the caller's attempt, or of a call")->required();
    command->add_option("--logs", options->files, "Logs of the nodes; standard input when none is named");
    command->footer("Example:\n  vanillatack explain 0cc168cbbaaedac4 --logs /var/log/vanillatack/*.log");
    command->callback([&context, options] {
        context.command = [&context, options] {
            return explain(context, *options);
        };
    });
}

} // namespace vanillatack
