#include "base/log.h"
#include "standin/standinplatform.h"

#include <CLI/CLI.hpp>

#include <csignal>

using namespace vanillatack;

namespace {

constexpr Log Logger("standin-platform");

/// Blocks SIGINT and SIGTERM in every thread, so that only waitForTermination() receives them.
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForTermination(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform (table service and object store), for development. Keeps everything in "
                 "memory.");
    StandInPlatformOptions options;
    app.add_option("--address", options.address, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "Port of the platform protocol, 0 for any")->capture_default_str();
    app.add_option("--control-port", options.controlPort, "Port to set faults and read counters, 0 for any")
        ->capture_default_str();
    app.add_option("--threads", options.threads, "Connections handled at once")
        ->capture_default_str()
        ->check(CLI::Range(1, 4096));
    CLI11_PARSE(app, argc, argv);

    startLogging(LogLevel::Info);
    const sigset_t signals = blockTerminationSignals();
    StandInPlatform platform(options);
    const Result<void> started = platform.start();
    if (!started) {
        Logger.error(started.error().text());
        return 1;
    }
    Logger.info("The platform is served from memory.",
                {{"address", options.address},
                 {"port", std::to_string(platform.port())},
                 {"control_port", std::to_string(platform.controlPort())}});
    waitForTermination(signals);
    Logger.info("Stopping.");
    return 0;
}
