#include "node/internal/burnarchive.h"

#include "base/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <set>

namespace vanillatack {

namespace {

constexpr Log BurnLog("burn");
constexpr std::int64_t MinutesPerHour = 60;
/// Older minutes are summed into m_aggregated; all copies of a message have arrived by then.
constexpr std::int64_t AggregateAfterMinutes = 10;
constexpr std::int64_t MemoryRetentionMinutes = 2 * MinutesPerHour; ///< Retention in the collector's memory.
constexpr std::int64_t RetentionHours = std::int64_t{30} * 24; ///< Retention in the table.
constexpr std::int64_t MaxLastWriteAgeMinutes = 3; ///< A zone whose last write is older counts as missing.
constexpr std::chrono::seconds SendInterval{15};
constexpr std::size_t RowsPerScan = 100;

std::string zonePrefix(const ZoneName &zone)
{
    return "burn/" + zone.value + "/";
}

/// Hours are zero-padded, so that keys sort by time.
std::string rowKey(const ZoneName &zone, std::int64_t hour, const std::string &writer)
{
    return absl::StrFormat("%s%08d/%s", zonePrefix(zone), hour, writer);
}

/// Key of the row with the minute of a zone's last write, which is updated also when there was no traffic.
std::string lastWriteKey(const ZoneName &zone)
{
    return "burn-seen/" + zone.value;
}

BurnCollection restrictTo(const BurnCollection &collection, std::int64_t fromMinute, std::int64_t toMinute)
{
    BurnCollection restricted;
    for (const auto &[source, buckets] : collection.sources()) {
        for (const auto &[key, counts] : buckets) {
            if (key.minute >= fromMinute && key.minute <= toMinute) {
                restricted.add(
                    source, BurnBucket{key.minute, key.route, key.workspace, counts.good, counts.bad, counts.refusals});
            }
        }
    }
    return restricted;
}

} // namespace

/// State of a scan over the rows of all zones.
struct BurnArchive::Scan {
    std::vector<ZoneName> zones;
    std::size_t zoneIndex = 0; ///< Index of the current zone in zones.
    std::string after; ///< Key after which the next page starts; empty at the start of a zone.
    std::int64_t fromMinute = 0;
    std::int64_t toMinute = 0;
    std::int64_t nowMinute = 0;
    std::set<ZoneName> reportingZones;
    bool failed = false;
    CollectedBurn collected;
    std::function<void(Result<CollectedBurn>)> done;
};

BurnArchive::BurnArchive(const BurnArchiveDependencies &dependencies)
    : m_dependencies(dependencies)
    , m_nextSend(dependencies.clock.now() + SendInterval)
{
}

std::int64_t BurnArchive::currentMinute() const
{
    const auto wallTime = m_dependencies.clock.wallNow().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::minutes>(wallTime).count();
}

bool BurnArchive::isDue() const
{
    return m_dependencies.clock.now() >= m_nextSend;
}

void BurnArchive::tick(const Member &collector)
{
    if (!isDue()) {
        return;
    }
    m_nextSend = m_dependencies.clock.now() + SendInterval;
    sendRecentMinutes(collector);
    if (collector.node == m_dependencies.self.node && !m_writing) {
        aggregateOldMinutes();
        writeHours();
        removeExpired();
    }
}

void BurnArchive::sendRecentMinutes(const Member &collector)
{
    const std::int64_t minute = currentMinute();
    m_collectors.try_emplace(minute, collector);
    m_collectors.erase(m_collectors.begin(), m_collectors.lower_bound(minute - 1));
    for (const auto &[minuteToSend, receiver] : m_collectors) {
        BurnCollection content;
        content.add(m_dependencies.self, m_dependencies.counters.buckets(minuteToSend, minuteToSend));
        if (content.sources().empty()) {
            continue;
        }
        const BurnPush message{m_dependencies.self.node, formatBurnCollection(content)};
        if (receiver.node == m_dependencies.self.node) {
            receive(message);
        } else {
            m_dependencies.sender.send(receiver.endpoint, message);
        }
    }
}

void BurnArchive::receive(const BurnPush &message)
{
    const Result<BurnCollection> content = parseBurnCollection(message.content);
    if (!content) {
        BurnLog.warning("Cannot parse the burn figures of a node; ignoring them. " + content.error().message,
                        {{"node", message.sender.value}});
        return;
    }
    // Minutes that are already in m_aggregated must not be added again.
    const std::int64_t oldest = currentMinute() - AggregateAfterMinutes;
    m_recentByNode.merge(restrictTo(content.value(), oldest, currentMinute()));
}

void BurnArchive::aggregateOldMinutes()
{
    const std::int64_t oldest = currentMinute() - AggregateAfterMinutes;
    m_aggregated.add(m_dependencies.self, restrictTo(m_recentByNode, 0, oldest - 1).totals());
    m_recentByNode.removeBefore(oldest);
    m_aggregated.removeBefore(currentMinute() - MemoryRetentionMinutes);
}

void BurnArchive::writeHours()
{
    BurnCollection sums = m_aggregated;
    sums.add(m_dependencies.self, m_recentByNode.totals());
    std::vector<TableWrite> writes;
    const std::string writer = absl::StrCat(m_dependencies.self.node.value, "-", m_dependencies.self.startIncarnation);
    const std::int64_t thisHour = currentMinute() / MinutesPerHour;
    for (const std::int64_t hour : {thisHour - 1, thisHour}) {
        const std::int64_t first = hour * MinutesPerHour;
        const bool changing = first + MinutesPerHour + AggregateAfterMinutes > currentMinute();
        const BurnCollection content = restrictTo(sums, first, first + MinutesPerHour - 1);
        if (changing && !content.sources().empty()) {
            writes.push_back(
                {rowKey(m_dependencies.self.zone, hour, writer), formatBurnCollection(content), std::nullopt});
        }
    }
    writes.push_back({lastWriteKey(m_dependencies.self.zone), std::to_string(currentMinute()), std::nullopt});
    m_writing = true;
    m_dependencies.table.commit(writes, [this](const Result<TableCommit> &result) {
        m_writing = false;
        if (!result) {
            // The next call writes the same minutes again.
            BurnLog.warning("Writing burn figures failed; retrying at the next interval.",
                            {{"reason", result.error().message}});
        }
    });
}

void BurnArchive::removeExpired()
{
    const std::int64_t hour = currentMinute() / MinutesPerHour;
    if (hour == m_expiryHour) {
        return;
    }
    m_expiryHour = hour;
    const std::string prefix = zonePrefix(m_dependencies.self.zone);
    const std::string oldest = rowKey(m_dependencies.self.zone, hour - RetentionHours, "");
    m_dependencies.table.scan(prefix, prefix, RowsPerScan, [this, oldest](const Result<std::vector<TableRow>> &rows) {
        std::vector<TableWrite> deletions;
        for (const TableRow &row : rows ? rows.value() : std::vector<TableRow>()) {
            if (row.key < oldest) {
                deletions.push_back({row.key, std::nullopt, row.version});
            }
        }
        if (!deletions.empty()) {
            // Rows whose deletion fails are found again in the next hour.
            m_dependencies.table.commit(deletions, [](const Result<TableCommit> &) {});
        }
    });
}

void BurnArchive::collect(const std::vector<ZoneName> &zones,
                          std::int64_t fromMinute,
                          std::int64_t toMinute,
                          std::function<void(Result<CollectedBurn>)> done)
{
    const auto scan = std::make_shared<Scan>();
    scan->zones = zones;
    scan->fromMinute = fromMinute;
    scan->toMinute = toMinute;
    scan->nowMinute = currentMinute();
    scan->done = std::move(done);
    std::vector<std::string> lastWriteKeys;
    for (const ZoneName &zone : zones) {
        lastWriteKeys.push_back(lastWriteKey(zone));
    }
    m_dependencies.table.readMany(lastWriteKeys, [this, scan](const Result<std::vector<TableRow>> &rows) {
        scan->failed = !rows;
        for (const TableRow &row : rows ? rows.value() : std::vector<TableRow>()) {
            std::int64_t minute = 0;
            if (absl::SimpleAtoi(row.value, &minute) && minute >= scan->nowMinute - MaxLastWriteAgeMinutes) {
                scan->reportingZones.insert(ZoneName(row.key.substr(lastWriteKey(ZoneName()).size())));
            }
        }
        scanNext(scan);
    });
}

void BurnArchive::scanNext(const std::shared_ptr<Scan> &scan)
{
    if (scan->zoneIndex >= scan->zones.size() || scan->failed) {
        finishScan(*scan);
        return;
    }
    const ZoneName &zone = scan->zones[scan->zoneIndex];
    if (scan->after.empty()) {
        scan->after = rowKey(zone, scan->fromMinute / MinutesPerHour, "");
    }
    m_dependencies.table.scan(
        zonePrefix(zone), scan->after, RowsPerScan, [this, scan](Result<std::vector<TableRow>> rows) {
            if (!rows) {
                scan->failed = true;
                scanNext(scan);
                return;
            }
            for (const TableRow &row : rows.value()) {
                addRow(*scan, row);
            }
            if (rows.value().size() == RowsPerScan) {
                scan->after = rows.value().back().key;
            } else {
                ++scan->zoneIndex;
                scan->after.clear();
            }
            scanNext(scan);
        });
}

void BurnArchive::addRow(Scan &scan, const TableRow &row)
{
    const Result<BurnCollection> content = parseBurnCollection(row.value);
    if (!content) {
        return;
    }
    scan.collected.buckets.merge(restrictTo(content.value(), scan.fromMinute, scan.toMinute));
}

void BurnArchive::finishScan(Scan &scan)
{
    for (const ZoneName &zone : scan.zones) {
        if (scan.failed || scan.reportingZones.count(zone) == 0) {
            scan.collected.missingZones.push_back(zone);
        }
    }
    scan.done(std::move(scan.collected));
}

} // namespace vanillatack
