#include "quota/internal/loanbook.h"

#include "base/invariant.h"
#include "quota/iquota.h"

namespace vanillatack {

namespace {

// Sequences of an inactive borrower are kept this long, so that a late duplicate does not get another loan.
constexpr std::chrono::seconds BorrowerRetention{10};

} // namespace

void LoanBook::advance(TimePoint now)
{
    while (m_nextEvent <= now) {
        const TimePoint event = m_nextEvent;
        m_bucket.refill(event, capacity());
        expire(event);
        m_now = std::max(m_now, event);
        recompute();
        VT_INVARIANT(m_nextEvent > event, "A loan is still active after its expiry.");
    }
    m_now = std::max(m_now, now);
    m_bucket.refill(now, capacity());
}

void LoanBook::setOwnShare(const QuotaAmount &own)
{
    if (own == m_ownShare) {
        return;
    }
    if (own.rate < m_ownShare.rate || own.burst < m_ownShare.burst) {
        for (const auto &[key, state] : m_borrowers) {
            for (const Grant &grant : state.grants) {
                m_overLentUntil = std::max(m_overLentUntil, grant.expiry);
            }
        }
    }
    m_ownShare = own;
    recompute();
}

bool LoanBook::acquire()
{
    if (m_bucket.tokens() < TokensPerRequest) {
        return false;
    }
    m_bucket.remove(TokensPerRequest);
    checkInvariants();
    return true;
}

std::int64_t LoanBook::tokens() const
{
    return m_bucket.tokens();
}

QuotaAmount LoanBook::ownShare() const
{
    return m_ownShare;
}

QuotaAmount LoanBook::held() const
{
    return m_held;
}

QuotaAmount LoanBook::lent() const
{
    return m_lent;
}

QuotaAmount LoanBook::capacity() const
{
    return m_ownShare + m_held - m_lent;
}

QuotaAmount LoanBook::reserved(const BorrowerState &state, TimePoint at)
{
    QuotaAmount result;
    for (const Grant &grant : state.grants) {
        if (grant.expiry > at) {
            result = componentMax(result, grant.amount);
        }
    }
    return result;
}

QuotaAmount LoanBook::lentAt(TimePoint at, const BorrowerKey *except) const
{
    QuotaAmount result;
    for (const auto &[key, state] : m_borrowers) {
        if (except == nullptr || key != *except) {
            result += reserved(state, at);
        }
    }
    return result;
}

QuotaAmount LoanBook::available(const BorrowerKey &borrower, TimePoint until) const
{
    // Between expiries of held loans the available amount only grows, as grants expire. So it is lowest now or at one
    // of these expiries.
    std::vector<TimePoint> points{m_now};
    for (const auto &[lender, loan] : m_heldLoans) {
        if (loan.expiry < until) {
            points.push_back(loan.expiry);
        }
    }
    QuotaAmount result{INT64_MAX, INT64_MAX};
    for (const TimePoint point : points) {
        QuotaAmount left = m_ownShare - lentAt(point, &borrower);
        for (const auto &[lender, loan] : m_heldLoans) {
            left += loan.expiry > point ? loan.lendable : QuotaAmount{};
        }
        result = componentMin(result, left);
    }
    return result;
}

bool LoanBook::registerRequest(const BorrowerKey &borrower, std::uint64_t sequence, LoanId heldLoan)
{
    BorrowerState &state = m_borrowers[borrower];
    if (sequence <= state.sequence) {
        return false;
    }
    state.sequence = sequence;
    state.lastRequestAt = m_now;
    std::erase_if(state.grants, [&](const Grant &grant) {
        return grant.loan != heldLoan;
    });
    recompute();
    return true;
}

std::int64_t LoanBook::grant(const BorrowerKey &borrower,
                             LoanId loan,
                             const QuotaAmount &amount,
                             std::int64_t tokens,
                             TimePoint until)
{
    const QuotaAmount limit = componentMax(available(borrower, until), QuotaAmount{});
    VT_INVARIANT(amount.rate >= 0 && amount.burst >= 0 && amount.rate <= limit.rate && amount.burst <= limit.burst,
                 "A loan is negative or exceeds the available amount of the lender.");
    m_borrowers[borrower].grants.push_back({loan, amount, until});
    m_lent = lentAt(m_now, nullptr);
    // Tokens above the remaining capacity would be lost, so they are transferred to the borrower.
    const std::int64_t surplus = m_bucket.tokens() - std::max<std::int64_t>(0, capacity().burst);
    const std::int64_t given =
        std::max<std::int64_t>(0, std::min({std::max(tokens, surplus), amount.burst, m_bucket.tokens()}));
    m_bucket.remove(given);
    recompute();
    return given;
}

bool LoanBook::acceptReturn(const NodeName &borrower, LoanId loan, std::int64_t tokens)
{
    for (auto entry = m_borrowers.lower_bound({borrower, 0});
         entry != m_borrowers.end() && entry->first.node == borrower;
         ++entry) {
        std::vector<Grant> &grants = entry->second.grants;
        const auto found = std::find_if(grants.begin(), grants.end(), [&](const Grant &grant) {
            return grant.loan == loan;
        });
        if (found == grants.end()) {
            continue;
        }
        m_bucket.add(std::clamp<std::int64_t>(tokens, 0, found->amount.burst));
        // The borrower accepted this loan, so it no longer uses earlier ones. A later one may already be in use.
        std::erase_if(grants, [&](const Grant &grant) {
            return grant.loan <= loan;
        });
        recompute();
        return true;
    }
    return false;
}

QuotaAmount LoanBook::lentTo(const BorrowerKey &borrower) const
{
    const auto entry = m_borrowers.find(borrower);
    return entry == m_borrowers.end() ? QuotaAmount{} : reserved(entry->second, m_now);
}

bool LoanBook::coversGrants() const
{
    for (const auto &[lender, loan] : m_heldLoans) {
        QuotaAmount left = m_ownShare - lentAt(loan.expiry, nullptr);
        for (const auto &[otherLender, other] : m_heldLoans) {
            left += other.expiry > loan.expiry ? other.amount : QuotaAmount{};
        }
        if (left.rate < 0 || left.burst < 0) {
            return false;
        }
    }
    const QuotaAmount left = m_ownShare + m_held - m_lent;
    return left.rate >= 0 && left.burst >= 0;
}

bool LoanBook::acceptLoan(const NodeName &lender, const HeldLoan &loan, std::int64_t tokens)
{
    if (loan.expiry <= m_now || loan.amount.rate < 0 || loan.amount.burst < 0 || tokens < 0) {
        return false;
    }
    const std::map<NodeName, HeldLoan> before = m_heldLoans;
    const QuotaAmount heldBefore = m_held;
    const auto old = before.find(lender);
    if (old != before.end()) {
        m_held -= old->second.amount;
    }
    m_heldLoans[lender] = loan;
    m_held += loan.amount;
    if (!m_borrowers.empty() && old != before.end() && !coversGrants()) {
        m_heldLoans = before;
        m_held = heldBefore;
        HeldLoan &kept = m_heldLoans[lender];
        kept.lendable = componentMin(kept.lendable, loan.amount);
        return false;
    }
    m_bucket.add(tokens);
    recompute();
    return true;
}

std::optional<std::int64_t> LoanBook::releaseHeldLoan(const NodeName &lender)
{
    const auto found = m_heldLoans.find(lender);
    if (found == m_heldLoans.end()) {
        return std::nullopt;
    }
    const HeldLoan loan = found->second;
    m_heldLoans.erase(found);
    m_held -= loan.amount;
    if (!coversGrants()) {
        m_heldLoans[lender] = loan;
        m_held += loan.amount;
        return std::nullopt;
    }
    const std::int64_t surplus =
        std::max<std::int64_t>(0, m_bucket.tokens() - std::max<std::int64_t>(0, capacity().burst));
    m_bucket.remove(surplus);
    recompute();
    return surplus;
}

const std::map<NodeName, LoanBook::HeldLoan> &LoanBook::heldLoans() const
{
    return m_heldLoans;
}

void LoanBook::expire(TimePoint at)
{
    std::erase_if(m_heldLoans, [&](const auto &entry) {
        return entry.second.expiry <= at;
    });
    for (auto entry = m_borrowers.begin(); entry != m_borrowers.end();) {
        BorrowerState &state = entry->second;
        std::erase_if(state.grants, [&](const Grant &grant) {
            return grant.expiry <= at;
        });
        const bool removable = state.grants.empty() && state.lastRequestAt + BorrowerRetention <= at;
        entry = removable ? m_borrowers.erase(entry) : std::next(entry);
    }
}

void LoanBook::recompute()
{
    m_held = {};
    m_nextEvent = TimePoint::max();
    for (const auto &[lender, loan] : m_heldLoans) {
        m_held += loan.amount;
        m_nextEvent = std::min(m_nextEvent, loan.expiry);
    }
    for (const auto &[key, state] : m_borrowers) {
        for (const Grant &grant : state.grants) {
            m_nextEvent = std::min(m_nextEvent, grant.expiry);
        }
        if (state.grants.empty()) {
            m_nextEvent = std::min(m_nextEvent, std::max(m_now + Duration(1), state.lastRequestAt + BorrowerRetention));
        }
    }
    m_lent = lentAt(m_now, nullptr);
    m_bucket.clampTo(capacity().burst);
    checkInvariants();
}

void LoanBook::checkInvariants() const
{
    const QuotaAmount left = capacity();
    VT_INVARIANT((left.rate >= 0 && left.burst >= 0) || m_now < m_overLentUntil,
                 "Loans granted exceed the own share and the loans held.");
    VT_INVARIANT(m_bucket.tokens() >= 0 && m_bucket.tokens() <= std::max<std::int64_t>(0, left.burst),
                 "The tokens of a bucket are negative or exceed its capacity.");
}

} // namespace vanillatack
