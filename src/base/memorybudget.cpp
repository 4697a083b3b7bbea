#include "base/memorybudget.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr std::size_t DefaultLimitBytes = std::size_t{256} << 20;

} // namespace

std::shared_ptr<MemoryBudget> makeDefaultMemoryBudget()
{
    return std::make_shared<MemoryBudget>(DefaultLimitBytes);
}

MemoryBudget::MemoryBudget(std::size_t limit)
    : m_limit(limit)
{
}

bool MemoryBudget::tryAdd(MemoryOwner owner, std::size_t bytes, std::size_t limit)
{
    std::size_t used = m_used;
    do {
        if (bytes > limit || used > limit - bytes) {
            ++m_shortages;
            return false;
        }
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    m_usedFor[static_cast<std::size_t>(owner)] += bytes;
    return true;
}

void MemoryBudget::add(MemoryOwner owner, std::size_t bytes)
{
    m_used += bytes;
    m_usedFor[static_cast<std::size_t>(owner)] += bytes;
}

void MemoryBudget::remove(MemoryOwner owner, std::size_t bytes)
{
    m_used -= bytes;
    m_usedFor[static_cast<std::size_t>(owner)] -= bytes;
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryOwner owner)
    : m_budget(std::move(budget))
    , m_owner(owner)
{
}

MemoryCharge::MemoryCharge(MemoryCharge &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_owner(other.m_owner)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_owner, other.m_owner);
    std::swap(m_bytes, other.m_bytes);
    other.resize(0);
    return *this;
}

MemoryCharge::~MemoryCharge()
{
    resize(0);
}

bool MemoryCharge::tryResize(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes) {
        const std::size_t limit = bytes > MemoryBudget::SmallBytes ? m_budget->largeLimit() : m_budget->limit();
        if (!m_budget->tryAdd(m_owner, bytes - m_bytes, limit)) {
            return false;
        }
        m_bytes = bytes;
        return true;
    }
    resize(bytes);
    return true;
}

void MemoryCharge::resize(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes) {
        m_budget->add(m_owner, bytes - m_bytes);
    } else if (m_budget) {
        m_budget->remove(m_owner, m_bytes - bytes);
    }
    m_bytes = bytes;
}

} // namespace vanillatack
