#include "store/leased_key.h"
#include "store/prefix_follower.h"

#include "store/call_counter.h"
#include "tests/fakes/scripted_store.h"

#include <absl/random/random.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(prefix_follower_test)

namespace {

/// Follows the keys under `op/` and records what the callbacks report.
class recorder {
public:
    recorder() : follower(store, "op/", listener()) {}

    absl::Duration step() {
        return follower.step(random);
    }

    scripted_store store;
    std::map<std::string, std::string> values;
    std::vector<std::string> reachable;
    absl::BitGen random;
    prefix_follower<scripted_store> follower;

private:
    prefix_listener listener() {
        return {[this](const stored_item& item, bool /*is_change*/) { values[item.key] = item.value; },
                [this](const std::string& key, revision /*removed_in*/) { values.erase(key); },
                [this](bool is_reachable, store_outcome outcome) {
                    reachable.push_back(is_reachable ? "yes" : std::string(name(outcome)));
                }};
    }
};

} // namespace

// Guards against missing the keys beyond the first page and the changes made while the pages are read.
BOOST_AUTO_TEST_CASE(lists_all_pages_then_watches) {
    recorder seen;
    for (const char* key : {"op/a", "op/b", "op/c", "other/d"}) {
        seen.store.put(key, "1");
    }
    seen.step();
    BOOST_TEST(seen.values.size() == 3U);
    BOOST_TEST(seen.store.calls.size() == 2U);
    seen.store.put("op/c", "2");
    seen.store.remove("op/a");
    seen.step();
    BOOST_TEST(seen.values.at("op/c") == "2");
    BOOST_TEST(!seen.values.contains("op/a"));
    BOOST_TEST(seen.store.calls.back() == "watch");
}

// Guards against missing a change or a removal after the store dropped its history.
BOOST_AUTO_TEST_CASE(lists_again_when_the_history_is_lost) {
    recorder seen;
    seen.store.put("op/a", "1");
    seen.store.put("op/b", "1");
    seen.step();
    seen.store.put("op/a", "2");
    seen.store.remove("op/b");
    seen.store.loses_history = true;
    seen.step();
    seen.step();
    BOOST_TEST(seen.values.at("op/a") == "2");
    BOOST_TEST(!seen.values.contains("op/b"));
}

// Guards against missing the changes during an outage, and against calling the store without a pause.
BOOST_AUTO_TEST_CASE(resumes_after_an_outage) {
    recorder seen;
    seen.store.put("op/a", "1");
    seen.step();
    seen.store.script = {store_outcome::unavailable, store_outcome::unavailable, store_outcome::unknown};
    seen.store.put("op/a", "2");
    for (int attempt = 0; attempt < 3; ++attempt) {
        BOOST_TEST(seen.step() <= prefix_follower_policy().max_delay);
    }
    BOOST_TEST(seen.values.at("op/a") == "1");
    seen.step();
    BOOST_TEST(seen.values.at("op/a") == "2");
    BOOST_TEST(seen.reachable == (std::vector<std::string>{"yes", "unavailable", "yes"}));
}

// Guards against a watch that was sent during an outage and keeps waiting after its end: the first call after a failure
// must have a short timeout. Found by limonada-litoral mix, seed 169119055526: for seconds, no daemon got a
// configuration.
BOOST_AUTO_TEST_CASE(no_long_wait_after_a_failure) {
    recorder seen;
    seen.store.put("op/a", "1");
    seen.step();
    seen.store.script = {store_outcome::unavailable, store_outcome::unavailable};
    for (int call = 0; call < 4; ++call) {
        seen.step();
    }
    BOOST_TEST(seen.store.calls == (std::vector<std::string>{"list", "watch", "list", "list", "watch"}),
               boost::test_tools::per_element());
}

// Guards against one store call per change when many changes follow in quick succession, and against missing changes
// during the delay.
BOOST_AUTO_TEST_CASE(delays_the_watch_after_changes) {
    scripted_store store;
    std::map<std::string, std::string> values;
    prefix_listener listener{[&](const stored_item& item, bool /*is_change*/) { values[item.key] = item.value; },
                             [](const std::string& /*key*/, revision /*removed_in*/) {},
                             [](bool /*is_reachable*/, store_outcome /*outcome*/) {}, [] { return absl::Seconds(1); }};
    absl::BitGen random;
    prefix_follower<scripted_store> follower(store, "op/", std::move(listener));
    BOOST_TEST(follower.step(random) == absl::ZeroDuration());
    store.put("op/a", "1");
    BOOST_TEST(follower.step(random) == absl::Seconds(1));
    store.put("op/a", "2");
    store.put("op/a", "3");
    follower.step(random);
    BOOST_TEST(values.at("op/a") == "3");
    BOOST_TEST(follower.step(random) == absl::ZeroDuration());
    BOOST_TEST(store.calls.size() == 4U);
}

// Guards against a key that stays absent after its lease expired during an outage of the store.
BOOST_AUTO_TEST_CASE(key_is_rewritten_after_its_lease_expired) {
    scripted_store store;
    absl::BitGen random;
    leased_key<scripted_store> kept(store, "mesh/daemons/a", "a");
    kept.step(random);
    const absl::Duration renewal = kept.step(random);
    BOOST_TEST(store.has("mesh/daemons/a"));
    BOOST_TEST(renewal < leased_key_policy().ttl / 2);
    store.expire(store.last_lease());
    BOOST_TEST(!store.has("mesh/daemons/a"));
    BOOST_TEST(kept.step(random) <= leased_key_policy().max_delay);
    BOOST_TEST(!kept.is_written());
    kept.step(random);
    kept.step(random);
    BOOST_TEST(store.has("mesh/daemons/a"));
}

// Guards against taking a write without a response for done: the key must be written again.
BOOST_AUTO_TEST_CASE(write_is_repeated_after_a_lost_response) {
    scripted_store store;
    absl::BitGen random;
    leased_key<scripted_store> kept(store, "k", "v");
    store.script = {store_outcome::ok, store_outcome::unknown};
    kept.step(random);
    kept.step(random);
    BOOST_TEST(!kept.is_written());
    kept.step(random);
    BOOST_TEST(kept.is_written());
    kept.set_value("v");
    BOOST_TEST(kept.is_written());
    kept.set_value("w");
    kept.step(random);
    BOOST_TEST(store.get("k", absl::Seconds(1)).value->value == "w");
}

BOOST_AUTO_TEST_SUITE_END()
