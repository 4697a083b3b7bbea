// Includes the public interface headers, so that an interface without an implementation is still compiled.
#include "admission/iadmission.h"
#include "attempts/iretryallowanceledger.h"
#include "attempts/iretrybudget.h"
#include "burn/iburncounters.h"
#include "claims/iclaims.h"
#include "config/fleetconfig.h"
#include "documents/idocuments.h"
#include "documents/ikeyring.h"
#include "membership/imembership.h"
#include "metrics/imetrics.h"
#include "quota/iquota.h"
#include "routing/irouter.h"
#include "statechart/statechart.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(Names){};

// Guards against an enum value without a name.
TEST(Names, everyRefusalKindHasAUniqueName)
{
    for (const auto &entry : RefusalKindNames.entries()) {
        CHECK(RefusalKindNames.value(entry.name) == entry.value);
    }
    LONGS_EQUAL(static_cast<int>(RefusalKind::RateOwnerSilent) + 1, RefusalKindNames.entries().size());
}
