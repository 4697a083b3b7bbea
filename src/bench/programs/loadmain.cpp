#include "bench/loadgenerator.h"
#include "bench/loadreport.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace vanillatack;

int main(int argc, char **argv)
{
    CLI::App app("Sends requests according to an INI plan and reports goodput, latency and recovery (for benchmarks).");
    std::string file;
    std::string jsonFile;
    app.add_option("plan", file, "INI file with [load], [stream NAME] and [event NAME]")->required();
    app.add_option("--json", jsonFile, "Write the report as JSON to this file as well");
    CLI11_PARSE(app, argc, argv);

    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    std::vector<TextProblem> problems;
    const std::optional<LoadPlan> plan = parseLoadPlan(text.str(), file, problems);
    for (const TextProblem &problem : problems) {
        std::cerr << problem.text() << "\n";
    }
    if (!plan) {
        return 2;
    }
    const LoadReport report = summarize(*plan, runLoad(*plan));
    std::cout << formatReport(report);
    if (!jsonFile.empty()) {
        std::ofstream(jsonFile) << formatReportJson(report);
    }
    return 0;
}
