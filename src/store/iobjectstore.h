#pragma once

#include "base/error.h"

#include <functional>
#include <optional>
#include <string>

namespace vanillatack {

/// The object store of the platform. Objects are immutable; putting the same content again succeeds.
/// Completions run asynchronously on the node's decision thread, never from within the call.
class IObjectStore
{
public:
    using GetCompletion = std::function<void(Result<std::optional<std::string>>)>;
    using PutCompletion = std::function<void(Result<void>)>;

    virtual ~IObjectStore() = default;

    virtual void get(const std::string &name, GetCompletion done) = 0;
    virtual void put(const std::string &name, const std::string &content, PutCompletion done) = 0;
};

} // namespace vanillatack
