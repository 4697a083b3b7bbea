#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "daemon/settings.h"
#include "statechart/statechart.h"

#include <memory>

namespace vanillatack {

/// One running node: its decisions with the threads and sockets around them.
class IDaemon
{
public:
    virtual ~IDaemon() = default;

    /// Opens all ports. Errors: Unavailable when a port cannot be bound; nothing keeps running then.
    virtual Result<void> start() = 0;

    /// Graceful shutdown: announces it, lets running requests finish, then closes. Returns when all has ended.
    virtual void shutDown() = 0;
};

/// The chart must outlive the daemon.
std::unique_ptr<IDaemon> makeDaemon(const DaemonSettings &settings, const StateChart &upstreamChart);

} // namespace vanillatack
