#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

#include <string>
#include <string_view>

namespace vanillatack {

/// JSON of a value of the admin protocol. Instantiated for the bodies of requests and answers in admin/adminmodel.h.
template<class T>
std::string formatAdminValue(const T &value);

/// Reads formatAdminValue(). Members are required, except optional ones; unknown members are ignored.
/// Errors: InvalidMessage.
template<class T>
Result<T> parseAdminValue(std::string_view text);

} // namespace vanillatack
