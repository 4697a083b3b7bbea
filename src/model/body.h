#pragma once

#include "base/memorybudget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace vanillatack {

/// Body of a message. Copies share the bytes, which never change, so that a request or an answer is in memory once
/// however many queues and connections it passes. The bytes stay charged to the memory budget until the last copy is
/// gone.
class Body
{
public:
    Body() = default;

    Body(std::string bytes) // NOLINT(google-explicit-constructor): most bodies are made from strings.
        : Body(std::move(bytes), MemoryCharge())
    {
    }

    Body(const char *bytes) // NOLINT(google-explicit-constructor)
        : Body(std::string(bytes))
    {
    }

    Body(std::string bytes, MemoryCharge charge)
        : m_content(bytes.empty() ? nullptr : std::make_shared<Content>(Content{std::move(bytes), std::move(charge)}))
    {
    }

    [[nodiscard]] const std::string &bytes() const
    {
        static const std::string empty;
        return m_content ? m_content->bytes : empty;
    }

    operator const std::string &() const // NOLINT(google-explicit-constructor)
    {
        return bytes();
    }

    [[nodiscard]] std::size_t size() const
    {
        return bytes().size();
    }

    [[nodiscard]] bool empty() const
    {
        return m_content == nullptr;
    }

    /// Returns the bytes and empties this body. Copies them only if they are shared.
    [[nodiscard]] std::string release()
    {
        const std::shared_ptr<Content> content = std::exchange(m_content, nullptr);
        if (!content) {
            return {};
        }
        return content.use_count() == 1 ? std::move(content->bytes) : content->bytes;
    }

    bool operator==(const Body &other) const
    {
        return bytes() == other.bytes();
    }

private:
    struct Content {
        std::string bytes;
        MemoryCharge charge;
    };

    std::shared_ptr<Content> m_content; ///< Null if empty.
};

} // namespace vanillatack
