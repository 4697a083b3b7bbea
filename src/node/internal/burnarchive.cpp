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
constexpr std::int64_t FoldAfterMinutes = 10; ///< Repeats of a message arrive well before.
constexpr std::int64_t KeptMinutes = 2 * MinutesPerHour; ///< In the collector's memory.
constexpr std::int64_t RetentionHours = std::int64_t{30} * 24;
constexpr std::int64_t FreshMinutes = 3; ///< A zone whose collector has not written for longer counts as missing.
constexpr std::chrono::seconds PushInterval{15};
constexpr std::size_t RowsPerScan = 100;

std::string zonePrefix(const ZoneName &zone)
{
    return "burn/" + zone.value + "/";
}

/// Hours are padded, so that keys sort by time.
std::string rowKey(const ZoneName &zone, std::int64_t hour, const std::string &writer)
{
    return absl::StrFormat("%s%08d/%s", zonePrefix(zone), hour, writer);
}

/// Row that tells when the collector of a zone last wrote, also when there was no traffic.
std::string seenKey(const ZoneName &zone)
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

/// A walk over the rows of all zones.
struct BurnArchive::Scan {
    std::vector<ZoneName> zones;
    std::size_t zone = 0;
    std::string after;
    std::int64_t fromMinute = 0;
    std::int64_t toMinute = 0;
    std::int64_t nowMinute = 0;
    std::set<ZoneName> fresh;
    bool failed = false;
    CollectedBurn collected;
    std::function<void(Result<CollectedBurn>)> done;
};

BurnArchive::BurnArchive(const BurnArchiveParts &parts)
    : m_parts(parts)
    , m_nextPush(parts.clock.now() + PushInterval)
{
}

std::int64_t BurnArchive::currentMinute() const
{
    const auto wallTime = m_parts.clock.wallNow().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::minutes>(wallTime).count();
}

bool BurnArchive::isDue() const
{
    return m_parts.clock.now() >= m_nextPush;
}

void BurnArchive::tick(const Member &collector)
{
    if (!isDue()) {
        return;
    }
    m_nextPush = m_parts.clock.now() + PushInterval;
    push(collector);
    if (collector.node == m_parts.self.node && !m_writing) {
        fold();
        flush();
        removeExpired();
    }
}

void BurnArchive::push(const Member &collector)
{
    const std::int64_t minute = currentMinute();
    m_collectors.try_emplace(minute, collector);
    m_collectors.erase(m_collectors.begin(), m_collectors.lower_bound(minute - 1));
    for (const auto &[minuteToSend, receiver] : m_collectors) {
        BurnCollection content;
        content.add(m_parts.self, m_parts.counters.buckets(minuteToSend, minuteToSend));
        if (content.sources().empty()) {
            continue;
        }
        const BurnPush message{m_parts.self.node, formatBurnCollection(content)};
        if (receiver.node == m_parts.self.node) {
            receive(message);
        } else {
            m_parts.sender.send(receiver.endpoint, message);
        }
    }
}

void BurnArchive::receive(const BurnPush &message)
{
    const Result<BurnCollection> content = parseBurnCollection(message.content);
    if (!content) {
        BurnLog.warning("Burn figures of a node cannot be read.", {{"node", message.sender.value}});
        return;
    }
    // A minute that was folded already must not be added again.
    const std::int64_t oldest = currentMinute() - FoldAfterMinutes;
    m_recent.merge(restrictTo(content.value(), oldest, currentMinute()));
}

void BurnArchive::fold()
{
    const std::int64_t oldest = currentMinute() - FoldAfterMinutes;
    m_folded.add(m_parts.self, restrictTo(m_recent, 0, oldest - 1).totals());
    m_recent.dropBefore(oldest);
    m_folded.dropBefore(currentMinute() - KeptMinutes);
}

void BurnArchive::flush()
{
    BurnCollection sums = m_folded;
    sums.add(m_parts.self, m_recent.totals());
    std::vector<TableWrite> writes;
    const std::string writer = absl::StrCat(m_parts.self.node.value, "-", m_parts.self.startIncarnation);
    const std::int64_t thisHour = currentMinute() / MinutesPerHour;
    for (const std::int64_t hour : {thisHour - 1, thisHour}) {
        const std::int64_t first = hour * MinutesPerHour;
        const bool changing = first + MinutesPerHour + FoldAfterMinutes > currentMinute();
        const BurnCollection content = restrictTo(sums, first, first + MinutesPerHour - 1);
        if (changing && !content.sources().empty()) {
            writes.push_back({rowKey(m_parts.self.zone, hour, writer), formatBurnCollection(content), std::nullopt});
        }
    }
    writes.push_back({seenKey(m_parts.self.zone), std::to_string(currentMinute()), std::nullopt});
    m_writing = true;
    m_parts.table.commit(writes, [this](const Result<TableCommit> &result) {
        m_writing = false;
        if (!result) {
            // The next flush writes the same minutes again.
            BurnLog.warning("Burn figures could not be written.", {{"reason", result.error().message}});
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
    const std::string prefix = zonePrefix(m_parts.self.zone);
    const std::string oldest = rowKey(m_parts.self.zone, hour - RetentionHours, "");
    m_parts.table.scan(prefix, prefix, RowsPerScan, [this, oldest](const Result<std::vector<TableRow>> &rows) {
        std::vector<TableWrite> deletions;
        for (const TableRow &row : rows ? rows.value() : std::vector<TableRow>()) {
            if (row.key < oldest) {
                deletions.push_back({row.key, std::nullopt, row.version});
            }
        }
        if (!deletions.empty()) {
            // Rows that stay are found again in the next hour.
            m_parts.table.commit(deletions, [](const Result<TableCommit> &) {});
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
    std::vector<std::string> seenKeys;
    for (const ZoneName &zone : zones) {
        seenKeys.push_back(seenKey(zone));
    }
    m_parts.table.readMany(seenKeys, [this, scan](const Result<std::vector<TableRow>> &rows) {
        scan->failed = !rows;
        for (const TableRow &row : rows ? rows.value() : std::vector<TableRow>()) {
            std::int64_t minute = 0;
            if (absl::SimpleAtoi(row.value, &minute) && minute >= scan->nowMinute - FreshMinutes) {
                scan->fresh.insert(ZoneName(row.key.substr(seenKey(ZoneName()).size())));
            }
        }
        scanNext(scan);
    });
}

void BurnArchive::scanNext(const std::shared_ptr<Scan> &scan)
{
    if (scan->zone >= scan->zones.size() || scan->failed) {
        finishScan(*scan);
        return;
    }
    const ZoneName &zone = scan->zones[scan->zone];
    if (scan->after.empty()) {
        scan->after = rowKey(zone, scan->fromMinute / MinutesPerHour, "");
    }
    m_parts.table.scan(zonePrefix(zone), scan->after, RowsPerScan, [this, scan](Result<std::vector<TableRow>> rows) {
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
            ++scan->zone;
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
        if (scan.failed || scan.fresh.count(zone) == 0) {
            scan.collected.missingZones.push_back(zone);
        }
    }
    scan.done(std::move(scan.collected));
}

} // namespace vanillatack
