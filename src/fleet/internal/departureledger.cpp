#include "fleet/departureledger.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

/// Number of keepers whose confirmation is enough while the store is away; fewer if there are fewer.
constexpr std::size_t MinConfirmations = 2;
/// Time for which an acknowledgement waits for the slower of the store and the keepers. Both usually take a few
/// milliseconds.
constexpr Duration SecondCopyTimeout = std::chrono::milliseconds(250);
/// Time after which a departure that is not kept is not acknowledged; the instance gives up after a second.
constexpr Duration AcknowledgementTimeout = std::chrono::milliseconds(900);
/// Interval at which notes are repeated until they are answered.
constexpr Duration NoteRetryInterval = std::chrono::milliseconds(50);
/// Time for which a process that has read its row waits for nodes that do not answer: some tries, since its instance is
/// not used meanwhile. Nodes that were restarted too have forgotten what they knew.
constexpr Duration AskTimeout = std::chrono::milliseconds(200);
/// Time in which other nodes are found by their reports when the store is away at the start of the process.
constexpr Duration AskTimeoutWithoutStore = std::chrono::seconds(1);
/// Limits of the nodes asked and of the nodes whose departures are remembered. Each has at most MaxDepartures.
constexpr std::size_t MaxAsked = 256;
constexpr std::size_t MaxRememberedNodes = 1024;

bool covers(const Departure &known, const Departure &other)
{
    return known.instance == other.instance
        && (known.startedAtMs == other.startedAtMs
            || (other.startedAtMs != 0 && known.startedAtMs > other.startedAtMs));
}

} // namespace

DepartureLedger::DepartureLedger(NodeName self, std::uint64_t firstNoteId, IDepartureLedgerHost &host)
    : m_self(std::move(self))
    , m_host(host)
    , m_firstNoteId(firstNoteId)
    , m_noteId(firstNoteId)
{
}

bool DepartureLedger::add(const Departure &departure, TimePoint now)
{
    const bool known = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return covers(entry.departure, departure);
    });
    if (known) {
        return false;
    }
    ++m_noteId;
    insert({.departure = departure, .addedAt = now, .noteId = m_noteId, .stored = false, .kept = false});
    sendKeep(now);
    return true;
}

void DepartureLedger::insert(Entry entry)
{
    std::erase_if(m_entries, [&](const Entry &old) {
        return covers(entry.departure, old.departure);
    });
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > MaxDepartures) {
        m_entries.erase(m_entries.begin());
    }
}

void DepartureLedger::await(const std::string &instance,
                            std::uint64_t startedAtMs,
                            TimePoint now,
                            Completion completion)
{
    m_waits.push_back({{instance, startedAtMs}, now, std::move(completion)});
    settle(now);
}

std::vector<Departure> DepartureLedger::departures() const
{
    std::vector<Departure> result;
    for (const Entry &entry : m_entries) {
        result.push_back(entry.departure);
    }
    return result;
}

void DepartureLedger::onStored(const std::vector<Departure> &departures, TimePoint now)
{
    std::vector<Departure> restored;
    for (Entry &entry : m_entries) {
        // Not any more, if the store has come back from an older copy.
        entry.stored = std::find(departures.begin(), departures.end(), entry.departure) != departures.end();
    }
    for (const Departure &departure : departures) {
        const bool known = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
            return covers(entry.departure, departure);
        });
        if (!known) {
            insert({.departure = departure, .addedAt = now, .noteId = m_noteId, .stored = true, .kept = true});
            restored.push_back(departure);
        }
    }
    if (!restored.empty()) {
        m_host.onDeparturesRestored(restored);
    }
    settle(now);
}

void DepartureLedger::startRecovery(TimePoint now)
{
    m_recovering = true;
    m_recoveringSince = now;
}

void DepartureLedger::onRegistryRead(TimePoint now)
{
    if (!m_recovering || m_registryRead) {
        return;
    }
    m_registryRead = true;
    m_recoveringSince = now;
    m_asked.clear();
    for (const DepartureKeeper &keeper : m_host.formerKeepers()) {
        m_asked.insert(keeper.endpoint);
    }
    sendAsks(now);
    finishRecoveryIfDone(now);
}

void DepartureLedger::onReportFrom(const Endpoint &node, TimePoint now)
{
    if (!m_recovering || m_registryRead || m_asked.size() >= MaxAsked || !m_asked.insert(node).second) {
        return;
    }
    sendAsks(now);
}

void DepartureLedger::onAskFrom(const Endpoint &node, TimePoint now)
{
    if (m_asked.contains(node)) {
        m_told.insert(node);
        finishRecoveryIfDone(now);
    }
}

void DepartureLedger::onReply(const DepartureNote &note, const Endpoint &sender, TimePoint now)
{
    // A late reply to an earlier process tells what was known then.
    if (note.node != m_self || note.noteId < m_firstNoteId || note.noteId > m_noteId) {
        return;
    }
    const bool isKeeper = m_keptNotes.contains(note.sender) || m_keptNotes.size() < MaxAsked;
    if (note.kind == DepartureNoteKind::Kept && note.noteId <= m_noteId && isKeeper) {
        std::uint64_t &confirmed = m_keptNotes[note.sender];
        confirmed = std::max(confirmed, note.noteId);
        settle(now);
    } else if (note.kind == DepartureNoteKind::Told && m_asked.contains(sender)) {
        std::vector<Departure> restored;
        for (const Departure &departure : note.departures) {
            const bool known = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
                return covers(entry.departure, departure);
            });
            if (!known) {
                insert({.departure = departure, .addedAt = now, .noteId = m_noteId, .stored = false, .kept = true});
                restored.push_back(departure);
            }
        }
        m_told.insert(sender);
        if (!restored.empty()) {
            m_host.onDeparturesRestored(restored);
        }
        finishRecoveryIfDone(now);
    }
}

void DepartureLedger::check(TimePoint now)
{
    const bool unconfirmed = std::any_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
        return !entry.kept;
    });
    if (unconfirmed && now - m_keepSentAt >= NoteRetryInterval) {
        sendKeep(now);
    }
    if (m_recovering && now - m_askedAt >= NoteRetryInterval) {
        sendAsks(now);
    }
    settle(now);
    finishRecoveryIfDone(now);
}

bool DepartureLedger::hasPendingWork() const
{
    return m_recovering || !m_waits.empty() || std::any_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
               return !entry.kept;
           });
}

void DepartureLedger::sendKeep(TimePoint now)
{
    m_keepSentAt = now;
    const DepartureNote note{.kind = DepartureNoteKind::Keep,
                             .node = m_self,
                             .sender = m_self,
                             .noteId = m_noteId,
                             .departures = departures()};
    for (const DepartureKeeper &keeper : m_host.keepers()) {
        const auto confirmed = m_keptNotes.find(keeper.node);
        if (confirmed == m_keptNotes.end() || confirmed->second != m_noteId) {
            m_host.sendNote(keeper.endpoint, note);
        }
    }
}

void DepartureLedger::sendAsks(TimePoint now)
{
    m_askedAt = now;
    for (const Endpoint &endpoint : m_asked) {
        if (!m_told.contains(endpoint)) {
            m_host.sendNote(endpoint,
                            {.kind = DepartureNoteKind::Ask,
                             .node = m_self,
                             .sender = m_self,
                             .noteId = m_noteId,
                             .departures = {}});
        }
    }
}

bool DepartureLedger::isKept(const Entry &entry, TimePoint now) const
{
    std::size_t keepers = 0;
    std::size_t confirmations = 0;
    for (const DepartureKeeper &keeper : m_host.keepers()) {
        const auto confirmed = m_keptNotes.find(keeper.node);
        ++keepers;
        confirmations += confirmed != m_keptNotes.end() && confirmed->second >= entry.noteId ? 1 : 0;
    }
    if (entry.stored && confirmations == keepers) {
        return true;
    }
    const bool enoughConfirmations = confirmations > 0 && confirmations >= std::min(MinConfirmations, keepers);
    return now - entry.addedAt >= SecondCopyTimeout && (entry.stored || enoughConfirmations);
}

/// Completes the waits whose departures are kept and those that have taken too long.
void DepartureLedger::settle(TimePoint now)
{
    for (Entry &entry : m_entries) {
        entry.kept = entry.kept || isKept(entry, now);
    }
    std::vector<std::pair<Completion, bool>> done;
    std::erase_if(m_waits, [&](Wait &wait) {
        std::size_t concerned = 0;
        bool kept = true;
        for (const Entry &entry : m_entries) {
            if (entry.departure.instance == wait.departure.instance
                && (wait.departure.startedAtMs == 0 || covers(entry.departure, wait.departure))) {
                ++concerned;
                kept &= entry.kept;
            }
        }
        // The entry is gone if too many others were added since.
        kept &= concerned > 0;
        if (!kept && now - wait.since < AcknowledgementTimeout) {
            return false;
        }
        done.emplace_back(std::move(wait.completion), kept);
        return true;
    });
    // A completion may start another wait.
    for (const auto &[completion, kept] : done) {
        completion(kept);
    }
}

void DepartureLedger::finishRecoveryIfDone(TimePoint now)
{
    if (!m_recovering) {
        return;
    }
    const bool allTold = std::includes(m_told.begin(), m_told.end(), m_asked.begin(), m_asked.end());
    const Duration waited = now - m_recoveringSince;
    std::string reason;
    if (m_registryRead && (allTold || waited >= AskTimeout)) {
        reason = allTold ? "the store and other nodes were asked" : "the store was asked; some nodes do not answer";
    } else if (!m_registryRead && !m_told.empty() && waited >= AskTimeoutWithoutStore) {
        reason = "other nodes were asked; the store is away";
    } else {
        return;
    }
    m_recovering = false;
    m_asked.clear();
    m_told.clear();
    m_host.onRecovered(reason);
}

void DepartureArchive::add(const NodeName &node, const std::vector<Departure> &departures)
{
    if (departures.empty()) {
        return;
    }
    Entry &entry = m_entries[node];
    entry.changedAt = ++m_additions;
    for (const Departure &departure : departures) {
        if (std::find(entry.departures.begin(), entry.departures.end(), departure) == entry.departures.end()) {
            entry.departures.push_back(departure);
        }
    }
    if (entry.departures.size() > MaxDepartures) {
        entry.departures.erase(entry.departures.begin(), entry.departures.end() - MaxDepartures);
    }
    if (m_entries.size() > MaxRememberedNodes) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
            return left.second.changedAt < right.second.changedAt;
        }));
    }
}

std::vector<Departure> DepartureArchive::find(const NodeName &node) const
{
    const auto entry = m_entries.find(node);
    return entry == m_entries.end() ? std::vector<Departure>() : entry->second.departures;
}

} // namespace vanillatack
