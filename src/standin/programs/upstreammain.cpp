#include "base/inidocument.h"
#include "base/text.h"
#include "standin/upstreaminstance.h"

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace vanillatack;

namespace {

struct Plan {
    std::map<std::string, StandinService> services;
    std::vector<StandinInstance> instances;
    DirectMode direct;
};

Endpoint toEndpoint(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    int port = 0;
    if (parts.size() == 2 && absl::SimpleAtoi(parts[1], &port)) {
        return {parts[0], static_cast<std::uint16_t>(port)};
    }
    return {};
}

void readService(IniSectionReader &reader, const std::string &name, Plan &plan)
{
    StandinService service;
    service.name = name;
    reader.readInteger("slots", service.slots, 1, 100000);
    reader.readDuration("time", service.workTime, Duration::zero(), std::chrono::seconds(10));
    std::vector<std::string> calls;
    reader.readList("calls", calls);
    for (const std::string &call : calls) {
        const std::vector<std::string> parts = absl::StrSplit(call, ' ');
        service.calls.push_back({parts[0], parts.size() > 1 ? parts[1] : "/", parts[0] == "GET"});
    }
    plan.services[name] = service;
}

void readInstance(IniSectionReader &reader, const std::string &name, Plan &plan)
{
    StandinInstance instance;
    std::string listen;
    std::string node;
    instance.name = name;
    reader.readString("service", instance.service);
    reader.readString("listen", listen);
    reader.readString("node", node);
    instance.listen = toEndpoint(listen);
    instance.node = toEndpoint(node);
    plan.instances.push_back(instance);
}

void readDirect(IniSectionReader &reader, const IniSection &section, Plan &plan)
{
    plan.direct.enabled = true;
    for (const IniEntry &entry : section.entries) {
        std::vector<std::string> targets;
        reader.readList(entry.name, targets);
        for (const std::string &target : targets) {
            plan.direct.targets[entry.name].push_back(toEndpoint(target));
        }
    }
}

bool readPlan(const std::string &file, Plan &plan)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    std::vector<TextProblem> problems;
    const IniDocument document = IniDocument::parse(text.str(), file, problems);
    for (const IniSection &section : document.sections()) {
        IniSectionReader reader(document, section, problems);
        if (section.kind == "service") {
            readService(reader, section.name, plan);
        } else if (section.kind == "instance") {
            readInstance(reader, section.name, plan);
        } else if (section.kind == "direct") {
            readDirect(reader, section, plan);
        }
        reader.reportUnknown();
    }
    for (const TextProblem &problem : problems) {
        std::cerr << problem.text() << "\n";
    }
    return problems.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs stand-in upstream instances for demos and benchmarks (not for production).");
    std::string file;
    app.add_option("plan", file, "INI file with [service NAME], [instance NAME] and optionally [direct]")->required();
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Plan plan;
    if (!readPlan(file, plan)) {
        return 2;
    }
    OperationLog operations;
    std::vector<std::unique_ptr<UpstreamInstance>> instances;
    for (const StandinInstance &instance : plan.instances) {
        const StandinService &service = plan.services[instance.service];
        instances.push_back(std::make_unique<UpstreamInstance>(instance, service, plan.direct, operations));
        const Result<void> started = instances.back()->start();
        if (!started) {
            std::cerr << started.error().text() << "\n";
            return 1;
        }
    }
    std::cout << "Running " << instances.size() << " stand-in instances." << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
