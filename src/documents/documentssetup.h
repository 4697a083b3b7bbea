#pragma once

#include "base/random.h"
#include "documents/idocuments.h"
#include "documents/ikeyring.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <functional>
#include <memory>

namespace vanillatack {

/// View of the other nodes that the documents module needs. A node implements it with IMembership.
class IDocumentPeers
{
public:
    virtual ~IDocumentPeers() = default;

    /// Random nodes to send an update to, at most count: live nodes of the own zone and relays of other zones.
    [[nodiscard]] virtual std::vector<Endpoint> spreadTargets(std::size_t count) = 0;

    /// Whether this node is one of the first count relays of its zone, see IMembership.
    [[nodiscard]] virtual bool isAmongFirstRelays(std::size_t count) const = 0;
};

struct DocumentsSettings {
    std::size_t readersPerZone = 2; ///< Nodes of a zone that poll the platform at readerPollInterval.
    Duration readerPollInterval = std::chrono::seconds(1); ///< Interval between polls of the pointer rows by a reader.
    Duration fallbackPollInterval = std::chrono::seconds(30); ///< Interval between polls by other nodes.
    Duration maxStartPollInterval = std::chrono::seconds(4); ///< Limit of the poll backoff while a node is not ready.
    Duration operationTimeout = std::chrono::seconds(5); ///< Time limit of apply() and withdraw().
    Duration retryInterval = std::chrono::milliseconds(200); ///< Interval between attempts of one operation.
    Duration fetchTimeout = std::chrono::seconds(1); ///< Time limit before a fetch is retried with a further peer.
    Duration settleTime = std::chrono::seconds(1); ///< Wait for newer versions at start without platform access.
    Duration syncInterval = std::chrono::milliseconds(500); ///< Initial interval of full withdrawn-key exchanges.
    Duration scanInterval = std::chrono::minutes(1); ///< Maximum interval between scans of withdrawn keys by a reader.
    std::size_t pushTargets = 3; ///< Peers that a new document is sent to with its content.
    std::size_t offerTargets = 4; ///< Peers that are notified of a new version or withdrawal.

    /// Returns how long a withdrawn key is kept; empty for 7 days. Called at each use, since the configuration sets it.
    std::function<Duration()> withdrawalRetention;

    /// Validates a configuration before it is written; empty for no validation.
    std::function<Result<void>(const std::string &content)> validateConfiguration;
};

/// Creates the documents module of one node. Arguments passed by reference must outlive it. It is not thread-safe:
/// calls are serialized by the node's mutex.
std::unique_ptr<IDocuments> makeDocuments(IClock &clock,
                                          IRandom &random,
                                          ITableService &table,
                                          IObjectStore &objects,
                                          IMessageSender &sender,
                                          IDocumentPeers &peers,
                                          IDocumentsListener &listener,
                                          NodeName self,
                                          DocumentsSettings settings = {});

std::unique_ptr<IKeyring> makeKeyring();

} // namespace vanillatack
