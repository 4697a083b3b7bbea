#include "fleet/noderegistry.h"

#include "base/log.h"
#include "fleet/nodeentrycodec.h"

namespace vanillatack {

namespace {

constexpr Log RegistryLog("registry");
const std::string RegistryTable = "vanillatack-nodes";
/// Changes of many nodes at once, as when a zone starts, cost one call in this time.
constexpr Duration SettleTime = std::chrono::milliseconds(150);
/// Pause before a write of the own row is repeated, spread by half.
constexpr Duration WriteRetryPause = std::chrono::milliseconds(400);

} // namespace

NodeRegistry::NodeRegistry(IVersionedTable &table,
                           const IClock &clock,
                           IRandom &random,
                           DelayedCall callAfter,
                           INodeRegistryListener &listener,
                           const NodeName &self)
    : m_table(table)
    , m_random(random)
    , m_callAfter(callAfter)
    , m_listener(listener)
    , m_self(self)
    , m_mirror(table,
               clock,
               random,
               std::move(callAfter),
               *this,
               {.table = RegistryTable, .coalescingDelay = SettleTime})
{
}

void NodeRegistry::start()
{
    m_mirror.start();
}

void NodeRegistry::publish(const NodeEntry &own)
{
    m_wanted = formatNodeEntry(own);
    writeOwn();
}

void NodeRegistry::writeOwn()
{
    // Before the table is read the version of a row left by an earlier process is not known.
    if (m_writing || m_retryPlanned || !m_wanted || !m_mirror.loaded() || m_ownText == *m_wanted) {
        return;
    }
    m_writing = true;
    m_table.write({.table = RegistryTable, .key = m_self.value, .value = m_wanted, .expectedVersion = m_ownVersion},
                  [this, text = *m_wanted](const TableAnswer &answer) {
                      m_writing = false;
                      if (answer.outcome == TableOutcome::Done) {
                          m_ownVersion = answer.version;
                          m_ownText = text;
                      }
                      onWritten(answer);
                  });
}

void NodeRegistry::onWritten(const TableAnswer &answer)
{
    if (answer.outcome == TableOutcome::Done) {
        writeOwn();
        return;
    }
    if (answer.outcome == TableOutcome::Conflict) {
        m_ownVersion = 0;
        m_ownText.clear();
        for (const VersionedRow &row : answer.rows) {
            if (row.key == m_self.value && !row.deleted) {
                m_ownVersion = row.version;
                m_ownText = row.value;
            }
        }
    }
    RegistryLog.warning(
        "The node's row is not written yet.",
        {{"end", std::string(TableOutcomeNames.name(answer.outcome))}, {"row_version", std::to_string(m_ownVersion)}});
    m_retryPlanned = true;
    const auto spread = static_cast<std::uint64_t>(WriteRetryPause.count() / 2);
    const Duration pause = answer.outcome == TableOutcome::Conflict ? Duration{0} : WriteRetryPause / 2;
    m_callAfter(pause + Duration(m_random.below(spread)), [this] {
        m_retryPlanned = false;
        writeOwn();
    });
}

void NodeRegistry::removeUnresponsive(const NodeName &node)
{
    const auto row = m_mirror.rows().find(node.value);
    if (row == m_mirror.rows().end() || node == m_self) {
        return;
    }
    m_table.write(
        {.table = RegistryTable, .key = node.value, .value = std::nullopt, .expectedVersion = row->second.version},
        [node](const TableAnswer &answer) {
            RegistryLog.info("The row of a silent node was removed.",
                             {{"peer", node.value}, {"end", std::string(TableOutcomeNames.name(answer.outcome))}});
        });
}

void NodeRegistry::onRow(const VersionedRow &row)
{
    if (row.key == m_self.value) {
        if (row.version > m_ownVersion) {
            m_ownVersion = row.deleted ? 0 : row.version;
            m_ownText = row.deleted ? std::string() : row.value;
        }
        return;
    }
    if (row.deleted) {
        m_listener.onNodeRemoved(NodeName(row.key));
        return;
    }
    const Result<NodeEntry> entry = parseNodeEntry(row.value);
    if (!entry) {
        RegistryLog.error("A row is ignored.", {{"key", row.key}, {"error", entry.error().text()}});
        return;
    }
    m_listener.onNode(entry.value());
}

void NodeRegistry::onConfirmed(const StoreConfirmation & /*confirmation*/)
{
    writeOwn();
}

void NodeRegistry::onReachable(bool reachable, TableOutcome reason)
{
    if (reachable) {
        RegistryLog.info("The node registry is reachable again.");
    } else {
        RegistryLog.warning("The node registry is not reachable.",
                            {{"end", std::string(TableOutcomeNames.name(reason))}});
    }
}

} // namespace vanillatack
