#pragma once

#include "burn/burncollection.h"
#include "node/inode.h"
#include "store/itableservice.h"

#include <map>

namespace vanillatack {

struct BurnArchiveDependencies {
    const IClock &clock;
    IMessageSender &sender;
    ITableService &table;
    const IBurnCounters &counters;
    BurnSource self;
};

/// Keeps the burn figures beyond the lifetime of a VM. Each node sends its latest minutes to the collector of its zone,
/// which writes one table row per hour of the zone: four writes a minute per zone.
///
/// A minute is sent to one collector only, so that two collectors never count it, and several times, since messages can
/// be lost. Figures that a collector had not written when its VM failed are missing from the report.
class BurnArchive
{
public:
    explicit BurnArchive(const BurnArchiveDependencies &dependencies);

    /// Whether tick() has work to do. Saves finding the collector for a tick that does nothing.
    [[nodiscard]] bool isDue() const;

    /// Sends the latest minutes of this node; at the collector, also writes the rows and removes expired ones.
    void tick(const Member &collector);
    void receive(const BurnPush &message);

    /// Reads the buckets of the zones from the table; both minutes are inclusive.
    void collect(const std::vector<ZoneName> &zones,
                 std::int64_t fromMinute,
                 std::int64_t toMinute,
                 std::function<void(Result<CollectedBurn>)> done);

private:
    struct Scan;

    [[nodiscard]] std::int64_t currentMinute() const;
    void sendRecentMinutes(const Member &collector);
    void writeHours();
    void aggregateOldMinutes();
    void removeExpired();
    void scanNext(const std::shared_ptr<Scan> &scan);
    static void addRow(Scan &scan, const TableRow &row);
    static void finishScan(Scan &scan);

    BurnArchiveDependencies m_dependencies;
    TimePoint m_nextSend;
    std::int64_t m_expiryHour = 0; ///< Hour since the Unix epoch in which expired rows were last removed.
    std::map<std::int64_t, Member> m_collectors; ///< By minute: the collector that it was first sent to.
    BurnCollection m_recentByNode; ///< Minutes up to AggregateAfterMinutes old, by node.
    BurnCollection m_aggregated; ///< Older minutes, summed over the nodes with this collector as source.
    bool m_writing = false; ///< A write to the table is in flight.
};

} // namespace vanillatack
