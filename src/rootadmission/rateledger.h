#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>

namespace vanillatack {

/// Rate of a workspace over all nodes, as declared by operators.
struct RateLimit {
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0; ///< Requests.
};

/// How far the fleet may go beyond rate and burst because its nodes act apart.
struct RateTolerance {
    double share = 0; ///< Of rate x window + burst.
    double requests = 0;
    double windowSeconds = 5;
};

/// Tokens that were dealt out.
struct TokenGrant {
    int granted = 0;
    Duration dryFor{0}; ///< When fewer were granted than wanted: time until there is another token.
};

/// Token buckets of the workspaces whose rates this node deals out. A bucket fills with the part of the rate that the
/// nodes have pledged to this node, so that owners on the two sides of a cut deal out no more than the rate together.
class RateLedger
{
public:
    explicit RateLedger(const RateTolerance &tolerance);

    void setLimits(std::map<WorkspaceName, RateLimit> limits);

    /// part: of the rate, 0 to 1, that this node may deal out from now on.
    void setPledged(const WorkspaceName &workspace, double part, TimePoint now);

    TokenGrant take(const WorkspaceName &workspace, int wanted, TimePoint now);

    /// Tokens that were dealt out and not used.
    void giveBack(const WorkspaceName &workspace, int count, TimePoint now);

    [[nodiscard]] double pledged(const WorkspaceName &workspace) const;

private:
    struct Bucket {
        RateLimit limit;
        double part = 0;
        double tokens = 0;
        TimePoint filledAt;
    };

    void fill(Bucket &bucket, TimePoint now) const;
    [[nodiscard]] double beyond(const RateLimit &limit) const;
    [[nodiscard]] double capacity(const Bucket &bucket) const;
    [[nodiscard]] double perSecond(const Bucket &bucket) const;

    RateTolerance m_tolerance;
    std::map<WorkspaceName, Bucket> m_buckets;
};

} // namespace vanillatack
