#pragma once

#include "base/memorybudget.h"

#include <memory>
#include <string>
#include <string_view>

namespace vanillatack {

/// Bytes of a message that is being received by a blocking connection, charged to a memory budget as it grows.
class MessageMemory
{
public:
    MessageMemory(std::shared_ptr<MemoryBudget> budget, MemoryOwner owner)
        : m_charge(std::move(budget), owner)
    {
    }

    /// Appends bytes. Returns false if there is no room for the message, its copies included.
    bool append(std::string_view part)
    {
        if (!m_charge.tryResize(Copies * (m_bytes.size() + part.size()))) {
            return false;
        }
        m_bytes.append(part);
        return true;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_bytes.size();
    }

    [[nodiscard]] std::string releaseBytes()
    {
        return std::move(m_bytes);
    }

    /// The charge covers the message with its copies; keep it as long as the message.
    [[nodiscard]] MemoryCharge releaseCharge()
    {
        return std::move(m_charge);
    }

private:
    /// How often a message is in memory on its way: as received, as an encoded message in three forms, and as output.
    static constexpr std::size_t Copies = 5;

    std::string m_bytes;
    MemoryCharge m_charge;
};

} // namespace vanillatack
