#pragma once

#include "admission/iadmission.h"

#include <memory>

namespace vanillatack {

/// Creates the admission control of one upstream. The clock and the listener must outlive it. level() leaves the
/// service name empty; the caller sets it.
std::unique_ptr<IAdmission>
makeAdmission(const IClock &clock, IAdmissionListener &listener, const AdmissionSettings &settings);

} // namespace vanillatack
