#include "documents/internal/platformreader.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log Logger("documents");

} // namespace

PlatformReader::PlatformReader(DocumentsContext &context, DocumentState &state, Received received)
    : m_context(context)
    , m_state(state)
    , m_received(std::move(received))
    , m_startInterval(context.settings.readerInterval)
    , m_phase(static_cast<Duration::rep>(context.random.fraction()
                                         * static_cast<double>(context.settings.safetyInterval.count())))
{
}

void PlatformReader::tick(bool ready)
{
    const TimePoint now = m_context.clock.now();
    if (m_polling || (m_lastPollAt && now - *m_lastPollAt < interval(ready))) {
        return;
    }
    if (!ready && m_lastPollAt) {
        m_startInterval = std::min(2 * m_startInterval, m_context.settings.longestStartInterval);
    }
    if (ready && !m_context.isReader()) {
        m_phase = Duration::zero();
    }
    m_lastPollAt = now;
    poll();
}

Duration PlatformReader::interval(bool ready)
{
    if (m_context.isReader()) {
        return m_context.settings.readerInterval;
    }
    // The first interval is shortened by a random part, so that nodes that start together do not poll together.
    return ready ? m_context.settings.safetyInterval - m_phase : m_startInterval;
}

bool PlatformReader::isConfirmed() const
{
    if (!m_answered) {
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
            m_context.noteAnswer(result);
            logReachability(result.has_value());
            if (result) {
                onRows(result);
            }
        }));
}

void PlatformReader::onRows(const Result<std::vector<TableRow>> &result)
{
    m_answered = true;
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
    const auto parsed = parsePointer(row.value);
    if (!parsed) {
        Logger.error(parsed.error().text(), {{"row", row.key}});
        return;
    }
    const DocumentHistoryEntry &entry = parsed.value().entry;
    Pointer &pointer = m_pointers[static_cast<std::size_t>(kind)];
    pointer.version = std::max(pointer.version, entry.version);
    // A lower version is a stale read; the one in force stays.
    if (entry.version > m_state.current(kind).version && !pointer.getting) {
        getObject(kind, entry.version, entry.digest);
    }
    m_state.checkSameVersion(kind, entry.version, entry.digest, "platform");
}

void PlatformReader::getObject(DocumentKind kind, std::uint64_t version, const std::string &digest)
{
    m_pointers[static_cast<std::size_t>(kind)].getting = true;
    m_context.objects.get(
        documentObjectName(kind, version, digest),
        m_context.whileAlive([this, kind, version, digest](const Result<std::optional<std::string>> &result) {
            m_pointers[static_cast<std::size_t>(kind)].getting = false;
            m_context.noteAnswer(result);
            onObject(kind, version, digest, result);
        }));
}

void PlatformReader::onObject(DocumentKind kind,
                              std::uint64_t version,
                              const std::string &digest,
                              const Result<std::optional<std::string>> &result)
{
    if (!result) {
        logReachability(false);
        return; // The next poll tries again.
    }
    if (!result.value()) {
        Logger.warning("The object of a document is not there yet.",
                       {{"object", documentObjectName(kind, version, digest)}});
        return;
    }
    m_received(kind, {.version = version, .digest = digest, .content = *result.value()});
}

void PlatformReader::logReachability(bool reachable)
{
    if (reachable == m_reachable) {
        return;
    }
    m_reachable = reachable;
    if (reachable) {
        Logger.info("The platform answers again.");
    } else {
        Logger.warning("The platform does not answer; documents stay as they are and spread between nodes only.");
    }
}

} // namespace vanillatack
