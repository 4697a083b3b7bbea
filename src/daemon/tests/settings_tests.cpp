// Before CppUTest, whose macro for new does not allow the placement new in its headers.
#include <nlohmann/json.hpp>

#include "daemon/internal/problem.h"
#include "daemon/settings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr const char *ValidSettings = R"([node]
name = north-a-1
zone = north-a
address = 10.0.1.7
share_slot = 1
seeds = 10.0.1.8:7400, 10.0.2.7:7401
caller_port = 8080
[security]
fleet_secret = 0123456789abcdef
operator_credential = fedcba9876543210
[platform]
address = 10.0.0.9:7300
[limits]
idle_timeout = 5s
max_body_bytes = 2048
[log]
level = warning
)";

} // namespace

TEST_GROUP(Settings)
{
    std::vector<TextProblem> problems;

    bool isReported(int line, const std::string &text) const
    {
        return std::any_of(problems.begin(), problems.end(), [&](const TextProblem &problem) {
            return problem.line == line && problem.message.find(text) != std::string::npos;
        });
    }
};

// Guards against settings that are ignored or parsed wrongly.
TEST(Settings, validSettingsAreParsed)
{
    const auto settings = parseDaemonSettings(ValidSettings, "node.ini", problems);
    CHECK(settings.has_value() && problems.empty());
    CHECK(settings->name == NodeName("north-a-1") && settings->zone == ZoneName("north-a"));
    STRCMP_EQUAL("10.0.1.7", settings->address.c_str());
    STRCMP_EQUAL("127.0.0.1", settings->localAddress.c_str());
    LONGS_EQUAL(1, settings->shareSlot);
    LONGS_EQUAL(8080, settings->callerPort);
    LONGS_EQUAL(7400, settings->nodePort);
    const std::vector<Endpoint> seeds = {{"10.0.1.8", 7400}, {"10.0.2.7", 7401}};
    CHECK(settings->seeds == seeds);
    const Endpoint platform{"10.0.0.9", 7300};
    CHECK(!settings->embeddedPlatform && settings->platform == platform);
    CHECK(settings->idleTimeout == 5s && settings->maxBodyBytes == 2048 && settings->logLevel == LogLevel::Warning);
}

// Guards against problems that are reported one at a time, or without their line and a remedy.
TEST(Settings, everyProblemIsReportedWithLineAndRemedy)
{
    constexpr const char *Text = R"([node]
name = North A
zone = north-a
address = 10.0.1
seeds = 10.0.1.8
caller_port = 70000
admin_port = 7483
colour = red
[security]
fleet_secret = short
[platform]
address = nowhere
[limits]
idle_timeout = soon
[limits]
[extra]
[log]
level = loud
)";
    CHECK(!parseDaemonSettings(Text, "node.ini", problems).has_value());
    CHECK(isReported(2, "North A"));
    CHECK(isReported(4, "10.0.1"));
    CHECK(isReported(5, "10.0.1.8"));
    CHECK(isReported(6, "caller_port"));
    CHECK(isReported(8, "colour"));
    CHECK(isReported(9, "operator_credential"));
    CHECK(isReported(10, "fleet_secret"));
    CHECK(isReported(12, "nowhere"));
    CHECK(isReported(14, "idle_timeout"));
    CHECK(isReported(15, "twice"));
    CHECK(isReported(16, "extra"));
    CHECK(isReported(18, "level"));
    CHECK(isReported(0, "Two ports"));
    for (const TextProblem &problem : problems) {
        STRCMP_EQUAL("node.ini", problem.file.c_str());
        CHECK(!problem.remedy.empty());
    }
}

// Guards against a node that starts with an empty settings file.
TEST(Settings, missingSectionsAreReported)
{
    CHECK(!parseDaemonSettings("", "node.ini", problems).has_value());
    for (const char *section : {"[node]", "[security]", "[platform]"}) {
        CHECK(isReported(0, section));
    }
}

TEST_GROUP(Problem){};

// Guards against a refusal kind that callers see as another one, and against a wrong HTTP status.
TEST(Problem, eachRefusalKindHasItsOwnEntry)
{
    const std::map<RefusalKind, int> statuses = {
        {RefusalKind::MalformedRequest, 400},   {RefusalKind::UnknownRoute, 404},
        {RefusalKind::MissingKey, 401},         {RefusalKind::UnknownKey, 401},
        {RefusalKind::WithdrawnKey, 401},       {RefusalKind::InvalidRequestToken, 403},
        {RefusalKind::RateExceeded, 429},       {RefusalKind::Overloaded, 503},
        {RefusalKind::UpstreamOverloaded, 503}, {RefusalKind::DeadlineExceeded, 504},
        {RefusalKind::NoInstance, 503},         {RefusalKind::Draining, 503},
        {RefusalKind::NotReady, 503},           {RefusalKind::ZoneCutOff, 503},
        {RefusalKind::StoreUnavailable, 503},   {RefusalKind::DuplicateInProgress, 409},
        {RefusalKind::OutcomeUnknown, 409},     {RefusalKind::IdempotencyMismatch, 422},
        {RefusalKind::UpstreamFailed, 502},     {RefusalKind::BadUpstreamReply, 502},
        {RefusalKind::Cancelled, 499},          {RefusalKind::HeadersTooLarge, 431},
        {RefusalKind::BodyTooLarge, 413},       {RefusalKind::RateOwnerSilent, 503},
    };
    std::set<std::string> titles;
    for (const auto &entry : RefusalKindNames.entries()) {
        if (entry.value == RefusalKind::None) {
            continue;
        }
        const HttpResponse response = makeProblem({entry.value, RunState::Unknown, 1500ms}, "root");
        const nlohmann::json body = nlohmann::json::parse(response.body.bytes());
        const std::string kind(entry.name);
        LONGS_EQUAL(statuses.at(entry.value), response.status);
        LONGS_EQUAL(response.status, body.at("status").get<int>());
        STRCMP_EQUAL(kind.c_str(), body.at("kind").get<std::string>().c_str());
        STRCMP_EQUAL("unknown", body.at("run").get<std::string>().c_str());
        CHECK(!body.at("remedy").get<std::string>().empty());
        CHECK(titles.insert(body.at("title").get<std::string>()).second);
        const HttpRequest headers{{}, {}, response.headers, {}};
        STRCMP_EQUAL("application/problem+json", headers.header("Content-Type").c_str());
        STRCMP_EQUAL("2", headers.header("Retry-After").c_str());
        STRCMP_EQUAL("root", headers.header("Vanillatack-Request-Id").c_str());
        CHECK(headers.header("WWW-Authenticate").empty() == (response.status != 401));
    }
    LONGS_EQUAL(statuses.size(), titles.size());
}

// Guards against a request that gets no problem document because its id is not UTF-8.
TEST(Problem, anUnreadableRequestIdIsReplaced)
{
    const HttpResponse response = makeProblem({RefusalKind::Overloaded, RunState::NotRun, 1s}, "a\xff");
    CHECK(!nlohmann::json::parse(response.body.bytes(), nullptr, false).is_discarded());
}

// Guards against a Retry-After header where a retry does not help, and against unreadable requests without a response.
TEST(Problem, unreadableRequestsAndUnknownRoutesHaveNoRetryAfter)
{
    const HttpResponse refusal = makeProblem({RefusalKind::UnknownRoute, RunState::NotRun, Duration::zero()}, {});
    const HttpRequest headers{{}, {}, refusal.headers, {}};
    CHECK(headers.header("Retry-After").empty() && headers.header("Vanillatack-Request-Id").empty());
    LONGS_EQUAL(400, makeUnreadableRequestProblem(400).status);
    LONGS_EQUAL(413, makeUnreadableRequestProblem(413).status);
    LONGS_EQUAL(431, makeUnreadableRequestProblem(414).status);
    LONGS_EQUAL(431, makeUnreadableRequestProblem(431).status);
    CHECK(makeUnreadableRequestProblem(400).body.bytes().find("\"not-run\"") != std::string::npos);
}
