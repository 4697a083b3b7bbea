#pragma once

#include "base/clock.h"

#include <functional>

namespace vanillatack {

/// Runs tasks on the decision thread of the node, with the node's lock held. post() and postAfter() are thread-safe,
/// return immediately and never run the task synchronously.
class IExecutor
{
public:
    virtual ~IExecutor() = default;

    virtual void post(std::function<void()> task) = 0;

    /// Runs the task after the delay, measured on the node's clock.
    virtual void postAfter(Duration delay, std::function<void()> task) = 0;
};

} // namespace vanillatack
