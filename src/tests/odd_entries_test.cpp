#include "fakes/nested_text.h"
#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(odd_entries_test)

namespace {

/// Values that another writer may leave under a key.
std::vector<std::string> odd_values() {
    return {
        "",
        "\n",
        std::string("\xff\xfe\x00\x01", 4),
        nested("[", "", "]", 100'000),
        nested("{\"a\":", "1", "}", 100'000),
        "99999999999999999999999999",
        "1e999",
        "-1",
        R"({"address":"127.0.0.1:99999"})",
        "127.0.0.1:99999\n",
        "127.0.0.1:0\n",
        "0.0.0.0:1\n",
        "255.255.255.255:7\n",
        "[::1]:7\n",
        R"(["tienda","v2",99999999999999999999999,1e308,"running"])",
        R"(["tienda","v2",-1,5,"running"])",
        R"({"service":"tienda","target_version":"v2","duration_s":1e308})",
        R"({"service":"tienda","target_version":"v2","duration_s":99999999999999999999999})",
        R"({"version":"ffffffffffffffffffffffff","routes":[],"services":[]})",
        R"({"version":"0000000b","routes":[{"name":"x","max_attempts":99999999999}],"services":[]})",
        std::string(900'000, '['),
    };
}

} // namespace

// Guards against a daemon that ends, or stops following the store, because another writer has left an entry that cannot
// be read under one of the keys that daemons read.
BOOST_AUTO_TEST_CASE(odd_values_in_the_store_do_no_harm) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(host.announce(1) == 200);
    const std::string own_key = fmt::format("mesh/daemons/{}", to_string(host.peer_address()));
    int sequence = 1;
    int number = 0;
    for (const std::string& value : odd_values()) {
        for (const std::string& key :
             {own_key, fmt::format("mesh/daemons/odd-{}", number), std::string("mesh/orders/tienda"),
              std::string("servers/odd"), fmt::format("op/rollout/odd-{}", number), std::string("op/other")}) {
            store.put(key, value);
        }
        store.put(own_key, "127.0.0.1:1\n" + value);
        ++number;
        if (number % 4 == 0) {
            // A start reads everything anew.
            host.kill();
            host.start();
        }
        BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
        BOOST_REQUIRE_MESSAGE(host.is_running(), host.log());
    }
    BOOST_REQUIRE(host.announce(++sequence) == 200);
    BOOST_TEST(host.wait_for_status("/reads/x", 200));
    put_test_configuration(store, 3);
    BOOST_TEST(host.wait_for_log("configuration-applied version=13"), host.log());
    BOOST_TEST(host.is_running());
}

// Guards against an operator's order that a daemon ignores because the entry with the state of the order cannot be
// read.
BOOST_AUTO_TEST_CASE(order_is_followed_beside_an_odd_record_of_it) {
    platform_store store;
    put_test_configuration(store);
    store.put("mesh/orders/tienda", nested("[", "", "]", 1000));
    store.put("op/rollout/tienda", R"({"service":"tienda","target_version":"v2","duration_s":30})");
    platform_host host(store, 1);
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    BOOST_TEST(host.wait_for_log("order service=tienda to=v2"), host.log());
}

BOOST_AUTO_TEST_SUITE_END()
