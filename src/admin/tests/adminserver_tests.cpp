#include "admin/adminjson.h"
#include "admin/adminserver.h"
#include "admin/tests/fakeadminservice.h"

#include <httplib.h>

#include <thread>

// Included last because it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(AdminServer)
{
    FakeAdminService service;
    AdminServer server{service, "operator-credential"};
    std::uint16_t port = 0;

    void setup() override
    {
        const auto started = server.start({"127.0.0.1", 0});
        CHECK(started.has_value());
        port = started.value();
    }

    httplib::Client client(const std::string &authorization = "Bearer operator-credential")
    {
        httplib::Client result("127.0.0.1", port);
        result.set_default_headers({{"Authorization", authorization}});
        return result;
    }

    // Returns the status of a response, followed by the error kind if there is one.
    std::string outcomeOf(const httplib::Result &reply)
    {
        CHECK(reply);
        const auto problem = parseAdminValue<AdminProblem>(reply->body);
        const std::string kind = problem ? std::string(ErrorKindNames.name(problem.value().error.kind)) : "";
        return std::to_string(reply->status) + (kind.empty() ? "" : " " + kind);
    }
};

// Guards against operations that are reachable without the operator credential.
TEST(AdminServer, wrongCredentialsAreRejectedOnEveryPath)
{
    const std::vector<std::string> paths = {"/v1/config",
                                            "/v1/config/history",
                                            "/v1/workspaces",
                                            "/v1/keys",
                                            "/v1/keys/withdraw",
                                            "/v1/fleet",
                                            "/v1/refusals",
                                            "/v1/drain",
                                            "/v1/undrain",
                                            "/v1/burn",
                                            "/v1/status",
                                            "/",
                                            "/nonsense"};
    for (const char *authorization : {"Bearer wrong",
                                      "Bearer operator-credentia",
                                      "Bearer operator-credential2",
                                      "operator-credential",
                                      "Basic operator-credential",
                                      "Bearer ",
                                      ""}) {
        for (const std::string &path : paths) {
            STRCMP_EQUAL("401 unauthorized", outcomeOf(client(authorization).Get(path)).c_str());
            STRCMP_EQUAL("401 unauthorized",
                         outcomeOf(client(authorization).Post(path, "{}", "application/json")).c_str());
        }
    }
    LONGS_EQUAL(0, service.calls);
    AdminServer withoutCredential(service, "");
    const auto unprotectedPort = withoutCredential.start({"127.0.0.1", 0});
    httplib::Client unauthenticated("127.0.0.1", unprotectedPort.value());
    unauthenticated.set_default_headers({{"Authorization", "Bearer "}});
    STRCMP_EQUAL("401 unauthorized", outcomeOf(unauthenticated.Get("/v1/status")).c_str());
    LONGS_EQUAL(0, service.calls);
}

// Guards against operations without a route, and against responses that the tool cannot parse.
TEST(AdminServer, operationsReturnTheirValue)
{
    CHECK(parseAdminValue<ConfigDocument>(client().Get("/v1/config")->body).value().version == 4);
    LONGS_EQUAL(
        7, parseAdminValue<ConfigHistory>(client().Get("/v1/config/history?limit=7")->body).value().entries.size());
    CHECK(parseAdminValue<WorkspaceList>(client().Get("/v1/workspaces")->body).has_value());
    LONGS_EQUAL(1000, *parseAdminValue<KeyList>(client().Get("/v1/keys")->body).value().keys[0].withdrawnAtMs);
    CHECK(parseAdminValue<FleetView>(client().Get("/v1/fleet")->body).has_value());
    CHECK(parseAdminValue<NodeStatus>(client().Get("/v1/status")->body).has_value());
    service.burn.buckets.add({ZoneName("a"), NodeName("n"), 5},
                             BurnBucket{9, RouteName("r"), WorkspaceName("w"), 1, 2, {}});
    const auto figures = parseAdminValue<BurnFigures>(client().Get("/v1/burn?from=1&to=9")->body);
    CHECK(figures.value().buckets == service.burn.buckets);
    const auto refusals = client().Get("/v1/refusals?request=abc&kind=rate-exceeded&limit=3");
    CHECK(parseAdminValue<RefusalList>(refusals->body).value().refusals[0].kind == RefusalKind::RateExceeded);
    STRCMP_EQUAL("abc", service.query.requestId.c_str());
    LONGS_EQUAL(3, service.query.limit);
    const auto post = [this](const char *path, const std::string &body) {
        return client().Post(path, body, "application/json")->body;
    };
    const KeyGrantRequest grant{WorkspaceName("north"), "ann", "till 4"};
    STRCMP_EQUAL("secret-key",
                 parseAdminValue<KeyGrant>(post("/v1/keys", formatAdminValue(grant))).value().key.c_str());
    const KeyWithdrawRequest withdraw{KeyId("k1"), "ann"};
    CHECK(parseAdminValue<KeyWithdrawal>(post("/v1/keys/withdraw", formatAdminValue(withdraw))).value().stored);
    const DrainRequest drain{NodeName("n1"), "ann", ""};
    CHECK(parseAdminValue<DrainState>(post("/v1/drain", formatAdminValue(drain))).value().draining);
    CHECK(!parseAdminValue<DrainState>(post("/v1/undrain", formatAdminValue(drain))).value().draining);
}

// Guards against invalid changes that reach the service, and against conflicts reported as success.
TEST(AdminServer, changesAreValidatedAndErrorsKeepTheirKind)
{
    const auto apply = [this](std::uint64_t base, const std::string &text, const std::string &author) {
        const std::string body = formatAdminValue(ConfigChange{base, text, author, ""});
        return outcomeOf(client().Post("/v1/config", body, "application/json"));
    };
    STRCMP_EQUAL("400 invalid-configuration", apply(4, "[zone]\n", "ann").c_str());
    STRCMP_EQUAL("400 invalid-argument", apply(4, service.config.text, "").c_str());
    LONGS_EQUAL(0, service.calls);
    STRCMP_EQUAL("409 conflict", apply(3, service.config.text, "ann").c_str());
    STRCMP_EQUAL("200", apply(4, service.config.text, "ann").c_str());
    service.applyError = makeError(ErrorKind::OutcomeUnknown, "No answer.", "Look.");
    STRCMP_EQUAL("504 outcome-unknown", apply(5, service.config.text, "ann").c_str());
    for (const char *body : {"", "[]", "{\"baseVersion\":-1}", "{\"baseVersion\":1.5,\"text\":\"\"}", "{\"text\":3}"}) {
        STRCMP_EQUAL("400 invalid-message", outcomeOf(client().Post("/v1/config", body, "application/json")).c_str());
    }
    STRCMP_EQUAL("400 invalid-argument", outcomeOf(client().Get("/v1/refusals?kind=x")).c_str());
    STRCMP_EQUAL("404 not-found", outcomeOf(client().Get("/v1/nonsense")).c_str());
    const std::string large(std::size_t{5} << 20, 'x');
    const auto tooLarge = client().Post("/v1/config", large, "application/json");
    CHECK(!tooLarge || tooLarge->status == 413);
}
