#pragma once

#include "burn/burncollection.h"
#include "node/inode.h"
#include "store/itableservice.h"

#include <map>

namespace vanillatack {

struct BurnArchiveParts {
    const IClock &clock;
    IMessageSender &sender;
    ITableService &table;
    const IBurnCounters &counters;
    BurnSource self;
};

/// Keeps the burn figures beyond the life of a VM. Each node sends its latest minutes to the collector of its zone,
/// which writes one row per hour of the zone to the table: four writes a minute per zone.
///
/// A minute goes to one collector only, several times in case a message is lost, so that no minute is counted by two
/// collectors. What a collector had not written when its VM failed is missing from the report.
class BurnArchive
{
public:
    explicit BurnArchive(const BurnArchiveParts &parts);

    /// Whether tick() has work to do; spares the search for the collector otherwise.
    [[nodiscard]] bool isDue() const;
    void tick(const Member &collector);
    void receive(const BurnPush &message);

    /// Own buckets and those of the table.
    void collect(const std::vector<ZoneName> &zones,
                 std::int64_t fromMinute,
                 std::int64_t toMinute,
                 std::function<void(Result<CollectedBurn>)> done);

private:
    struct Scan;

    [[nodiscard]] std::int64_t currentMinute() const;
    void push(const Member &collector);
    void flush();
    void fold();
    void removeExpired();
    void scanNext(const std::shared_ptr<Scan> &scan);
    static void addRow(Scan &scan, const TableRow &row);
    static void finishScan(Scan &scan);

    BurnArchiveParts m_parts;
    TimePoint m_nextPush;
    std::int64_t m_expiryHour = 0;
    std::map<std::int64_t, Member> m_collectors; ///< To whom each recent minute was sent first.
    BurnCollection m_recent; ///< By node, received lately.
    BurnCollection m_folded; ///< Older minutes, added up under this collector's name.
    bool m_writing = false;
};

} // namespace vanillatack
