// Compiles every public header, so that an interface that no module implements yet cannot break unseen.
#include "admission/iadmission.h"
#include "attempts/iattemptledger.h"
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

// Guards against an enum value that is added without its name.
TEST(Names, everyRefusalKindHasAUniqueName)
{
    for (const auto &entry : RefusalKindNames.entries()) {
        CHECK(RefusalKindNames.value(entry.name) == entry.value);
    }
    LONGS_EQUAL(static_cast<int>(RefusalKind::RateOwnerSilent) + 1, RefusalKindNames.entries().size());
}
