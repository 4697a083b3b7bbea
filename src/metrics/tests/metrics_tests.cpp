#include "metrics/metricssetup.h"

#include <httplib.h>

// Included last, because it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(Metrics){};

// Guards against renamed metrics and labels, which alerts and dashboards would not find.
TEST(Metrics, textHasEveryMetric)
{
    MetricsSetup setup;
    IMetrics &metrics = setup.metrics();
    metrics.countRequest(RouteName("certs"), WorkspaceName("north"), 503, std::chrono::milliseconds(20));
    metrics.countRefusal(RefusalKind::Overloaded, PriorityClass::Deferrable);
    metrics.countAttempt(ServiceName("desk"), true);
    metrics.countControlBytes("sent", 100);
    metrics.countControlBytes("sent", 20);
    metrics.countPlatformOperation("commit", false);
    metrics.setGauge("config_version", 7);
    metrics.setGauge("no_such_gauge", 1);
    const std::string text = metrics.text();
    for (const char *line : {"vanillatack_requests_total{code=\"5xx\",route=\"certs\",workspace=\"north\"} 1",
                             "vanillatack_request_duration_seconds_bucket{route=\"certs\",le=\"0.025\"} 1",
                             "vanillatack_refusals_total{class=\"deferrable\",kind=\"overloaded\"} 1",
                             "vanillatack_attempts_total{attempt=\"retry\",service=\"desk\"} 1",
                             "vanillatack_control_bytes_total{direction=\"sent\"} 120",
                             "vanillatack_platform_operations_total{operation=\"commit\",result=\"failed\"} 1",
                             "vanillatack_config_version 7"}) {
        STRCMP_CONTAINS(line, text.c_str());
    }
    CHECK(text.find("no_such_gauge") == std::string::npos);
}

// Guards against memory use that grows with the number of names.
TEST(Metrics, seriesAboveTheLimitCountAsOther)
{
    MetricsSetup setup({10, 5});
    for (int i = 0; i < 100; ++i) {
        const std::string name = std::to_string(i);
        setup.metrics().countRequest(RouteName("r" + name), WorkspaceName("w" + name), 200, Duration::zero());
    }
    const std::string text = setup.metrics().text();
    STRCMP_CONTAINS("vanillatack_requests_total{code=\"other\",route=\"other\",workspace=\"other\"} 90", text.c_str());
    STRCMP_CONTAINS("vanillatack_request_duration_seconds_count{route=\"other\"} 95", text.c_str());
    CHECK(text.find("route=\"r10\"") == std::string::npos);
}

// Guards against a server that does not return the metrics, and against a port conflict that ends the process.
TEST(Metrics, serverReturnsMetricsAndReportsPortConflict)
{
    MetricsSetup setup;
    const auto port = setup.startServer({"127.0.0.1", 0});
    CHECK(port.has_value());
    const auto reply = httplib::Client("127.0.0.1", port.value()).Get("/metrics");
    CHECK(reply && reply->status == 200);
    STRCMP_CONTAINS("vanillatack_ready 0", reply->body.c_str());
    MetricsSetup second;
    CHECK(!second.startServer({"127.0.0.1", port.value()}).has_value());
}
