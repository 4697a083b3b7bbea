#include "fleet/noderegistry.h"

#include "base/log.h"
#include "fleet/nodeentrycodec.h"

namespace vanillatack {

namespace {

constexpr Log RegistryLog("registry");
const std::string RegistryTable = "vanillatack-nodes";
/// Period in which the changes of many nodes, for example at the start of a zone, are fetched with one call.
constexpr Duration CoalescingDelay = std::chrono::milliseconds(150);
/// Delay before a write of the own row is retried; up to half of it is random. After a conflict, only the random half
/// is waited.
constexpr Duration WriteRetryDelay = std::chrono::milliseconds(400);
/// Time over which the nodes spread the writes of their rows when the store has come back from an older copy.
constexpr Duration RewriteSpread = std::chrono::milliseconds(1200);

} // namespace

NodeRegistry::NodeRegistry(ITableStore &store,
                           const IClock &clock,
                           IRandom &random,
                           DelayedCall callAfter,
                           INodeRegistryListener &listener,
                           const NodeName &self)
    : m_store(store)
    , m_random(random)
    , m_callAfter(callAfter)
    , m_listener(listener)
    , m_self(self)
    , m_mirror(store,
               clock,
               random,
               std::move(callAfter),
               *this,
               {.table = RegistryTable, .coalescingDelay = CoalescingDelay})
{
}

void NodeRegistry::start()
{
    m_mirror.start();
}

void NodeRegistry::publish(const NodeEntry &own)
{
    m_desiredText = formatNodeEntry(own);
    writeOwn();
}

void NodeRegistry::writeOwn()
{
    // The row of an earlier process may still exist; its version is unknown until the table has been read.
    if (m_writeInFlight || m_retryScheduled || !m_desiredText || !m_mirror.loaded() || m_storedText == *m_desiredText) {
        return;
    }
    m_writeInFlight = true;
    m_store.write(
        {.table = RegistryTable, .key = m_self.value, .value = m_desiredText, .expectedVersion = m_storedVersion},
        [this, text = *m_desiredText](const TableAnswer &answer) {
            m_writeInFlight = false;
            if (answer.outcome == TableOutcome::Done) {
                setStored(answer.version, text);
            }
            onWritten(answer);
        });
}

/// Records the row of this node that is in the store; version 0 means that there is none.
void NodeRegistry::setStored(std::uint64_t version, const std::string &text)
{
    m_storedVersion = version;
    m_storedText = text;
    if (version == 0) {
        return;
    }
    const Result<NodeEntry> entry = parseNodeEntry(text);
    if (!entry) {
        RegistryLog.error("The registry row of this node cannot be parsed and is replaced.",
                          {{"error", entry.error().text()}});
        return;
    }
    m_listener.onOwnNode(entry.value());
}

void NodeRegistry::onWritten(const TableAnswer &answer)
{
    if (answer.outcome == TableOutcome::Done) {
        writeOwn();
        return;
    }
    if (answer.outcome == TableOutcome::Conflict) {
        m_storedVersion = 0;
        m_storedText.clear();
        for (const VersionedRow &row : answer.rows) {
            if (row.key == m_self.value && !row.deleted) {
                setStored(row.version, row.value);
            }
        }
    }
    RegistryLog.warning("The write of this node's registry row failed or was not confirmed; retrying. If end=conflict "
                        "persists, check that no other process uses the same node name.",
                        {{"end", std::string(TableOutcomeNames.name(answer.outcome))},
                         {"row_version", std::to_string(m_storedVersion)}});
    m_retryScheduled = true;
    const auto jitterRange = static_cast<std::uint64_t>(WriteRetryDelay.count() / 2);
    const Duration delay = answer.outcome == TableOutcome::Conflict ? Duration{0} : WriteRetryDelay / 2;
    m_callAfter(delay + Duration(m_random.below(jitterRange)), [this] {
        m_retryScheduled = false;
        writeOwn();
    });
}

void NodeRegistry::removeUnresponsive(const NodeName &node)
{
    const auto row = m_mirror.rows().find(node.value);
    if (row == m_mirror.rows().end() || node == m_self) {
        return;
    }
    m_store.write(
        {.table = RegistryTable, .key = node.value, .value = std::nullopt, .expectedVersion = row->second.version},
        [node](const TableAnswer &answer) {
            RegistryLog.info("Tried to remove the registry row of an unresponsive node.",
                             {{"peer", node.value}, {"end", std::string(TableOutcomeNames.name(answer.outcome))}});
        });
}

void NodeRegistry::onRow(const VersionedRow &row)
{
    if (row.key == m_self.value) {
        if (row.version > m_storedVersion) {
            if (storeEraOf(row.version) > storeEraOf(m_storedVersion) && m_storedVersion != 0) {
                rewriteLater();
            }
            setStored(row.deleted ? 0 : row.version, row.deleted ? std::string() : row.value);
        }
        return;
    }
    if (row.deleted) {
        m_listener.onNodeRemoved(NodeName(row.key));
        return;
    }
    const Result<NodeEntry> entry = parseNodeEntry(row.value);
    if (!entry) {
        RegistryLog.error("A registry row cannot be parsed and is ignored.",
                          {{"key", row.key}, {"error", entry.error().text()}});
        return;
    }
    if (entry.value().node.value != row.key) {
        RegistryLog.error("A registry row names another node than its key and is ignored. Check that nothing but the "
                          "nodes writes the table.",
                          {{"key", row.key}, {"peer", entry.value().node.value}});
        return;
    }
    m_listener.onNode(entry.value());
}

void NodeRegistry::onConfirmed(const StoreConfirmation & /*confirmation*/)
{
    if (m_mirror.isUnconfirmed(m_self.value) && !m_storedText.empty()) {
        m_storedVersion = 0;
        m_storedText.clear();
        rewriteLater();
    }
    writeOwn();
    m_listener.onRegistryConfirmed();
}

/// Delays the next write of the own row by a random time, unless one is in progress or scheduled.
void NodeRegistry::rewriteLater()
{
    if (m_writeInFlight || m_retryScheduled) {
        return;
    }
    m_retryScheduled = true;
    m_callAfter(Duration(m_random.below(static_cast<std::uint64_t>(RewriteSpread.count()))), [this] {
        m_retryScheduled = false;
        writeOwn();
    });
}

void NodeRegistry::onReachable(bool reachable, TableOutcome reason)
{
    if (reachable) {
        RegistryLog.info("The node registry is reachable again.");
    } else {
        RegistryLog.warning(
            "The node registry is not reachable; continuing with the last known nodes and retrying. Check the "
            "store's address and state.",
            {{"end", std::string(TableOutcomeNames.name(reason))}});
    }
}

} // namespace vanillatack
