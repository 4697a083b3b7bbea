#pragma once

#include "metrics/metricssetup.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace vanillatack {

/// A metric family with a limit on its label sets. Above the limit, one metric with all labels "other" is used.
template<class Metric>
class BoundedFamily
{
public:
    BoundedFamily(prometheus::Family<Metric> &family, std::size_t limit)
        : m_family(family)
        , m_limit(limit)
    {
    }

    /// The metric with the labels that makeLabels() returns. The key identifies the label set; it is cheaper to look up
    /// than the labels themselves, which are built only for a new key.
    template<class MakeLabels, class... Arguments>
    Metric &get(const std::string &key, const MakeLabels &makeLabels, const Arguments &...arguments)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_metrics.find(key);
        if (found != m_metrics.end()) {
            return *found->second;
        }
        if (m_metrics.size() < m_limit) {
            return *m_metrics.emplace(key, &m_family.Add(makeLabels(), arguments...)).first->second;
        }
        if (!m_other) {
            prometheus::Labels other = makeLabels();
            for (auto &[name, value] : other) {
                value = OtherLabel;
            }
            m_other = &m_family.Add(other, arguments...);
        }
        return *m_other;
    }

private:
    std::mutex m_mutex;
    prometheus::Family<Metric> &m_family;
    std::size_t m_limit;
    std::unordered_map<std::string, Metric *> m_metrics; ///< By key.
    Metric *m_other = nullptr;
};

class PrometheusMetrics final : public IMetrics
{
public:
    explicit PrometheusMetrics(const MetricsLimits &limits);

    void countRequest(const RouteName &route, const WorkspaceName &workspace, int status, Duration latency) override;
    void countRefusal(RefusalKind kind, PriorityClass priority) override;
    void countAttempt(const ServiceName &service, bool retry) override;
    void countControlBytes(const std::string &direction, std::size_t bytes) override;
    void countPlatformOperation(const std::string &operation, bool succeeded) override;
    void setGauge(const std::string &name, double value) override;
    [[nodiscard]] std::string text() const override;

    [[nodiscard]] const std::shared_ptr<prometheus::Registry> &registry() const
    {
        return m_registry;
    }

private:
    prometheus::Family<prometheus::Counter> &counterFamily(const std::string &name, const std::string &help);

    std::shared_ptr<prometheus::Registry> m_registry;
    BoundedFamily<prometheus::Counter> m_requests;
    BoundedFamily<prometheus::Histogram> m_durations;
    BoundedFamily<prometheus::Counter> m_refusals;
    BoundedFamily<prometheus::Counter> m_attempts;
    BoundedFamily<prometheus::Counter> m_controlBytes;
    BoundedFamily<prometheus::Counter> m_platformOperations;
    std::map<std::string, prometheus::Gauge *, std::less<>> m_gauges;
};

} // namespace vanillatack
