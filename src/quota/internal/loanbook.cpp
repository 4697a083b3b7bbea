#include "quota/internal/loanbook.h"

#include "base/invariant.h"
#include "quota/iquota.h"

namespace vanillatack {

namespace {

// Sequences of a quiet borrower are kept this long, so that a late duplicate is not answered with another loan.
constexpr std::chrono::seconds AccountRetention{10};

} // namespace

void LoanBook::advance(TimePoint now)
{
    while (m_nextEvent <= now) {
        const TimePoint event = m_nextEvent;
        m_bucket.refill(event, capacity());
        expire(event);
        m_now = std::max(m_now, event);
        recompute();
        VT_INVARIANT(m_nextEvent > event, "A loan stays after its end.");
    }
    m_now = std::max(m_now, now);
    m_bucket.refill(now, capacity());
}

void LoanBook::setOwn(const QuotaAmount &own)
{
    if (own == m_own) {
        return;
    }
    if (own.rate < m_own.rate || own.burst < m_own.burst) {
        for (const auto &[key, account] : m_accounts) {
            for (const Version &version : account.versions) {
                m_ownDebtUntil = std::max(m_ownDebtUntil, version.end);
            }
        }
    }
    m_own = own;
    recompute();
}

bool LoanBook::take()
{
    if (m_bucket.tokens() < TokensPerRequest) {
        return false;
    }
    m_bucket.remove(TokensPerRequest);
    check();
    return true;
}

std::int64_t LoanBook::tokens() const
{
    return m_bucket.tokens();
}

QuotaAmount LoanBook::own() const
{
    return m_own;
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
    return m_own + m_held - m_lent;
}

QuotaAmount LoanBook::reserved(const Account &account, TimePoint at)
{
    QuotaAmount result;
    for (const Version &version : account.versions) {
        if (version.end > at) {
            result = higherOf(result, version.amount);
        }
    }
    return result;
}

QuotaAmount LoanBook::lentAt(TimePoint at, const BorrowerKey *except) const
{
    QuotaAmount result;
    for (const auto &[key, account] : m_accounts) {
        if (except == nullptr || key != *except) {
            result += reserved(account, at);
        }
    }
    return result;
}

QuotaAmount LoanBook::available(const BorrowerKey &borrower, TimePoint until) const
{
    // What is held only falls with time, so the lowest points are now and the ends of loans taken.
    std::vector<TimePoint> points{m_now};
    for (const auto &[lender, loan] : m_heldLoans) {
        if (loan.expiry < until) {
            points.push_back(loan.expiry);
        }
    }
    QuotaAmount result{INT64_MAX, INT64_MAX};
    for (const TimePoint point : points) {
        QuotaAmount left = m_own - lentAt(point, &borrower);
        for (const auto &[lender, loan] : m_heldLoans) {
            left += loan.expiry > point ? loan.lendable : QuotaAmount{};
        }
        result = lowerOf(result, left);
    }
    return result;
}

bool LoanBook::beginRequest(const BorrowerKey &borrower, std::uint64_t sequence, LoanId heldLoan)
{
    Account &account = m_accounts[borrower];
    if (sequence <= account.sequence) {
        return false;
    }
    account.sequence = sequence;
    account.lastRequest = m_now;
    std::erase_if(account.versions, [&](const Version &version) {
        return version.loan != heldLoan;
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
    const QuotaAmount limit = higherOf(available(borrower, until), QuotaAmount{});
    VT_INVARIANT(amount.rate >= 0 && amount.burst >= 0 && amount.rate <= limit.rate && amount.burst <= limit.burst,
                 "More is lent than the lender has.");
    m_accounts[borrower].versions.push_back({loan, amount, until});
    m_lent = lentAt(m_now, nullptr);
    // Tokens above the remaining capacity would be lost, so the borrower gets them.
    const std::int64_t surplus = m_bucket.tokens() - std::max<std::int64_t>(0, capacity().burst);
    const std::int64_t given =
        std::max<std::int64_t>(0, std::min({std::max(tokens, surplus), amount.burst, m_bucket.tokens()}));
    m_bucket.remove(given);
    recompute();
    return given;
}

bool LoanBook::takeBack(const NodeName &borrower, LoanId loan, std::int64_t tokens)
{
    for (auto account = m_accounts.lower_bound({borrower, 0});
         account != m_accounts.end() && account->first.node == borrower;
         ++account) {
        std::vector<Version> &versions = account->second.versions;
        const auto found = std::find_if(versions.begin(), versions.end(), [&](const Version &version) {
            return version.loan == loan;
        });
        if (found == versions.end()) {
            continue;
        }
        m_bucket.add(std::clamp<std::int64_t>(tokens, 0, found->amount.burst));
        // The borrower accepted this loan, so it uses no earlier one. A later one may already be in use.
        std::erase_if(versions, [&](const Version &version) {
            return version.loan <= loan;
        });
        recompute();
        return true;
    }
    return false;
}

QuotaAmount LoanBook::lentTo(const BorrowerKey &borrower) const
{
    const auto account = m_accounts.find(borrower);
    return account == m_accounts.end() ? QuotaAmount{} : reserved(account->second, m_now);
}

bool LoanBook::coversLoansGiven() const
{
    for (const auto &[lender, loan] : m_heldLoans) {
        QuotaAmount left = m_own - lentAt(loan.expiry, nullptr);
        for (const auto &[otherLender, other] : m_heldLoans) {
            left += other.expiry > loan.expiry ? other.amount : QuotaAmount{};
        }
        if (left.rate < 0 || left.burst < 0) {
            return false;
        }
    }
    const QuotaAmount left = m_own + m_held - m_lent;
    return left.rate >= 0 && left.burst >= 0;
}

bool LoanBook::accept(const NodeName &lender, const HeldLoan &loan, std::int64_t tokens)
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
    if (!m_accounts.empty() && old != before.end() && !coversLoansGiven()) {
        m_heldLoans = before;
        m_held = heldBefore;
        HeldLoan &kept = m_heldLoans[lender];
        kept.lendable = lowerOf(kept.lendable, loan.amount);
        return false;
    }
    m_bucket.add(tokens);
    recompute();
    return true;
}

std::optional<std::int64_t> LoanBook::giveUp(const NodeName &lender)
{
    const auto found = m_heldLoans.find(lender);
    if (found == m_heldLoans.end()) {
        return std::nullopt;
    }
    const HeldLoan loan = found->second;
    m_heldLoans.erase(found);
    m_held -= loan.amount;
    if (!coversLoansGiven()) {
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
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        Account &account = entry->second;
        std::erase_if(account.versions, [&](const Version &version) {
            return version.end <= at;
        });
        const bool forgotten = account.versions.empty() && account.lastRequest + AccountRetention <= at;
        entry = forgotten ? m_accounts.erase(entry) : std::next(entry);
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
    for (const auto &[key, account] : m_accounts) {
        for (const Version &version : account.versions) {
            m_nextEvent = std::min(m_nextEvent, version.end);
        }
        if (account.versions.empty()) {
            m_nextEvent = std::min(m_nextEvent, std::max(m_now + Duration(1), account.lastRequest + AccountRetention));
        }
    }
    m_lent = lentAt(m_now, nullptr);
    m_bucket.clip(capacity().burst);
    check();
}

void LoanBook::check() const
{
    const QuotaAmount left = capacity();
    VT_INVARIANT((left.rate >= 0 && left.burst >= 0) || m_now < m_ownDebtUntil,
                 "Loans given exceed what the node has.");
    VT_INVARIANT(m_bucket.tokens() >= 0 && m_bucket.tokens() <= std::max<std::int64_t>(0, left.burst),
                 "A bucket holds more tokens than its capacity.");
}

} // namespace vanillatack
