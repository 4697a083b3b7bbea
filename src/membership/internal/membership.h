#pragma once

#include "membership/internal/localstate.h"
#include "membership/internal/prober.h"
#include "membership/internal/zoneexchange.h"

namespace vanillatack {

class Membership final : public IMembership
{
public:
    Membership(IClock &clock,
               IRandom &random,
               IMessageSender &sender,
               IMembershipListener &listener,
               const SelfDescription &self,
               const MembershipSettings &settings);

    void tick() override;
    void receive(const Endpoint &from, const Ping &message) override;
    void receive(const Endpoint &from, const PingIndirect &message) override;
    void receive(const Endpoint &from, const Ack &message) override;
    void receive(const Endpoint &from, const MemberSync &message) override;
    void receive(const Endpoint &from, const ZoneDigest &message) override;
    void setUpstream(const ServiceName &service, int slots, bool cold) override;
    void setDraining(bool draining) override;
    void leave() override;
    void setVersions(const StateVersions &versions) override;
    void addSeeds(const std::vector<Endpoint> &seeds) override;
    [[nodiscard]] const Member &self() const override;
    [[nodiscard]] std::vector<Member> members() const override;
    [[nodiscard]] std::vector<ZoneStatus> zones() const override;
    [[nodiscard]] std::vector<Member> shareOwners() const override;
    [[nodiscard]] std::vector<Endpoint> spreadTargets(std::size_t count) override;
    [[nodiscard]] bool isAmongFirstRelays(std::size_t count) const override;
    [[nodiscard]] std::optional<Duration> timeSinceOtherZoneMessage() const override;

private:
    /// Why this node neither sends nor listens.
    enum class Silence {
        None,
        Left,
        Superseded, ///< Another process with this name and a higher incarnation runs elsewhere.
    };

    void resumeAfterPause(Duration gap);
    void gossip();
    void contactOthers();
    [[nodiscard]] std::vector<Member> contactCandidates() const;
    void flushServices();
    void changeSelf();
    void refute(const Member &reported);
    void takeReport(const Member &reported);
    void takeDirect(const Member &sender, const std::vector<Member> &updates, const StateVersions &versions);
    void compareHash(const Member &sender, std::uint64_t hash);
    void sendSync(const Endpoint &to, bool replyWanted);
    [[nodiscard]] std::vector<Member> instancesOf(const ServiceName &service) const;
    void warnOfDuplicateSlots();

    LocalState m_state;
    IMembershipListener &m_listener;
    Prober m_prober;
    ZoneExchange m_exchange;
    std::vector<Endpoint> m_seeds;
    std::map<ServiceName, std::vector<Member>> m_reported; ///< Last lists given to the listener.
    Silence m_silence = Silence::None;
    TimePoint m_startedAt; ///< Of the process, or of joining again after a long pause.
    TimePoint m_lastTick;
    TimePoint m_nextGossip;
    TimePoint m_nextContact;
    TimePoint m_lastHashMatch;
    TimePoint m_nextSync;
    std::set<int> m_duplicateSlots; ///< Already logged.
    std::uint64_t m_checkedSlotsAt = 0; ///< Generation of the table.
};

} // namespace vanillatack
