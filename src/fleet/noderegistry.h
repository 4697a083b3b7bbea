#pragma once

#include "fleet/nodedirectory.h"
#include "fleet/tablemirror.h"

#include <functional>

namespace vanillatack {

/// Notified of changes to the registered nodes.
class INodeRegistryListener
{
public:
    virtual ~INodeRegistryListener() = default;

    virtual void onNode(const NodeEntry &entry) = 0;
    virtual void onNodeRemoved(const NodeName &node) = 0;

    /// The own row is in the store with these contents, written by this process or by an earlier one.
    virtual void onOwnNode(const NodeEntry &entry) = 0;

    /// The registry was read, or confirmed as unchanged.
    virtual void onRegistryConfirmed() = 0;
};

/// The table of all nodes in the platform's store. Each node maintains its own row there and watches the rows of the
/// others.
class NodeRegistry final : private ITableMirrorListener
{
public:
    NodeRegistry(ITableStore &store,
                 const IClock &clock,
                 IRandom &random,
                 DelayedCall callAfter,
                 INodeRegistryListener &listener,
                 const NodeName &self);

    void start();

    /// Updates the node's own row. Retries the write until the table contains it.
    void publish(const NodeEntry &own);

    /// Removes the row of an unresponsive node, unless the row has changed in the table.
    void removeUnresponsive(const NodeName &node);

    /// Whether the whole table has been read at least once.
    [[nodiscard]] bool loaded() const
    {
        return m_mirror.loaded();
    }

private:
    void onRow(const VersionedRow &row) override;
    void onConfirmed(const StoreConfirmation &confirmation) override;
    void onReachable(bool reachable, TableOutcome reason) override;

    void writeOwn();
    void setStored(std::uint64_t version, const std::string &text);
    void rewriteLater();
    void onWritten(const TableAnswer &answer);

    ITableStore &m_store;
    IRandom &m_random;
    DelayedCall m_callAfter;
    INodeRegistryListener &m_listener;
    NodeName m_self;
    TableMirror m_mirror;
    std::optional<std::string> m_desiredText; ///< Text that the own row should have.
    std::uint64_t m_storedVersion = 0; ///< Version of the own row as last seen; 0 if there is none.
    std::string m_storedText; ///< Text of the own row as last seen.
    bool m_writeInFlight = false;
    bool m_retryScheduled = false;
};

} // namespace vanillatack
