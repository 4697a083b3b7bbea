#pragma once

#include "base/clock.h"

#include <functional>

namespace vanillatack {

/// Runs functions later on the decision thread of the node, under the node mutex. post() and postAfter() may be called
/// from any thread, return at once and never run the function from within the call.
class IExecutor
{
public:
    virtual ~IExecutor() = default;

    virtual void post(std::function<void()> task) = 0;

    /// Runs the task when the delay has passed on the node's clock.
    virtual void postAfter(Duration delay, std::function<void()> task) = 0;
};

} // namespace vanillatack
