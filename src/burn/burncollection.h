#pragma once

#include "base/error.h"
#include "burn/iburncounters.h"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Origin of counts: one run of a node process.
struct BurnSource {
    ZoneName zone;
    NodeName node;
    /// Incarnation at process start. Not Member::incarnation, which rises while the process runs: the counts of one run
    /// would then have several sources and be added up twice.
    std::uint64_t startIncarnation = 0;

    auto operator<=>(const BurnSource &) const = default; // NOLINT(modernize-use-nullptr): see model/ids.h
};

/// Identifies a bucket; fields as in BurnBucket.
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
    std::map<RefusalKind, std::uint64_t> refusals; ///< Bad requests by kind; they sum up to bad.

    bool operator==(const BurnCounts &) const = default;
};

/// Buckets of many nodes. The counts of a source and key only grow at the node, so merging takes the maximum of two
/// values: it is associative, commutative and idempotent, and a node collected twice counts once.
///
/// Older minutes are aggregated into hours, because 30 days of minutes would be too large. The collection can hold
/// both an hour of a source and minutes of that hour, e.g. from the table and from the node; totals() uses whichever
/// has the higher count.
class BurnCollection
{
public:
    void add(const BurnSource &source, const BurnBucket &bucket);
    void add(const BurnSource &source, const std::vector<BurnBucket> &buckets);
    void merge(const BurnCollection &other);

    /// Removes all buckets that begin before the minute, and sources without buckets.
    void removeBefore(std::int64_t minute);

    /// Sums over all sources, ordered by minute, route and workspace. Holds both minute and hour buckets.
    [[nodiscard]] std::vector<BurnBucket> totals() const;

    [[nodiscard]] const std::map<BurnSource, std::map<BurnKey, BurnCounts>> &sources() const
    {
        return m_sources;
    }

    bool operator==(const BurnCollection &) const = default;

private:
    std::map<BurnSource, std::map<BurnKey, BurnCounts>> m_sources;
};

/// First minute that is collected at minute resolution; earlier minutes are aggregated into hours. At least the last
/// 6 h stay at minute resolution, because the report has windows of up to 6 h that need it.
std::int64_t minuteResolutionStart(std::int64_t nowMinute);

/// Aggregates the minute buckets of all hours that begin before the given minute into hour buckets. The input must
/// hold these hours completely.
std::vector<BurnBucket> sumHours(const std::vector<BurnBucket> &buckets, std::int64_t beforeMinute);

/// Key of the table row that holds the hour buckets of a zone's nodes for the hour of the minute. Keys of a zone sort
/// chronologically.
std::string burnRowKey(const ZoneName &zone, std::int64_t minute);

/// Formats a collection as compact JSON for the admin interface and the table (docs/admin-protocol.md).
std::string formatBurnCollection(const BurnCollection &collection);

/// Parses the output of formatBurnCollection(). Unknown refusal kinds count as None. Errors: InvalidMessage.
Result<BurnCollection> parseBurnCollection(std::string_view text);

} // namespace vanillatack
