#pragma once

#include "base/nametable.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace vanillatack {

/// For whom a process holds memory.
enum class MemoryOwner {
    Caller,
    Instance,
    Node, ///< Another node.
    Store,
};

inline constexpr auto MemoryOwnerNames = makeNameTable<MemoryOwner, 4>({
    {MemoryOwner::Caller, "caller"},
    {MemoryOwner::Instance, "instance"},
    {MemoryOwner::Node, "node"},
    {MemoryOwner::Store, "store"},
});

/// Common limit of the memory that a process holds for messages of all its peers, in both directions. Counts bytes that
/// are charged by MemoryCharge. Thread-safe.
class MemoryBudget
{
public:
    /// The limit in bytes.
    explicit MemoryBudget(std::size_t limit);

    /// Largest charge that counts as small. An eighth of the limit is kept for small charges, so that small messages
    /// pass while large ones fill the rest.
    static constexpr std::size_t SmallBytes = std::size_t{64} << 10;

    [[nodiscard]] std::size_t limit() const
    {
        return m_limit;
    }

    /// The part of the limit that charges above SmallBytes may use.
    [[nodiscard]] std::size_t largeLimit() const
    {
        return m_limit - m_limit / 8;
    }

    [[nodiscard]] std::size_t used() const
    {
        return m_used;
    }

    [[nodiscard]] std::size_t usedFor(MemoryOwner owner) const
    {
        return m_usedFor[static_cast<std::size_t>(owner)];
    }

    /// How often there was no room for a charge. Each is a reason to cut off peers that hold memory without getting on.
    [[nodiscard]] std::uint64_t shortages() const
    {
        return m_shortages;
    }

private:
    friend class MemoryCharge;

    bool tryAdd(MemoryOwner owner, std::size_t bytes, std::size_t limit);
    void add(MemoryOwner owner, std::size_t bytes);
    void remove(MemoryOwner owner, std::size_t bytes);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::uint64_t> m_shortages{0};
    std::array<std::atomic<std::size_t>, MemoryOwnerNames.entries().size()> m_usedFor{};
};

/// A budget for components that share none.
std::shared_ptr<MemoryBudget> makeDefaultMemoryBudget();

/// Bytes charged to a budget until they are released or the charge is destroyed.
class MemoryCharge
{
public:
    /// Charges nothing, to no budget.
    MemoryCharge() = default;
    MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryOwner owner);
    MemoryCharge(MemoryCharge &&other) noexcept;
    MemoryCharge &operator=(MemoryCharge &&other) noexcept;
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;
    ~MemoryCharge();

    /// Changes the charge to the number of bytes. Returns false, and changes nothing, if the budget has no room for the
    /// growth. Shrinking always succeeds.
    [[nodiscard]] bool tryResize(std::size_t bytes);

    /// Changes the charge to bytes that are held already, also beyond the limit.
    void resize(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    MemoryOwner m_owner = MemoryOwner::Caller;
    std::size_t m_bytes = 0;
};

} // namespace vanillatack
