#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace vanillatack {

/// Converts to absl::string_view, which in Debian's build of Abseil is a separate type without that conversion.
inline absl::string_view asAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace vanillatack
