#include "fakes/platform_store.h"

#include "platform/kv_store.h"
#include "store/leased_key.h"

#include <absl/random/random.h>
#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(restored_registration_test)

// Guards against a daemon that cannot be found after the store came back: it renews a lease whose number now belongs to
// another daemon and takes its key for written.
BOOST_AUTO_TEST_CASE(registration_is_written_again_after_a_restore) {
    platform_store served;
    call_counter counter;
    platform::kv_store store(served.address(), counter);
    leased_key<platform::kv_store> registration(store, "mesh/daemons/a", "address");
    absl::BitGen random;
    served.make_copy();
    registration.step(random);
    registration.step(random);
    BOOST_TEST(served.has("mesh/daemons/a"));
    served.restore_copy();
    served.grant_lease();
    // The renewal shows the new era.
    for (int step = 0; step < 3; ++step) {
        registration.step(random);
    }
    BOOST_TEST(served.has("mesh/daemons/a"));
}

BOOST_AUTO_TEST_SUITE_END()
