#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "daemon/settings.h"
#include "statechart/statechart.h"

#include <memory>

namespace vanillatack {

/// A node as a process: its decision logic together with the threads and sockets that drive it.
class IDaemon
{
public:
    virtual ~IDaemon() = default;

    /// Opens all ports. Errors: Unavailable when a port cannot be bound; the ports opened before are then closed again.
    virtual Result<void> start() = 0;

    /// Shuts down gracefully: starts draining, waits for running requests within the limits of the settings, and closes
    /// all ports. Returns when the threads have ended.
    virtual void shutDown() = 0;
};

/// The chart must outlive the daemon.
std::unique_ptr<IDaemon> makeDaemon(const DaemonSettings &settings, const StateChart &upstreamChart);

} // namespace vanillatack
