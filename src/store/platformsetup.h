#pragma once

#include "store/iexecutor.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"
#include "store/memorystore.h"

#include <memory>
#include <string>

namespace vanillatack {

/// Clients of the platform's services. The executor, clock and store passed to the factory must outlive them.
struct PlatformServices {
    std::unique_ptr<ITableService> table;
    std::unique_ptr<IObjectStore> objects;
};

/// Settings of the HTTP client of the platform; see docs/platform-protocol.md.
struct HttpPlatformSettings {
    std::string address = "127.0.0.1"; ///< IP address.
    int port = 0;
    int threads = 4; ///< Maximum number of blocking calls in flight.
    std::size_t queueLimit = 256; ///< Maximum number of queued calls; further calls fail with Unavailable.
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration answerTimeout = std::chrono::seconds(2); ///< Longest pause while a call is sent or its response read.
    Duration queueTimeout = std::chrono::seconds(2); ///< Calls queued for longer are not sent but fail.
};

/// Creates clients of the given in-memory store.
PlatformServices makeMemoryPlatform(MemoryStore &store, IExecutor &executor);

/// Creates clients of an in-memory store of their own, for a node without a platform. Logs a warning that the store
/// is not durable.
PlatformServices makeMemoryPlatform(IExecutor &executor);

/// Creates HTTP clients of the platform. The clock must be thread-safe, since the client's worker threads read it.
/// Errors of the services: Unavailable (the call was not sent: no connection, queue full or queued for too long),
/// OutcomeUnknown (a write without a response, or with a failed or invalid one), Timeout (a read without a valid
/// response), InvalidArgument and Conflict (the service rejected the call; it had no effect).
PlatformServices makeHttpPlatform(const HttpPlatformSettings &settings, const IClock &clock, IExecutor &executor);

} // namespace vanillatack
