#include "fakes/platform_store.h"

#include "moves/order_table.h"
#include "platform/intent.h"
#include "platform/kv_store.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(restored_order_test)

namespace {

const std::string order_key = "op/rollout/werkbank";
const absl::Time start = absl::FromUnixSeconds(1'000'000);

std::string order_to(const std::string& version) {
    return R"({"service":"werkbank","target_version":")" + version + R"(","duration_s":14})";
}

/// The orders of a daemon that reads them from the store.
struct daemon_orders {
    explicit daemon_orders(const platform_store& served) : store(served.address(), counter) {}

    void read() {
        const auto item = store.get(order_key, absl::Seconds(5));
        if (item.is_ok()) {
            const auto request = std::get<order_request>(platform::make_intent_format().decode(*item.value));
            table.merge({request.service, request.to_version, request.introduced_in, start + request.time_limit,
                         order_report::none});
        }
    }

    void report(order_report outcome) {
        move_order reported = table.orders().at("werkbank");
        reported.reported = outcome;
        table.merge(reported);
    }

    const move_order& held() const {
        return table.orders().at("werkbank");
    }

    call_counter counter;
    platform::kv_store store;
    order_table table{absl::Seconds(2)};
};

} // namespace

// Guards against an order that is dropped, since its revision is lower than that of an order that the store has lost.
BOOST_AUTO_TEST_CASE(order_after_a_restore_replaces_a_lost_one) {
    platform_store served;
    daemon_orders daemon(served);
    served.make_copy();
    for (int others = 0; others < 5; ++others) {
        served.put("op/config", "x");
    }
    served.put(order_key, order_to("v2"));
    daemon.read();
    daemon.report(order_report::rolled_back);
    served.restore_copy();
    served.put(order_key, order_to("v3"));
    daemon.read();
    BOOST_TEST(daemon.held().to_version == "v3");
    BOOST_TEST(daemon.table.moves().size() == 1U);
}

// Guards against a version that was taken back and gets requests again, because the operator writes the order once more
// after the store has lost it.
BOOST_AUTO_TEST_CASE(order_written_again_does_not_begin_anew) {
    platform_store served;
    daemon_orders daemon(served);
    served.make_copy();
    served.put(order_key, order_to("v2"));
    daemon.read();
    daemon.report(order_report::rolled_back);
    served.restore_copy();
    for (int others = 0; others < 5; ++others) {
        served.put("op/config", "x");
    }
    served.put(order_key, order_to("v2"));
    daemon.read();
    BOOST_TEST((daemon.held().reported == order_report::rolled_back));
    BOOST_TEST(daemon.table.moves().empty());
}

// Guards against an order that was replaced and is taken for a new one, because the copy still holds it.
BOOST_AUTO_TEST_CASE(older_order_in_the_copy_does_not_replace_a_lost_one) {
    platform_store served;
    daemon_orders daemon(served);
    served.put(order_key, order_to("v2"));
    daemon.read();
    daemon.report(order_report::completed);
    served.make_copy();
    served.put(order_key, order_to("v3"));
    daemon.read();
    served.restore_copy();
    daemon.read();
    BOOST_TEST(daemon.held().to_version == "v3");
    // The operator writes it again, and later gives another order.
    served.put(order_key, order_to("v3"));
    daemon.read();
    BOOST_TEST(daemon.held().to_version == "v3");
    served.put(order_key, order_to("v2"));
    daemon.read();
    BOOST_TEST(daemon.held().to_version == "v2");
    BOOST_TEST(daemon.table.moves().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
