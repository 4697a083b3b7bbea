#pragma once

#include "model/messages.h"

#include <string_view>
#include <vector>

namespace vanillatack {

/// A share owner as this node sees it.
struct Owner {
    Member member;
    bool ownZone = false;
    int timeouts = 0; ///< Requests in a row that got no answer.
    std::uint64_t timedOutSequence = 0; ///< Counts a request for several workspaces once.
    TimePoint silentUntil{}; ///< Not asked before, because it did not answer.
};

/// The share owners that this node knows, and which of them to ask.
class Owners
{
public:
    explicit Owners(const NodeName &self);

    void set(const std::vector<Member> &members);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] bool isOwner(const NodeName &node) const;
    [[nodiscard]] bool selfIsOwner() const;
    [[nodiscard]] const Owner *find(const NodeName &node) const;

    /// The owner that serves this node: of the own zone while one answers. Nullptr when none is known.
    [[nodiscard]] const Owner *home(TimePoint now) const;

    /// The owner that pools the shares of a workspace: the answering owner of highest rank, so that nodes that reach
    /// the same owners choose the same one. Nullptr when none is known.
    [[nodiscard]] const Owner *collector(const WorkspaceName &workspace, TimePoint now) const;

    /// Other owners that answer, own zone first, in an order that differs between workspaces and nodes.
    [[nodiscard]] std::vector<const Owner *> lenders(const WorkspaceName &workspace, TimePoint now) const;

    void noteAnswer(const NodeName &node);
    void noteTimeout(const NodeName &node, std::uint64_t sequence, TimePoint now);

private:
    [[nodiscard]] const Owner *best(std::string_view subject, bool preferOwnZone, TimePoint now) const;

    NodeName m_self;
    std::vector<Owner> m_owners;
};

} // namespace vanillatack
