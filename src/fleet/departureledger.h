#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillatack {

/// A node that remembers departures for another one.
struct DepartureKeeper {
    NodeName node;
    Endpoint endpoint;
};

/// Connects a DepartureLedger to the other nodes and to the local instance.
class IDepartureLedgerHost
{
public:
    virtual ~IDepartureLedgerHost() = default;

    /// Nodes that should remember the departures of this node, as currently known.
    [[nodiscard]] virtual std::vector<DepartureKeeper> keepers() const = 0;

    /// Nodes that may remember departures of an earlier process of this node.
    [[nodiscard]] virtual std::vector<DepartureKeeper> formerKeepers() const = 0;

    /// Sends a datagram; it may be lost.
    virtual void sendNote(const Endpoint &node, const DepartureNote &note) = 0;

    /// Departures that an earlier process of this node had acknowledged have become known.
    virtual void onDeparturesRestored(const std::vector<Departure> &departures) = 0;

    /// All departures that an earlier process may have acknowledged are known, as far as they can be.
    virtual void onRecovered(const std::string &reason) = 0;
};

/// Departures of the local instance that this node has acknowledged or will, which bind it after a restart too. Since
/// no VM has a disk, each is kept in the node's registry row and in the memory of some other nodes; the
/// acknowledgement waits for both, or for one of them when the other is away. A process that starts asks both before
/// it sends requests to its instance.
class DepartureLedger
{
public:
    /// Called with false if the departure could not be kept in time; it must not be acknowledged then.
    using Completion = std::function<void(bool kept)>;

    /// The host must outlive the ledger. Note ids start at firstNoteId, which should differ between processes.
    DepartureLedger(NodeName self, std::uint64_t firstNoteId, IDepartureLedgerHost &host);

    /// Adds a departure, which the host must then publish in the registry row. Returns false if it was known.
    bool add(const Departure &departure, TimePoint now);

    /// Waits until the added departure of the instance's given start, or of all its starts if 0, is kept. Completes at
    /// once if it is.
    void await(const std::string &instance, std::uint64_t startedAtMs, TimePoint now, Completion completion);

    /// Departures for the registry row, oldest first.
    [[nodiscard]] std::vector<Departure> departures() const;

    /// The registry row of this node in the store contains these departures.
    void onStored(const std::vector<Departure> &departures, TimePoint now);

    /// Starts to recover the departures of earlier processes.
    void startRecovery(TimePoint now);

    /// The registry has been read, and onStored() was called if it has a row of this node.
    void onRegistryRead(TimePoint now);

    /// A node has sent a report to this node. Until the registry can be read, such nodes are asked.
    void onReportFrom(const Endpoint &node, TimePoint now);

    [[nodiscard]] bool recovered() const
    {
        return !m_recovering;
    }

    /// Another node asks: it has been restarted as well, and remembers nothing of before.
    void onAskFrom(const Endpoint &node, TimePoint now);

    /// Handles Kept and Told.
    void onReply(const DepartureNote &note, const Endpoint &sender, TimePoint now);

    /// Repeats notes that were not answered and ends what has waited too long. Call every few tens of milliseconds
    /// while hasPendingWork().
    void check(TimePoint now);
    [[nodiscard]] bool hasPendingWork() const;

private:
    struct Entry {
        Departure departure;
        TimePoint addedAt;
        std::uint64_t noteId = 0; ///< The first note that contains the departure.
        bool stored = false;
        bool kept = false; ///< Whether it may be acknowledged.
    };
    struct Wait {
        Departure departure;
        TimePoint since;
        Completion completion;
    };

    void insert(Entry entry);
    void sendKeep(TimePoint now);
    void sendAsks(TimePoint now);
    [[nodiscard]] bool isKept(const Entry &entry, TimePoint now) const;
    void settle(TimePoint now);
    void finishRecoveryIfDone(TimePoint now);

    NodeName m_self;
    IDepartureLedgerHost &m_host;
    std::vector<Entry> m_entries; ///< Oldest first; at most MaxDepartures.
    std::vector<Wait> m_waits;
    std::uint64_t m_firstNoteId;
    std::uint64_t m_noteId;
    std::map<NodeName, std::uint64_t> m_keptNotes; ///< The newest note that each keeper has confirmed.
    TimePoint m_keepSentAt;

    bool m_recovering = false;
    bool m_registryRead = false;
    TimePoint m_recoveringSince; ///< Start of the recovery, or the time at which the registry was read.
    TimePoint m_askedAt;
    std::set<Endpoint> m_asked;
    std::set<Endpoint> m_told; ///< Of the asked nodes.
};

/// Departures that a node remembers for other nodes. Bounded; forgets the nodes whose notes are the oldest.
class DepartureArchive
{
public:
    /// Adds departures of a node's instances.
    void add(const NodeName &node, const std::vector<Departure> &departures);

    /// The departures of a node, oldest first.
    [[nodiscard]] std::vector<Departure> find(const NodeName &node) const;

private:
    struct Entry {
        std::vector<Departure> departures;
        std::uint64_t changedAt = 0; ///< Order of the last additions.
    };

    std::map<NodeName, Entry> m_entries;
    std::uint64_t m_additions = 0;
};

} // namespace vanillatack
