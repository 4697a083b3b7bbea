#pragma once

#include "base/random.h"
#include "documents/idocuments.h"
#include "documents/ikeyring.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <functional>
#include <memory>

namespace vanillatack {

/// What the documents need to know of the other nodes. Answered by IMembership in the daemon.
class IDocumentPeers
{
public:
    virtual ~IDocumentPeers() = default;

    /// Random nodes to spread something new to: alive nodes of the own zone and relays of other zones.
    [[nodiscard]] virtual std::vector<Endpoint> spreadTargets(std::size_t count) = 0;

    /// Whether this node is one of the given number of lowest names alive in its zone.
    [[nodiscard]] virtual bool isAmongFirstRelays(std::size_t count) const = 0;
};

struct DocumentsSettings {
    std::size_t readersPerZone = 2;
    Duration readerInterval = std::chrono::seconds(1); ///< Between polls of a zone's reader.
    Duration safetyInterval = std::chrono::seconds(30); ///< Between polls of the other nodes.
    Duration longestStartInterval = std::chrono::seconds(4); ///< Polls back off to this while a node is not ready.
    Duration operationTimeout = std::chrono::seconds(5); ///< Of apply() and withdraw().
    Duration retryInterval = std::chrono::milliseconds(200); ///< Between attempts of one operation.
    Duration fetchTimeout = std::chrono::seconds(1); ///< A fetch without an answer is sent to another peer.
    Duration settleTime = std::chrono::seconds(1); ///< Wait for newer versions when the platform is silent at start.
    Duration syncInterval = std::chrono::milliseconds(500); ///< Between full exchanges of withdrawn keys.
    Duration scanInterval = std::chrono::minutes(1); ///< Longest time between scans of withdrawn keys by a reader.
    std::size_t pushTargets = 3; ///< Peers that get a new document with its content.
    std::size_t offerTargets = 4; ///< Peers that hear of a new version or withdrawal.

    /// How long a withdrawn key is kept; empty for 7 days. Asked at each use, since the configuration sets it.
    std::function<Duration()> withdrawalRetention;

    /// Checks a configuration before it is written; empty for no check.
    std::function<Result<void>(const std::string &content)> validateConfiguration;
};

/// Makes the documents of one node. All arguments must outlive it. Calls must not overlap (node mutex).
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
