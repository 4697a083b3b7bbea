#pragma once

#include "store/iexecutor.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"
#include "store/memorystore.h"

#include <memory>
#include <string>

namespace vanillatack {

/// Both services of the platform. The executor, clock and store given to the factory must outlive them.
struct PlatformServices {
    std::unique_ptr<ITableService> table;
    std::unique_ptr<IObjectStore> objects;
};

/// Access to the real platform over HTTP; see docs/platform-protocol.md.
struct HttpPlatformSettings {
    std::string address = "127.0.0.1"; ///< IP address.
    int port = 0;
    int threads = 4; ///< Blocking calls in flight.
    std::size_t queueLimit = 256; ///< Calls that wait for a thread; further ones fail with Unavailable.
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration answerTimeout = std::chrono::seconds(2); ///< Longest silence of the service while a call is sent or read.
    Duration queueTimeout = std::chrono::seconds(2); ///< A call that waited longer for a thread is not sent.
};

/// Services over a store in memory, without faults.
PlatformServices makeMemoryPlatform(MemoryStore &store, IExecutor &executor);

/// For a daemon without a platform: keeps its own store and logs that it is not durable.
PlatformServices makeMemoryPlatform(IExecutor &executor);

/// The clock is read by the threads of the client, so that it must be safe to use from several threads.
/// Errors of the services: Unavailable (the call cannot have reached the service: no connection, queue full or waited
/// too long), OutcomeUnknown (a write whose answer is lost or failed), Timeout (a read without a usable answer),
/// InvalidArgument and Conflict (the service refused the call without doing anything).
PlatformServices makeHttpPlatform(const HttpPlatformSettings &settings, const IClock &clock, IExecutor &executor);

} // namespace vanillatack
