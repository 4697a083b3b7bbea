#pragma once

#include "base/error.h"
#include "burn/iburncounters.h"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Who counted: one run of a node. The incarnation is the one at the start of the process; the incarnation of a member
/// entry rises while the process runs, and using it would count a node's minutes twice.
struct BurnSource {
    ZoneName zone;
    NodeName node;
    std::uint64_t startIncarnation = 0;

    auto operator<=>(const BurnSource &) const = default; // NOLINT(modernize-use-nullptr): see model/ids.h
};

struct BurnKey {
    std::int64_t minute = 0;
    RouteName route;
    WorkspaceName workspace;
    int spanMinutes = 1;

    auto operator<=>(const BurnKey &) const = default; // NOLINT(modernize-use-nullptr): see model/ids.h
};

struct BurnCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::map<RefusalKind, std::uint64_t> refusals; ///< Bad requests by kind; their sum is bad.

    bool operator==(const BurnCounts &) const = default;
};

/// Buckets of many nodes. The counts of one source and key only grow at the node, so merging takes the larger of two
/// values: merging is associative, commutative and idempotent, and a node collected twice counts once.
///
/// Older minutes are collected as sums of hours, since 30 days of minutes would be too large. A source's hour and its
/// minutes may both be there, e.g. from the table and from the node; totals() takes those that count more.
class BurnCollection
{
public:
    void add(const BurnSource &source, const BurnBucket &bucket);
    void add(const BurnSource &source, const std::vector<BurnBucket> &buckets);
    void merge(const BurnCollection &other);

    /// Removes all minutes before the given one, and sources that have none left.
    void removeBefore(std::int64_t minute);

    /// Sums over all sources, ordered by minute, route and workspace, with minutes and hours side by side.
    [[nodiscard]] std::vector<BurnBucket> totals() const;

    [[nodiscard]] const std::map<BurnSource, std::map<BurnKey, BurnCounts>> &sources() const
    {
        return m_sources;
    }

    bool operator==(const BurnCollection &) const = default;

private:
    std::map<BurnSource, std::map<BurnKey, BurnCounts>> m_sources;
};

/// First minute that is collected as such; earlier ones as sums of hours. At least the last 6 h stay minutes, which the
/// report's windows of up to 6 h need.
std::int64_t minuteResolutionStart(std::int64_t nowMinute);

/// Replaces the minutes of all hours that begin before the given minute by the sums of these hours. The buckets must
/// hold these hours completely.
std::vector<BurnBucket> sumHours(const std::vector<BurnBucket> &buckets, std::int64_t beforeMinute);

/// Key of the table row with the hour sums of a zone's nodes for the hour of the minute. Keys of a zone are in the
/// order of time.
std::string burnRowKey(const ZoneName &zone, std::int64_t minute);

/// Compact JSON of a collection, for the admin interface and the table (docs/admin-protocol.md).
std::string formatBurnCollection(const BurnCollection &collection);

/// Reads formatBurnCollection(). Refusal kinds that this version does not know count as None.
/// Errors: InvalidMessage.
Result<BurnCollection> parseBurnCollection(std::string_view text);

} // namespace vanillatack
