#pragma once

#include "model/messages.h"
#include "quota/internal/tokenbucket.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// Identifies a borrower at its lender. A restarted node is a separate borrower, because the old process may still run.
struct BorrowerKey {
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BorrowerKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Rate, burst and tokens of one workspace at one node: own share, loans held and loans granted.
///
/// Every grant replaces the borrower's earlier loan from the same lender. The borrower uses one of them at a time, so
/// the lender reserves the maximum of all grants that may still be in use. The capacity of a bucket is own share +
/// held - lent; its sum over all nodes never exceeds the quota, and new tokens come only from bucket refills.
class LoanBook
{
public:
    struct HeldLoan {
        LoanId loan;
        QuotaAmount amount;
        QuotaAmount lendable; ///< At most amount; lower after the lender offered less on renewal.
        TimePoint expiry;
    };

    /// Refills the bucket and applies expiries up to now in chronological order. Must be called before all other
    /// functions.
    void advance(TimePoint now);

    void setOwnShare(const QuotaAmount &own);

    /// Acquires the tokens of one request. False when the bucket holds too few.
    bool acquire();

    [[nodiscard]] std::int64_t tokens() const;
    [[nodiscard]] QuotaAmount ownShare() const;
    [[nodiscard]] QuotaAmount held() const;
    [[nodiscard]] QuotaAmount lent() const;
    [[nodiscard]] QuotaAmount capacity() const;

    // ---- loans granted

    /// Amount that can be lent to the borrower until the given time; rate and burst may be negative. Loans already
    /// granted to this borrower do not reduce it.
    [[nodiscard]] QuotaAmount available(const BorrowerKey &borrower, TimePoint until) const;

    /// Registers a borrow request and deletes the grants other than heldLoan, which the borrower no longer uses. False,
    /// without change, for an outdated or duplicate request.
    bool registerRequest(const BorrowerKey &borrower, std::uint64_t sequence, LoanId heldLoan);

    /// Registers a grant; the amount must be available. Returns the tokens that are transferred with it.
    std::int64_t
    grant(const BorrowerKey &borrower, LoanId loan, const QuotaAmount &amount, std::int64_t tokens, TimePoint until);

    /// Ends a loan and all earlier ones of the borrower, and adds the refunded tokens. False when the loan is not
    /// active.
    bool acceptReturn(const NodeName &borrower, LoanId loan, std::int64_t tokens);

    [[nodiscard]] QuotaAmount lentTo(const BorrowerKey &borrower) const;

    // ---- loans held

    /// Replaces the loan from this lender. False when the loan is expired or invalid, or when loans granted by this
    /// node depend on the old one.
    bool acceptLoan(const NodeName &lender, const HeldLoan &loan, std::int64_t tokens);

    /// Releases the loan from this lender and returns the tokens to refund. Nullopt when there is none, or when loans
    /// granted by this node depend on it.
    std::optional<std::int64_t> releaseHeldLoan(const NodeName &lender);

    [[nodiscard]] const std::map<NodeName, HeldLoan> &heldLoans() const;

private:
    struct Grant {
        LoanId loan;
        QuotaAmount amount;
        TimePoint expiry;
    };

    struct BorrowerState {
        std::uint64_t sequence = 0; ///< Highest sequence of a request received from it.
        std::vector<Grant> grants;
        TimePoint lastRequestAt;
    };

    [[nodiscard]] static QuotaAmount reserved(const BorrowerState &state, TimePoint at);
    [[nodiscard]] QuotaAmount lentAt(TimePoint at, const BorrowerKey *except) const;
    [[nodiscard]] bool coversGrants() const;
    void expire(TimePoint at);
    void recompute();
    void checkInvariants() const;

    QuotaAmount m_ownShare;
    QuotaAmount m_held;
    QuotaAmount m_lent;
    TokenBucket m_bucket;
    TimePoint m_now;
    TimePoint m_nextEvent = TimePoint::max();
    TimePoint m_overLentUntil; ///< Until then, loans granted may exceed an own share that was lowered.
    std::map<NodeName, HeldLoan> m_heldLoans;
    std::map<BorrowerKey, BorrowerState> m_borrowers;
};

} // namespace vanillatack
