#pragma once

#include "model/messages.h"

#include <string_view>
#include <vector>

namespace vanillatack {

/// State of a share owner as seen by this node.
struct ShareOwner {
    Member member;
    bool sameZone = false;
    int timeouts = 0; ///< Consecutive requests without an answer.
    std::uint64_t lastTimedOutSequence = 0; ///< A request for several workspaces counts as one timeout.
    TimePoint unresponsiveUntil{}; ///< Until then no requests are sent to it; set after repeated timeouts.
};

/// Known share owners, and the selection of lenders among them.
class ShareOwners
{
public:
    explicit ShareOwners(const NodeName &self);

    /// Replaces the owners. The members must start with those of the own zone, as from IMembership::shareOwners().
    void set(const std::vector<Member> &members);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] bool isOwner(const NodeName &node) const;
    [[nodiscard]] bool selfIsOwner() const;
    [[nodiscard]] const ShareOwner *find(const NodeName &node) const;

    /// The owner that lends to this node: one of its own zone while any is responsive. Nullptr when none is known.
    [[nodiscard]] const ShareOwner *homeOwner(TimePoint now) const;

    /// The owner that pools the shares of a workspace: the responsive owner of highest rendezvous hash, so that nodes
    /// that reach the same owners choose the same one. Nullptr when none is known.
    [[nodiscard]] const ShareOwner *poolOwner(const WorkspaceName &workspace, TimePoint now) const;

    /// The other responsive owners, own zone first, in an order that differs between workspaces and nodes.
    [[nodiscard]] std::vector<const ShareOwner *> lenders(const WorkspaceName &workspace, TimePoint now) const;

    void recordAnswer(const NodeName &node);
    void recordTimeout(const NodeName &node, std::uint64_t sequence, TimePoint now);

private:
    [[nodiscard]] const ShareOwner *highestRanked(std::string_view subject, bool preferSameZone, TimePoint now) const;

    NodeName m_self;
    std::vector<ShareOwner> m_owners;
};

} // namespace vanillatack
