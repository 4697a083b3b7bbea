#pragma once

#include "admission/iadmission.h"

#include <memory>

namespace vanillatack {

/// Creates the admission of one upstream. The clock and the listener must outlive it. The service name in level() is
/// empty; the caller fills it in.
std::unique_ptr<IAdmission>
makeAdmission(const IClock &clock, IAdmissionListener &listener, const AdmissionSettings &settings);

} // namespace vanillatack
