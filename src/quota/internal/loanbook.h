#pragma once

#include "model/messages.h"
#include "quota/internal/tokenbucket.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// A borrower as its lender sees it. A restarted borrower is another one, because the old process may still run.
struct BorrowerKey {
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BorrowerKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Rate, burst and tokens of one workspace at one node: the own share, loans taken and loans given.
///
/// Every grant replaces the borrower's earlier loan from the same lender. The borrower uses one of them at a time, so
/// the lender reserves the highest of all grants that may still be in use. The capacity of a bucket is own + held -
/// lent; its sum over all nodes never exceeds the quota, and tokens come only from refilling buckets.
class LoanBook
{
public:
    struct HeldLoan {
        LoanId loan;
        QuotaAmount amount;
        QuotaAmount lendable; ///< At most amount; less when the lender has offered less since.
        TimePoint expiry;
    };

    /// Applies everything that expired until now in the order of time. All other functions need it before.
    void advance(TimePoint now);

    void setOwn(const QuotaAmount &own);

    /// Takes the tokens of one request.
    bool take();

    [[nodiscard]] std::int64_t tokens() const;
    [[nodiscard]] QuotaAmount own() const;
    [[nodiscard]] QuotaAmount held() const;
    [[nodiscard]] QuotaAmount lent() const;
    [[nodiscard]] QuotaAmount capacity() const;

    // ---- lender

    /// Amount that can be lent to the borrower until the given time; parts may be negative. Loans that the borrower
    /// already has are not counted as lent.
    [[nodiscard]] QuotaAmount available(const BorrowerKey &borrower, TimePoint until) const;

    /// Registers a request. False for an old or repeated one. Forgets grants that the borrower will not use.
    bool beginRequest(const BorrowerKey &borrower, std::uint64_t sequence, LoanId heldLoan);

    /// Lends. The amount must be available. Returns the tokens that go with it.
    std::int64_t
    grant(const BorrowerKey &borrower, LoanId loan, const QuotaAmount &amount, std::int64_t tokens, TimePoint until);

    /// Takes a loan and all earlier ones of the borrower back. False when it is not running.
    bool takeBack(const NodeName &borrower, LoanId loan, std::int64_t tokens);

    [[nodiscard]] QuotaAmount lentTo(const BorrowerKey &borrower) const;

    // ---- borrower

    /// Replaces the loan from this lender. False when loans given by this node need the old one.
    bool accept(const NodeName &lender, const HeldLoan &loan, std::int64_t tokens);

    /// Gives up the loan from this lender. Returns the tokens that go back, or nullopt when it is needed or not there.
    std::optional<std::int64_t> giveUp(const NodeName &lender);

    [[nodiscard]] const std::map<NodeName, HeldLoan> &heldLoans() const;

private:
    struct Version {
        LoanId loan;
        QuotaAmount amount;
        TimePoint end;
    };

    struct Account {
        std::uint64_t sequence = 0;
        std::vector<Version> versions;
        TimePoint lastRequest;
    };

    [[nodiscard]] static QuotaAmount reserved(const Account &account, TimePoint at);
    [[nodiscard]] QuotaAmount lentAt(TimePoint at, const BorrowerKey *except) const;
    [[nodiscard]] bool coversLoansGiven() const;
    void expire(TimePoint at);
    void recompute();
    void check() const;

    QuotaAmount m_own;
    QuotaAmount m_held;
    QuotaAmount m_lent;
    TokenBucket m_bucket;
    TimePoint m_now;
    TimePoint m_nextEvent = TimePoint::max();
    TimePoint m_ownDebtUntil; ///< Until then, loans given may exceed an own share that was lowered.
    std::map<NodeName, HeldLoan> m_heldLoans;
    std::map<BorrowerKey, Account> m_accounts;
};

} // namespace vanillatack
