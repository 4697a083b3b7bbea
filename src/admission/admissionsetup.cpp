#include "admission/admissionsetup.h"

#include "admission/internal/admission.h"

namespace vanillatack {

std::unique_ptr<IAdmission>
makeAdmission(const IClock &clock, IAdmissionListener &listener, const AdmissionSettings &settings)
{
    return std::make_unique<Admission>(clock, listener, settings);
}

} // namespace vanillatack
