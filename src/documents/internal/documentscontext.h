#pragma once

#include "documents/documentssetup.h"

#include <memory>
#include <optional>
#include <utility>

namespace vanillatack {

/// Dependencies and state shared by the classes of this module.
struct DocumentsContext {
    IClock &clock;
    IRandom &random;
    ITableService &table;
    IObjectStore &objects;
    IMessageSender &sender;
    IDocumentPeers &peers;
    NodeName self;
    DocumentsSettings settings;
    std::optional<TimePoint> lastPlatformAnswer = std::nullopt;
    std::shared_ptr<char> alive = std::make_shared<char>();

    /// Wraps the function as a completion that does nothing once the context is destroyed.
    template<class Function>
    auto whileAlive(Function function)
    {
        return [token = std::weak_ptr(alive), function = std::move(function)](auto &&...arguments) {
            if (!token.expired()) {
                function(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    /// Records the time of a successful answer of the platform.
    template<class Value>
    void recordAnswer(const Result<Value> &result)
    {
        if (result.has_value()) {
            lastPlatformAnswer = clock.now();
        }
    }

    [[nodiscard]] std::int64_t wallTimeMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch()).count();
    }

    [[nodiscard]] bool isReader() const
    {
        return peers.isAmongFirstRelays(settings.readersPerZone);
    }
};

} // namespace vanillatack
