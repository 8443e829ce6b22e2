#include "fakes/platform_store.h"

#include "platform/kv_store.h"
#include "store/leased_key.h"
#include "store/prefix_follower.h"

#include <absl/random/random.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(restored_store_test)

namespace {

constexpr absl::Duration call_timeout = absl::Seconds(5);

/// A client of the store and a follower of the keys under `op/`.
struct client {
    explicit client(const platform_store& served)
        : store(served.address(), counter),
          follower(store, "op/",
                   {[this](const stored_item& item, bool /*is_change*/) { values[item.key] = item.value; },
                    [this](const std::string& key, revision /*removed_in*/) { values.erase(key); },
                    [](bool, store_outcome) {}}) {}

    call_counter counter;
    platform::kv_store store;
    std::map<std::string, std::string> values;
    absl::BitGen random;
    prefix_follower<platform::kv_store> follower;
};

} // namespace

// Guards against a follower that made no call while the store was away, and whose watch then starts from a revision
// that has been given out again: it never hears of the changes before that.
BOOST_AUTO_TEST_CASE(follower_hears_changes_whose_revisions_were_given_out_again) {
    platform_store served;
    client daemon(served);
    served.put("op/config", "1");
    served.make_copy();
    served.put("op/config", "2");
    served.put("op/rollout/werkbank", "v2");
    daemon.follower.step(daemon.random);
    BOOST_TEST(daemon.values.at("op/config") == "2");
    served.restore_copy();
    served.put("op/config", "3");
    for (int others = 0; others < 5; ++others) {
        served.put("status/other", "x");
    }
    daemon.follower.step(daemon.random);
    daemon.follower.step(daemon.random);
    BOOST_TEST(daemon.values.at("op/config") == "3");
    BOOST_TEST(!daemon.values.contains("op/rollout/werkbank"));
}

// Guards against a conditional write that replaces another daemon's value, because that has the revision that was read
// before the store came back.
BOOST_AUTO_TEST_CASE(conditional_write_fails_on_a_revision_that_was_given_out_again) {
    platform_store served;
    client daemon(served);
    served.make_copy();
    const std::uint64_t number = served.put("status/rollout/werkbank", "running");
    const auto read = daemon.store.get("status/rollout/werkbank", call_timeout);
    served.restore_copy();
    BOOST_TEST(served.put("status/rollout/werkbank", "completed") == number);
    const store_transaction transaction{{{"status/rollout/werkbank", read.value->key_revision}},
                                        {{"status/rollout/werkbank", "running"}}};
    // The first write after the restore shows the new era only with its answer; later ones are not sent.
    BOOST_TEST(!daemon.store.commit(transaction, call_timeout).is_ok());
    served.put("status/rollout/werkbank", "completed");
    const int writes = served.writes_of("status/rollout/werkbank");
    BOOST_TEST((daemon.store.commit(transaction, call_timeout).outcome == store_outcome::conflict));
    BOOST_TEST(served.writes_of("status/rollout/werkbank") == writes);
}

// Guards against a watch that goes on from an earlier era although another daemon has told of the new one.
BOOST_AUTO_TEST_CASE(follower_lists_again_when_another_daemon_tells_of_the_era) {
    platform_store served;
    client daemon(served);
    served.make_copy();
    served.put("op/config", "2");
    daemon.follower.step(daemon.random);
    served.restore_copy();
    served.put("op/config", "3");
    daemon.store.raise_era(2);
    daemon.follower.step(daemon.random);
    daemon.follower.step(daemon.random);
    BOOST_TEST(daemon.values.at("op/config") == "3");
    BOOST_TEST(era_of(daemon.follower.as_of()) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
