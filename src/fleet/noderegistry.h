#pragma once

#include "fleet/nodedirectory.h"
#include "fleet/tablemirror.h"

#include <functional>

namespace vanillatack {

/// Told about the registered nodes.
class INodeRegistryListener
{
public:
    virtual ~INodeRegistryListener() = default;

    virtual void onNode(const NodeEntry &entry) = 0;
    virtual void onNodeRemoved(const NodeName &node) = 0;
};

/// The table of all nodes in the platform's store. Each node keeps a row of its own there and follows the others'.
class NodeRegistry final : private ITableMirrorListener
{
public:
    NodeRegistry(IVersionedTable &table,
                 const IClock &clock,
                 IRandom &random,
                 DelayedCall callAfter,
                 INodeRegistryListener &listener,
                 const NodeName &self);

    void start();

    /// Changes the own row. Repeats the write until the table holds it.
    void publish(const NodeEntry &own);

    /// Removes the row of a node that has been silent, unless it has changed meanwhile.
    void removeUnresponsive(const NodeName &node);

    /// Whether the registry has been read whole.
    [[nodiscard]] bool loaded() const
    {
        return m_mirror.loaded();
    }

private:
    void onRow(const VersionedRow &row) override;
    void onConfirmed(const StoreConfirmation &confirmation) override;
    void onReachable(bool reachable, TableOutcome reason) override;

    void writeOwn();
    void onWritten(const TableAnswer &answer);

    IVersionedTable &m_table;
    IRandom &m_random;
    DelayedCall m_callAfter;
    INodeRegistryListener &m_listener;
    NodeName m_self;
    TableMirror m_mirror;
    std::optional<std::string> m_wanted; ///< Text of the own row.
    std::uint64_t m_ownVersion = 0; ///< Version of the own row as last seen; 0: none.
    std::string m_ownText; ///< The own row as last seen.
    bool m_writing = false;
    bool m_retryPlanned = false;
};

} // namespace vanillatack
