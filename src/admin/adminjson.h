#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

#include <string>
#include <string_view>

namespace vanillatack {

/// Serializes a value of the admin protocol to JSON. Instantiated for the request and response bodies in
/// admin/adminmodel.h.
template<class T>
std::string formatAdminValue(const T &value);

/// Parses the output of formatAdminValue(). All members but std::optional ones are required; unknown members are
/// ignored. Errors: InvalidMessage.
template<class T>
Result<T> parseAdminValue(std::string_view text);

} // namespace vanillatack
