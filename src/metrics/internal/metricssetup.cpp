#include "metrics/metricssetup.h"

#include "metrics/internal/prometheusmetrics.h"

#include <prometheus/exposer.h>

#include <exception>

namespace vanillatack {

struct MetricsSetup::Parts {
    explicit Parts(const MetricsLimits &limits)
        : metrics(limits)
    {
    }

    PrometheusMetrics metrics;
    std::unique_ptr<prometheus::Exposer> exposer;
};

MetricsSetup::MetricsSetup(const MetricsLimits &limits)
    : m_parts(std::make_unique<Parts>(limits))
{
}

MetricsSetup::~MetricsSetup() = default;

IMetrics &MetricsSetup::metrics()
{
    return m_parts->metrics;
}

Result<std::uint16_t> MetricsSetup::startServer(const Endpoint &endpoint)
{
    try {
        // One thread suffices for a scraper and saves memory.
        m_parts->exposer = std::make_unique<prometheus::Exposer>(endpoint.text(), 1);
        m_parts->exposer->RegisterCollectable(m_parts->metrics.registry());
        return static_cast<std::uint16_t>(m_parts->exposer->GetListeningPorts().at(0));
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::Unavailable,
                         "The metrics server cannot listen on " + endpoint.text() + ": " + exception.what() + ".",
                         "Choose an address of this VM and a free port.");
    }
}

} // namespace vanillatack
