#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "statechart/builtincharts.h"

#include <CLI/CLI.hpp>
#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace vanillatack;

namespace {

constexpr int ExitInvalid = 2;
constexpr int ExitFailed = 1;

/// Raises the soft limit to the hard limit. Each connection needs a descriptor, and the usual soft limit of 1,024 is
/// below the number of connections of a node.
void raiseDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

std::optional<DaemonSettings> readSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": The file cannot be read. Check the path and its permissions.\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << stream.rdbuf();
    std::vector<TextProblem> problems;
    auto settings = parseDaemonSettings(text.str(), file, problems);
    for (const TextProblem &problem : problems) {
        std::cerr << problem.text() << "\n";
    }
    return settings;
}

sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Overload control for the upstream on this VM.\n\n"
                 "Example: vanillatackd /etc/vanillatack/vanillatackd.ini\n"
                 "SIGTERM starts a graceful shutdown.");
    std::string file;
    bool checkOnly = false;
    app.add_option("settings", file, "Settings file (INI); see docs/settings.md")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    app.set_version_flag("--version", VANILLATACK_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : ExitInvalid;
    }
    const std::optional<DaemonSettings> settings = readSettings(file);
    if (!settings) {
        return ExitInvalid;
    }
    const BuiltInCharts charts = loadBuiltInCharts();
    for (const TextProblem &problem : charts.problems) {
        std::cerr << problem.text() << "\n";
    }
    if (!charts.problems.empty()) {
        return ExitInvalid;
    }
    if (checkOnly) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    startLogging(settings->logLevel);
    raiseDescriptorLimit();
    // Before the first thread starts, so that all threads inherit the signal mask.
    const sigset_t signals = blockTerminationSignals();
    std::signal(SIGPIPE, SIG_IGN);
    const std::unique_ptr<IDaemon> daemon = makeDaemon(*settings, charts.charts.at("upstream"));
    const Result<void> started = daemon->start();
    if (!started) {
        std::cerr << started.error().text() << "\n"; // Also with the log off.
        return ExitFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    daemon->shutDown();
    flushLogging();
    return 0;
}
