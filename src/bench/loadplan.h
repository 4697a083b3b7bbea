#pragma once

#include "base/inidocument.h"
#include "model/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Open-loop stream of requests: sent at a rate that does not depend on responses to earlier ones.
struct LoadStream {
    std::string name;
    std::string group; ///< Streams of the same group are combined in the report.
    std::vector<Endpoint> targets; ///< Addresses, used round robin.
    std::string method = "GET";
    std::string path = "/";
    std::string key; ///< Bearer credential, empty for none.
    bool operation = false; ///< Each request is an operation that must run at most once; sends Operation-Id.
    bool idempotencyKey = false; ///< Sends Idempotency-Key, the same for all attempts of a request.
    int rate = 10; ///< Requests per second.
    Duration surgeFrom{0};
    Duration surgeUntil{0};
    int surgePercent = 100; ///< Rate during the surge, in percent of rate.
};

/// Control request sent to stand-ins at a given time of the run.
struct LoadEvent {
    std::string name;
    Duration at{0};
    std::vector<Endpoint> targets;
    std::string path;
};

struct LoadPlan {
    Duration duration = std::chrono::seconds(10);
    Duration warmup = std::chrono::seconds(2); ///< Requests planned in this time are left out of the totals.
    Duration clientDeadline = std::chrono::seconds(2); ///< A request without a response by then counts as failed.
    int retries = 3; ///< Retries of a client after a refusal or failure.
    Duration retryDelay = std::chrono::milliseconds(50);
    std::int64_t seed = 1;
    int maxClients = 4000; ///< Limit on requests in flight.
    Duration recoveryFrom{0}; ///< End of the disturbance, from which the recovery time is measured; 0 for none.
    Duration baselineUntil{0}; ///< Goodput from the warm-up to this time is the reference for the recovery.
    std::vector<LoadStream> streams;
    std::vector<LoadEvent> events;
};

/// Parses a plan. Adds every problem to the list and returns nullopt if there is any.
std::optional<LoadPlan> parseLoadPlan(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

} // namespace vanillatack
