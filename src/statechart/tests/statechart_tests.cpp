#include "base/random.h"
#include "statechart/builtincharts.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

namespace {

const std::string Door = "[chart door]\ninitial = closed\nevents = push, pull\nactions = ring\n"
                         "[state closed]\npush = open / ring\n[state open]\npull = closed\n";

std::vector<TextProblem> problemsOf(const std::string &text)
{
    std::vector<TextProblem> problems;
    const auto chart = StateChart::parse(text, "a.chart", problems);
    CHECK_EQUAL(problems.empty(), chart.has_value());
    return problems;
}

} // namespace

TEST_GROUP(StateChart){};

// Guards against an instance whose transitions or actions differ from the chart file.
TEST(StateChart, instanceFollowsTheFile)
{
    std::vector<TextProblem> problems;
    const auto chart = StateChart::parse(Door, "a.chart", problems);
    ChartInstance instance(*chart);
    STRCMP_EQUAL("", instance.handle("pull").c_str());
    STRCMP_EQUAL("closed", instance.state().c_str());
    STRCMP_EQUAL("ring", instance.handle("push").c_str());
    STRCMP_EQUAL("open", instance.state().c_str());
    STRCMP_EQUAL("", instance.handle("pull").c_str());
    STRCMP_EQUAL("closed", instance.state().c_str());
}

// Guards against a chart that silently ignores an event because a name is misspelt.
TEST(StateChart, everyProblemIsReported)
{
    const auto problems = problemsOf("[chart door]\ninitial = closed\nevents = push, pull, push\nactions = ring, sing\n"
                                     "[state closed]\npush = opened / rings\npsh = closed\n"
                                     "[state island]\npush = closed /\n[state closed]\n[other]\n");
    std::string all;
    for (const TextProblem &problem : problems) {
        all += problem.text() + "\n";
    }
    for (const char *expected : {"a.chart:3: push is listed twice.",
                                 "a.chart:6: Action \"rings\" is not declared.",
                                 "a.chart:6: State \"opened\" is not defined.",
                                 "a.chart:7: Event psh is not declared.",
                                 "a.chart:8: State island cannot be reached",
                                 "a.chart:9: Action \"\" is not declared.",
                                 "a.chart:10: State closed is defined twice.",
                                 "a.chart:11: Section kind \"other\" is unknown",
                                 "a.chart:1: No transition uses the event pull.",
                                 "a.chart:1: No transition uses the action ring.",
                                 "a.chart:1: No transition uses the action sing."}) {
        STRCMP_CONTAINS(expected, all.c_str());
    }
    LONGS_EQUAL(11, problems.size());
    STRCMP_CONTAINS("set twice", problemsOf(Door + "pull = open\n")[0].text().c_str());
    CHECK(!problemsOf("").empty());
    CHECK(!problemsOf("[chart x]\ninitial = none\nevents = e\n").empty());
}

TEST_GROUP(UpstreamChart)
{
    BuiltInCharts builtIn = loadBuiltInCharts();

    // Returns the state of a new instance after the events.
    std::string stateAfter(const std::vector<std::string> &events)
    {
        ChartInstance instance(builtIn.charts.at("upstream"));
        for (const std::string &event : events) {
            instance.handle(event);
        }
        return instance.state();
    }
};

// Guards against an invalid chart file, with which a program cannot start.
TEST(UpstreamChart, builtInChartsAreValid)
{
    LONGS_EQUAL(0, builtIn.problems.size());
    CHECK(builtIn.charts.contains("upstream"));
}

// Guards against an instance that stays draining after a quick restart of the upstream.
TEST(UpstreamChart, successorEndsTheDrainOfTheUpstream)
{
    STRCMP_EQUAL("draining", stateAfter({"announced-ready", "announced-draining"}).c_str());
    STRCMP_EQUAL("cold", stateAfter({"announced-ready", "announced-draining", "announced-cold"}).c_str());
    STRCMP_EQUAL("gone", stateAfter({"announced-ready", "announced-draining", "silent"}).c_str());
}

// Guards against announcements of the upstream, sent once per second, that end a drain by the operator. Random event
// sequences check that after operator-drain only operator-undrain changes the state.
TEST(UpstreamChart, onlyTheOperatorEndsTheOperatorDrain)
{
    SeededRandom random(11);
    const StateChart &chart = builtIn.charts.at("upstream");
    ChartInstance instance(chart);
    bool operatorDrained = false;
    for (int step = 0; step < 20'000; ++step) {
        const std::string &event = chart.events()[random.below(chart.events().size())];
        instance.handle(event);
        operatorDrained = event == "operator-drain" || (operatorDrained && event != "operator-undrain");
        CHECK_EQUAL(operatorDrained, instance.state() == "operator-draining");
    }
}
