#include "metrics/internal/prometheusmetrics.h"

#include "base/log.h"

#include <prometheus/text_serializer.h>

#include <initializer_list>
#include <string_view>

namespace vanillatack {

namespace {

constexpr Log MetricsLog("metrics");

// The labels of these families come from fixed sets in the program; the limit only guards against programming errors.
constexpr std::size_t FixedSeriesLimit = 200;

// In seconds: from 1 ms, just above the target for added latency (0.3 ms), to the longest usual deadline.
const prometheus::Histogram::BucketBoundaries DurationBounds =
    {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

/// Joins label values with a separator that names do not contain.
std::string joinKey(std::initializer_list<std::string_view> values)
{
    std::string key;
    for (const std::string_view value : values) {
        key += value;
        key += '\0';
    }
    return key;
}

std::string statusClass(int status)
{
    return status >= 100 && status < 600 ? std::to_string(status / 100) + "xx" : "none";
}

} // namespace

PrometheusMetrics::PrometheusMetrics(const MetricsLimits &limits)
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counterFamily("vanillatack_requests_total", "Root requests that ended at this node."),
                 limits.requestSeries)
    , m_durations(prometheus::BuildHistogram()
                      .Name("vanillatack_request_duration_seconds")
                      .Help("Time from receiving a root request to the end of its answer.")
                      .Register(*m_registry),
                  limits.names)
    , m_refusals(counterFamily("vanillatack_refusals_total", "Requests refused at this node."), FixedSeriesLimit)
    , m_attempts(counterFamily("vanillatack_attempts_total", "Attempts sent to instances."), 2 * limits.names)
    , m_controlBytes(counterFamily("vanillatack_control_bytes_total", "Control traffic, without calls."),
                     FixedSeriesLimit)
    , m_platformOperations(counterFamily("vanillatack_platform_operations_total",
                                         "Operations on the platform's table and object store."),
                           FixedSeriesLimit)
{
    for (const GaugeDescription &description : GaugeDescriptions) {
        const std::string name(description.name);
        m_gauges[name] = &prometheus::BuildGauge()
                              .Name("vanillatack_" + name)
                              .Help(std::string(description.help))
                              .Register(*m_registry)
                              .Add({});
    }
}

prometheus::Family<prometheus::Counter> &PrometheusMetrics::counterFamily(const std::string &name,
                                                                          const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry);
}

void PrometheusMetrics::countRequest(const RouteName &route,
                                     const WorkspaceName &workspace,
                                     int status,
                                     Duration latency)
{
    const std::string code = statusClass(status);
    const auto requestLabels = [&] {
        return prometheus::Labels{{"route", route.value}, {"workspace", workspace.value}, {"code", code}};
    };
    const auto routeLabels = [&] {
        return prometheus::Labels{{"route", route.value}};
    };
    m_requests.get(joinKey({route.value, workspace.value, code}), requestLabels).Increment();
    m_durations.get(route.value, routeLabels, DurationBounds).Observe(std::chrono::duration<double>(latency).count());
}

void PrometheusMetrics::countRefusal(RefusalKind kind, PriorityClass priority)
{
    const std::string kindName(RefusalKindNames.name(kind));
    const std::string className(PriorityClassNames.name(priority));
    const auto labels = [&] {
        return prometheus::Labels{{"kind", kindName}, {"class", className}};
    };
    m_refusals.get(joinKey({kindName, className}), labels).Increment();
}

void PrometheusMetrics::countAttempt(const ServiceName &service, bool retry)
{
    const std::string attempt = retry ? "retry" : "first";
    const auto labels = [&] {
        return prometheus::Labels{{"service", service.value}, {"attempt", attempt}};
    };
    m_attempts.get(joinKey({service.value, attempt}), labels).Increment();
}

void PrometheusMetrics::countControlBytes(const std::string &direction, std::size_t bytes)
{
    const auto labels = [&] {
        return prometheus::Labels{{"direction", direction}};
    };
    m_controlBytes.get(direction, labels).Increment(static_cast<double>(bytes));
}

void PrometheusMetrics::countPlatformOperation(const std::string &operation, bool succeeded)
{
    const std::string result = succeeded ? "ok" : "failed";
    const auto labels = [&] {
        return prometheus::Labels{{"operation", operation}, {"result", result}};
    };
    m_platformOperations.get(joinKey({operation, result}), labels).Increment();
}

void PrometheusMetrics::setGauge(const std::string &name, double value)
{
    const auto gauge = m_gauges.find(name);
    if (gauge == m_gauges.end()) {
        MetricsLog.warning("Ignored a value for a gauge that does not exist.", {{"name", name}});
        return;
    }
    gauge->second->Set(value);
}

std::string PrometheusMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace vanillatack
