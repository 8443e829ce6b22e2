#include "common/error.h"
#include "daemon/evacuation_service.h"
#include "daemon/evacuation_table.h"
#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "fakes/scripted_store.h"
#include "platform/intent.h"
#include "store/prefix_follower.h"

#include <absl/random/random.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(evacuation_test)

using names = std::set<std::string>;

namespace {

/// The orders of a daemon that follows a store.
class follower_daemon {
public:
    explicit follower_daemon(scripted_store& followed) : follower(followed, "op/", listener()) {}

    void step() {
        follower.step(random);
    }

    evacuation_table table;
    absl::BitGen random;
    prefix_follower<scripted_store> follower;

private:
    prefix_listener listener() {
        prefix_listener result;
        result.on_item = [this](const stored_item& item, bool /*is_change*/) {
            const auto request = std::get<evacuation_request>(m_format.decode(item));
            table.merge(request.data_center, {request.introduced_in, true});
        };
        result.on_removed = [this](const std::string& key, revision removed_in) {
            table.merge(*m_format.evacuated_data_center(key), {removed_in, false});
        };
        result.on_reachable = [](bool /*is_reachable*/, store_outcome /*outcome*/) {};
        result.on_listed = [this](const names& keys, revision as_of) {
            names listed;
            for (const std::string& key : keys) {
                listed.insert(*m_format.evacuated_data_center(key));
            }
            table.end_missing(listed, as_of);
        };
        return result;
    }

    intent_format m_format = platform::make_intent_format();
};

} // namespace

// Guards against an order that is refused because of its body, and against a key that is taken for an order.
BOOST_AUTO_TEST_CASE(reads_orders) {
    const intent_format format = platform::make_intent_format();
    for (const char* body : {"{}", "", "x"}) {
        const auto read = std::get<evacuation_request>(format.decode({"op/evacuate/rosario-a", body, 41}));
        BOOST_TEST(read.data_center == "rosario-a");
        BOOST_TEST(read.introduced_in == 41U);
    }
    BOOST_CHECK_THROW(format.decode({"op/evacuate/", "{}", 1}), error);
    BOOST_CHECK_THROW(format.decode({"op/evacuate/a/b", "{}", 1}), error);
    BOOST_TEST(!format.evacuated_data_center("op/config"));
}

// Guards against daemons that never agree, and against a late message that restores an ended order or ends a newer one.
BOOST_AUTO_TEST_CASE(records_merge_by_era_and_revision) {
    std::vector<evacuation_record> records;
    for (const revision changed_in : {make_revision(1, 7), make_revision(1, 9), make_revision(2, 3)}) {
        records.push_back({changed_in, true});
        records.push_back({changed_in, false});
    }
    for (std::size_t left = 0; left < records.size(); ++left) {
        BOOST_TEST((evacuation_record::decode(records[left].encode()) == records[left]));
        for (std::size_t right = 0; right < records.size(); ++right) {
            const std::size_t later = std::max(left, right);
            BOOST_TEST((merge(records[left], records[right]) == records[later]));
        }
    }
    for (const char* bytes : {"", "active", "7", "7 gone", "x active", "-1 ended", "7 active "}) {
        BOOST_CHECK_THROW(evacuation_record::decode(bytes), error);
    }
}

// Guards against an order that does not end, or ends another, when its key is removed while a daemon watches.
BOOST_AUTO_TEST_CASE(orders_are_independent_and_end_with_their_keys) {
    scripted_store store;
    follower_daemon daemon(store);
    store.put("op/evacuate/a", "{}");
    daemon.step();
    store.put("op/evacuate/b", "{}");
    daemon.step();
    BOOST_TEST((daemon.table.evacuated() == names{"a", "b"}));
    store.remove("op/evacuate/a");
    daemon.step();
    BOOST_TEST((daemon.table.evacuated() == names{"b"}));
    store.remove("op/evacuate/b");
    store.put("op/evacuate/b", "{}");
    daemon.step();
    BOOST_TEST((daemon.table.evacuated() == names{"b"}));
}

// Guards against an order that never ends: its key was removed while the store's history was lost to this daemon, or
// while it knew of the order from its peers only.
BOOST_AUTO_TEST_CASE(list_ends_orders_whose_keys_are_missing) {
    scripted_store store;
    follower_daemon daemon(store);
    store.put("op/evacuate/a", "{}");
    daemon.step();
    store.remove("op/evacuate/a");
    store.loses_history = true;
    daemon.step();
    BOOST_TEST((daemon.table.evacuated() == names{"a"}));
    daemon.step();
    BOOST_TEST(daemon.table.evacuated().empty());

    follower_daemon started(store);
    started.table.merge("a", {daemon.follower.as_of() - 1, true});
    // An order of which a peer knows, and that was written after the list was read.
    started.table.merge("b", {daemon.follower.as_of() + 1, true});
    started.step();
    BOOST_TEST((started.table.evacuated() == names{"b"}));
}

// Guards against orders of a lost part of the store's history that go before what the restored store holds.
BOOST_AUTO_TEST_CASE(restored_store_decides) {
    evacuation_table table;
    table.merge("lost", {make_revision(1, 90), true});
    table.merge("withdrawn", {make_revision(1, 91), false});
    table.merge("withdrawn", {make_revision(2, 12), true});
    BOOST_TEST((table.end_missing({"withdrawn"}, make_revision(2, 20)) == std::vector<std::string>{"lost"}));
    BOOST_TEST((table.evacuated() == names{"withdrawn"}));
    // A daemon that has not heard of the new era.
    BOOST_TEST(!table.merge("lost", {make_revision(1, 95), true}));
    BOOST_TEST(table.end_missing({}, make_revision(1, 99)).empty());
}

// Guards against records that are not passed on or passed around for ever, and against a data path that misses one.
BOOST_AUTO_TEST_CASE(service_tells_peers_and_data_path) {
    event_log log{event_log_options{log_level::off, "", 64}};
    std::vector<opaque_record> sent;
    std::vector<names> applied;
    evacuation_service service({[&](const opaque_record& record) { sent.push_back(record); },
                                [&](const names& evacuated) { applied.push_back(evacuated); },
                                [](const std::string& /*data_center*/) { return std::size_t{0}; }},
                               log);
    service.merge_remote({"evacuation/a", "5 active"});
    BOOST_TEST(sent.empty());
    service.accept("without-hosts", {6, true});
    service.accept("without-hosts", {6, true});
    service.accept("without-hosts", {7, true}); // Written again: all daemons must know the later revision.
    BOOST_TEST(sent.size() == 2U);
    service.accept_list({"without-hosts"}, 8);
    service.merge_remote({"evacuation/a", "5 active"});
    BOOST_TEST((sent.back() == opaque_record{"evacuation/a", "8 ended"}));
    BOOST_TEST((applied == std::vector<names>{{"a"}, {"a", "without-hosts"}, {"without-hosts"}}));
    BOOST_CHECK_THROW(service.merge_remote({"evacuation/", "5 active"}), error);
    BOOST_CHECK_THROW(service.merge_remote({"evacuation/a", "soon"}), error);
}

enum class ending { removal, restore };

struct ending_row {
    const char* name;
    ending way;

    friend std::ostream& operator<<(std::ostream& out, const ending_row& row) {
        return out << row.name;
    }
};

const ending_row endings[] = {{"its key is removed", ending::removal}, {"the store is restored", ending::restore}};

// Guards against requests that reach an evacuated data centre, also after a restart of its daemon, and against an order
// that does not end. Plays it with real processes.
BOOST_DATA_TEST_CASE(evacuated_data_center_gets_no_requests, endings, row) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.start_upstream());
    store.make_copy();
    store.put("op/evacuate/rosario-a", "{}");
    BOOST_REQUIRE(host.wait_for_status("/reads/x", 503, absl::Seconds(5)));
    host.kill();
    host.start();
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    const auto before = host.upstream.execution_counts();
    BOOST_TEST(host.announce(2) == 200);
    for (int number = 0; number < 50; ++number) {
        const auto answer = host.client().Get("/reads/x");
        BOOST_REQUIRE(answer);
        BOOST_TEST(answer->status == 503);
        absl::SleepFor(absl::Milliseconds(10));
    }
    BOOST_TEST((host.upstream.execution_counts() == before));
    if (row.way == ending::removal) {
        store.remove("op/evacuate/rosario-a");
    } else {
        store.restore_copy();
    }
    host.announce(3);
    BOOST_TEST(host.wait_for_status("/reads/x", 200, absl::Seconds(5)), host.log());
}

// Guards against a daemon that does not hear of an order, because it does not read the store that holds it: from its
// peers it must learn of it, also after a restart, and of its end. Plays it with real processes.
BOOST_AUTO_TEST_CASE(order_reaches_daemons_through_their_peers) {
    platform_store store;
    platform_store other_store;
    put_test_configuration(store);
    put_test_configuration(other_store);
    for (int change = 0; change < 100; ++change) {
        store.put("other/key", "x"); // A list of the other store must be older than the order.
    }
    const platform_host first(store, 1);
    platform_host second(other_store, 2);
    const std::string contact = to_string(first.peer_address());
    other_store.put("mesh/daemons/" + contact, contact + "\n");
    BOOST_REQUIRE(second.wait_for_log("member address=" + contact));
    BOOST_REQUIRE(second.start_upstream());
    store.put("op/evacuate/rosario-a", "{}");
    BOOST_TEST(second.wait_for_status("/reads/x", 503, absl::Seconds(5)));
    BOOST_TEST(second.wait_for_log("source=peer hosts=2 evacuated=1"), second.log());
    second.kill();
    second.start();
    BOOST_REQUIRE(second.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(second.announce(2) == 200);
    absl::SleepFor(absl::Seconds(2));
    BOOST_TEST(second.client().Get("/reads/x")->status == 503);
    store.remove("op/evacuate/rosario-a");
    second.announce(3);
    BOOST_TEST(second.wait_for_status("/reads/x", 200, absl::Seconds(5)), second.log());
}

// Guards against a restarted daemon that gets its configuration from a peer and sends requests to its upstream before
// it has heard of the order. Plays it with real processes.
BOOST_AUTO_TEST_CASE(no_request_precedes_the_order_after_a_restart) {
    platform_store store;
    platform_store other_store;
    put_test_configuration(store);
    for (int change = 0; change < 100; ++change) {
        store.put("other/key", "x"); // A list of the other store must be older than the order.
    }
    const platform_host first(store, 1);
    platform_host second(other_store, 2);
    const std::string contact = to_string(first.peer_address());
    other_store.put("mesh/daemons/" + contact, contact + "\n");
    BOOST_REQUIRE(second.start_upstream());
    store.put("op/evacuate/rosario-a", "{}");
    BOOST_REQUIRE(second.wait_for_status("/reads/x", 503, absl::Seconds(5)));
    const auto before = second.upstream.execution_counts();
    std::uint64_t sequence = 2;
    for (int restart = 0; restart < 5; ++restart) {
        second.kill();
        second.start();
        const absl::Time until = absl::Now() + absl::Seconds(15);
        while (second.announce(sequence) != 200 && absl::Now() < until) {
            absl::SleepFor(absl::Milliseconds(5));
        }
        ++sequence;
        // Until it has its configuration, and for some time longer.
        BOOST_REQUIRE(second.wait_for_status("/reads/x", 503));
        absl::Time has_configuration = absl::InfiniteFuture();
        while (absl::Now() < until && absl::Now() - has_configuration < absl::Milliseconds(500)) {
            second.client().Get("/reads/x");
            const auto answer = second.client().Get("/elsewhere");
            if (has_configuration == absl::InfiniteFuture() && answer && answer->status == 404) {
                has_configuration = absl::Now();
            }
        }
        BOOST_REQUIRE(has_configuration != absl::InfiniteFuture());
    }
    BOOST_TEST((second.upstream.execution_counts() == before), second.log());
}

BOOST_AUTO_TEST_SUITE_END()
