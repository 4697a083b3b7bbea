#include "documents/internal/platformreader.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log DocumentsLog("documents");

} // namespace

PlatformReader::PlatformReader(DocumentsContext &context, DocumentState &state, ReceivedCallback received)
    : m_context(context)
    , m_state(state)
    , m_onReceived(std::move(received))
    , m_startInterval(context.settings.readerPollInterval)
    , m_firstPollOffset(static_cast<Duration::rep>(
          context.random.fraction() * static_cast<double>(context.settings.fallbackPollInterval.count())))
{
}

void PlatformReader::tick(bool ready)
{
    const TimePoint now = m_context.clock.now();
    if (m_polling || (m_lastPollAt && now - *m_lastPollAt < pollInterval(ready))) {
        return;
    }
    if (!ready && m_lastPollAt) {
        m_startInterval = std::min(2 * m_startInterval, m_context.settings.maxStartPollInterval);
    }
    if (ready && !m_context.isReader()) {
        m_firstPollOffset = Duration::zero();
    }
    m_lastPollAt = now;
    poll();
}

Duration PlatformReader::pollInterval(bool ready)
{
    if (m_context.isReader()) {
        return m_context.settings.readerPollInterval;
    }
    // The first interval is shortened by a random offset, so that nodes that start together do not poll together.
    return ready ? m_context.settings.fallbackPollInterval - m_firstPollOffset : m_startInterval;
}

bool PlatformReader::isUpToDate() const
{
    if (!m_pointersRead) {
        return false;
    }
    return std::all_of(
        DocumentKindNames.entries().begin(), DocumentKindNames.entries().end(), [this](const auto &each) {
            return m_state.current(each.value).version >= m_pointers[static_cast<std::size_t>(each.value)].version;
        });
}

void PlatformReader::poll()
{
    m_polling = true;
    m_context.table.readMany(
        {pointerKey(DocumentKind::Configuration), pointerKey(DocumentKind::Keys), std::string(WithdrawalMarkerKey)},
        m_context.whileAlive([this](const Result<std::vector<TableRow>> &result) {
            m_polling = false;
            m_context.recordAnswer(result);
            logReachability(result.has_value(), result ? std::string() : result.error().message);
            if (result) {
                onRows(result);
            }
        }));
}

void PlatformReader::onRows(const Result<std::vector<TableRow>> &result)
{
    m_pointersRead = true;
    for (const TableRow &row : result.value()) {
        if (row.key == WithdrawalMarkerKey) {
            m_withdrawalMarker = std::max(m_withdrawalMarker, row.version);
        }
        for (const auto &[kind, name] : DocumentKindNames.entries()) {
            if (row.key == pointerKey(kind)) {
                onPointer(kind, row);
            }
        }
    }
}

void PlatformReader::onPointer(DocumentKind kind, const TableRow &row)
{
    const auto parsed = parsePointer(row);
    if (!parsed) {
        DocumentsLog.error(parsed.error().text(), {{"row", row.key}});
        return;
    }
    const DocumentHistoryEntry &entry = parsed.value().entry;
    PointerState &pointer = m_pointers[static_cast<std::size_t>(kind)];
    pointer.version = std::max(pointer.version, entry.version);
    // A lower version comes from a stale read and is ignored.
    if (entry.version > m_state.current(kind).version && !pointer.fetching) {
        fetchObject(kind, entry.version, entry.digest);
    }
    m_state.logDigestConflict(kind, entry.version, entry.digest, "platform");
}

void PlatformReader::fetchObject(DocumentKind kind, std::uint64_t version, const std::string &digest)
{
    m_pointers[static_cast<std::size_t>(kind)].fetching = true;
    m_context.objects.get(
        documentObjectName(kind, version, digest),
        m_context.whileAlive([this, kind, version, digest](const Result<std::optional<std::string>> &result) {
            m_pointers[static_cast<std::size_t>(kind)].fetching = false;
            m_context.recordAnswer(result);
            onObject(kind, version, digest, result);
        }));
}

void PlatformReader::onObject(DocumentKind kind,
                              std::uint64_t version,
                              const std::string &digest,
                              const Result<std::optional<std::string>> &result)
{
    if (!result) {
        logReachability(false, result.error().message);
        return; // Retried after the next poll.
    }
    if (!result.value()) {
        DocumentsLog.warning("Document object not found in the object store; retrying after the next poll.",
                             {{"object", documentObjectName(kind, version, digest)}});
        return;
    }
    m_onReceived(kind, {.version = version, .digest = digest, .content = *result.value()});
}

void PlatformReader::logReachability(bool reachable, const std::string &reason)
{
    if (reachable == m_reachable) {
        return;
    }
    m_reachable = reachable;
    if (reachable) {
        DocumentsLog.info("Platform calls succeed again.");
    } else {
        DocumentsLog.warning(
            "Cannot read documents from the platform; keeping the documents in force and exchanging them only "
            "between nodes. Reason: "
            + reason);
    }
}

} // namespace vanillatack
