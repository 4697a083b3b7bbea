#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace vanillatack {

/// Debian builds Abseil with a string view type of its own, which std::string_view does not convert to.
inline absl::string_view asAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace vanillatack
