#pragma once

#include "membership/internal/localstate.h"

namespace vanillatack {

/// Exchange of zone digests: the relays of a zone summarize it and exchange heartbeats with relays of other zones;
/// every node spreads newer digests in its own zone.
///
/// Only the first relay creates the digest of its zone, so that the four relays do not publish conflicting digests
/// while an update propagates. Another relay takes over when the first one is unresponsive.
class ZoneExchange
{
public:
    explicit ZoneExchange(LocalState &state);

    void tick();

    /// Processes a digest. Answers go to the sender's known node port; the source port of a TCP connection differs.
    void receive(const Endpoint &from, const ZoneDigest &message);

    /// Sends heartbeats of all known zones to a node of another zone that is not a known relay.
    void sendKnownZones(const Member &node);

    [[nodiscard]] bool isFirstRelay() const;
    [[nodiscard]] bool isReachable(const ZoneRecord &record, Duration limit) const;

private:
    void relayTick();
    void refreshOwnDigest(ZoneRecord &own, bool first);
    [[nodiscard]] std::uint64_t nextVersion(std::uint64_t known) const;
    bool mayReplace(const ZoneRecord &own, bool first);
    void sendHeartbeats(ZoneRecord &own, bool first);
    void pollVersions();
    void requestMissedHeartbeats();
    void expireContacts();
    void contactUnknownRelays(const ZoneRecord &record);
    void answerRequest(const Endpoint &to, const ZoneDigest &request);
    void requestContent(ZoneRecord &record, const Endpoint &from);
    void spread(const ZoneDigest &digest);
    void forwardHeartbeat(ZoneRecord &record, std::uint64_t heartbeat);
    /// Heartbeat digest of a zone; its heartbeat is 0 if the last one received is too old.
    [[nodiscard]] ZoneDigest freshHeartbeat(const ZoneRecord &record) const;
    [[nodiscard]] ZoneContent summarize() const;
    [[nodiscard]] StateVersions lowestVersions() const;
    [[nodiscard]] Endpoint endpointOf(const NodeName &sender, const ZoneName &zone, const Endpoint &fallback) const;

    LocalState &m_state;
    TimePoint m_nextRelayTick;
    TimePoint m_nextAnswer;
    std::optional<NodeName> m_lastPolled;
    std::uint64_t m_summarizedGeneration = 0;
    ZoneContent m_summary; ///< Content of the own zone as seen by this node at the last relay tick.
    bool m_summaryChanged = false; ///< Whether it changed since it last matched or replaced the digest.
    std::optional<TimePoint> m_differsSince; ///< Time since which the summary differs from the digest.
};

} // namespace vanillatack
