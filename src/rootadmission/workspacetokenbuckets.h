#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>

namespace vanillatack {

/// Fleet-wide rate limit of a workspace, as configured by operators.
struct RateLimit {
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0; ///< Requests.
};

/// How many requests the fleet may admit above rate and burst because its nodes decide separately:
/// share x (rate x window + burst) + requests.
struct RateTolerance {
    double share = 0;
    double requests = 0;
    double windowSeconds = 5;
};

struct TokenGrant {
    int granted = 0;
    Duration dryFor{0}; ///< Time until the next token; set when fewer tokens were granted than wanted.
};

/// Token buckets of all limited workspaces. A bucket refills at the share of the rate that the nodes have pledged to
/// this node, so that owners on the two sides of a network partition together grant no more than the rate. Without a
/// pledge, it grants only a small part of the tolerance (see UnpledgedToleranceShare).
class WorkspaceTokenBuckets
{
public:
    explicit WorkspaceTokenBuckets(const RateTolerance &tolerance);

    void setLimits(std::map<WorkspaceName, RateLimit> limits);

    /// share: part of the rate, 0 to 1, that this node may grant from now on.
    void setPledgedShare(const WorkspaceName &workspace, double share, TimePoint now);

    TokenGrant acquire(const WorkspaceName &workspace, int wanted, TimePoint now);

    /// Returns granted tokens that were not used.
    void refund(const WorkspaceName &workspace, int count, TimePoint now);

    [[nodiscard]] double pledgedShare(const WorkspaceName &workspace) const;

private:
    struct Bucket {
        RateLimit limit;
        double pledgedShare = 0; ///< Share of the rate, 0 to 1.
        double tokens = 0;
        TimePoint refilledAt;
    };

    void refill(Bucket &bucket, TimePoint now) const;
    [[nodiscard]] double toleratedExcess(const RateLimit &limit) const;
    [[nodiscard]] double capacity(const Bucket &bucket) const;
    [[nodiscard]] double refillPerSecond(const Bucket &bucket) const;

    RateTolerance m_tolerance;
    std::map<WorkspaceName, Bucket> m_buckets;
};

} // namespace vanillatack
