#include "store/bootstrap_list.h"

#include "../../bench/store_stand_in_state.h"
#include "common/error.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace amaranthladder;

namespace {

constexpr absl::Duration limit = absl::Seconds(1);

std::vector<endpoint> daemons(int first, int count) {
    std::vector<endpoint> result;
    for (int number = first; number < first + count; ++number) {
        result.push_back({"127.0.0.1", static_cast<std::uint16_t>(7000 + number)});
    }
    return result;
}

const char* const damaged_lists[] = {
    "", "{}", "[]", R"({"endpoints": 1})", R"({"endpoints": ["localhost:1"]})", R"({"endpoints": [1]})"};

} // namespace

BOOST_AUTO_TEST_SUITE(bootstrap_list_test)

// Guards against a list that grows with the data centre, is rewritten for each change or keeps dead entries.
BOOST_AUTO_TEST_CASE(is_written_when_it_is_outdated) {
    std::mt19937_64 random(1);
    store_stand_in_state store;
    BOOST_TEST(read_bootstrap_list(store, "nord", limit).empty());
    BOOST_TEST(update_bootstrap_list(store, "nord", daemons(0, 100), limit, random));
    const auto first = read_bootstrap_list(store, "nord", limit);
    BOOST_TEST(first.size() == bootstrap_list::max_endpoints);
    BOOST_TEST(update_bootstrap_list(store, "nord", daemons(0, 100), limit, random));
    BOOST_TEST(update_bootstrap_list(store, "nord", first, limit, random));
    BOOST_TEST(store.counts().put == 1U);
    BOOST_TEST(update_bootstrap_list(store, "nord", daemons(200, 3), limit, random));
    BOOST_TEST(store.counts().put == 2U);
    BOOST_TEST(read_bootstrap_list(store, "nord", limit).size() == 3U);
    store_faults faults;
    faults.is_down = true;
    store.set_faults(faults);
    BOOST_TEST(!update_bootstrap_list(store, "nord", daemons(0, 100), limit, random));
    BOOST_TEST(read_bootstrap_list(store, "nord", limit).empty());
}

// Guards against a daemon that fails on a damaged list, and against a damaged list that is never replaced.
BOOST_DATA_TEST_CASE(damaged_lists_are_replaced, damaged_lists, text) {
    std::mt19937_64 random(1);
    store_stand_in_state store;
    BOOST_REQUIRE(store.compare_and_swap(bootstrap_list_key("nord"), 0, text, limit).is_ok());
    BOOST_CHECK_THROW(bootstrap_list::parse(text), error);
    BOOST_TEST(read_bootstrap_list(store, "nord", limit).empty());
    BOOST_TEST(update_bootstrap_list(store, "nord", daemons(0, 2), limit, random));
    BOOST_TEST(read_bootstrap_list(store, "nord", limit).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
