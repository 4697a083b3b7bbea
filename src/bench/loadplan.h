#pragma once

#include "base/inidocument.h"
#include "model/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Requests of one kind, sent at a rate whether or not earlier ones have been answered.
struct LoadStream {
    std::string name;
    std::string group; ///< Streams of one group are added up in the report.
    std::vector<Endpoint> targets; ///< Taken in turn.
    std::string method = "GET";
    std::string path = "/";
    std::string key; ///< Bearer credential, empty for none.
    bool operation = false; ///< Each request is an operation that must run at most once.
    bool idempotencyKey = false; ///< Sends Idempotency-Key, the same for all tries of a request.
    int rate = 10; ///< Requests per second.
    Duration surgeFrom{0};
    Duration surgeUntil{0};
    int surgePercent = 100; ///< Of the rate, during the surge.
};

/// A control request to a stand-in at a time of the run.
struct LoadEvent {
    std::string name;
    Duration at{0};
    std::vector<Endpoint> targets;
    std::string path;
};

struct LoadPlan {
    Duration duration = std::chrono::seconds(10);
    Duration warmup = std::chrono::seconds(2); ///< Not counted in the totals.
    Duration clientDeadline = std::chrono::seconds(2); ///< A request answered later counts as failed.
    int retries = 3; ///< Further tries of a client after a refusal or failure.
    Duration retryDelay = std::chrono::milliseconds(50);
    std::int64_t seed = 1;
    int maxClients = 4000;
    Duration recoveryFrom{0}; ///< End of the trigger, from which the recovery time counts; 0 for none.
    Duration baselineUntil{0}; ///< Goodput before this time is the reference for the recovery.
    std::vector<LoadStream> streams;
    std::vector<LoadEvent> events;
};

/// Reads a plan; every problem is added to the list.
std::optional<LoadPlan> parseLoadPlan(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

} // namespace vanillatack
