#include "routing/route_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(route_table_test)

struct lookup {
    const char* name;
    const char* method;
    const char* target;
    const char* route; ///< Empty: refused.
    result_code code = result_code::ok;

    friend std::ostream& operator<<(std::ostream& out, const lookup& row) {
        return out << row.name;
    }
};

const lookup lookups[] = {
    {"exact", "GET", "/orders", "orders"},
    {"below the prefix", "GET", "/orders/7/lines", "orders"},
    {"longest prefix wins", "GET", "/orders/bulk/7", "bulk"},
    {"whole segments only", "GET", "/ordersx", "", result_code::no_route},
    {"part of a deeper segment", "GET", "/orders/bulkhead", "orders"},
    {"trailing slash in the target", "GET", "/orders/", "orders"},
    {"trailing slash in the prefix", "GET", "/stock", "stock"},
    {"query ignored", "GET", "/orders?next=/stock", "orders"},
    {"slash in a query does not make a segment", "GET", "/orders?/bulk", "orders"},
    {"fragment ignored", "GET", "/orders#/bulk", "orders"},
    {"same prefix, other method", "POST", "/orders/7", "orders-write"},
    {"no fallback to a shorter prefix", "DELETE", "/orders/bulk", "", result_code::method_not_allowed},
    {"method is case-sensitive", "get", "/orders", "", result_code::method_not_allowed},
    {"unknown path", "GET", "/prices", "", result_code::no_route},
    {"root", "GET", "/", "", result_code::no_route},
    {"empty target", "GET", "", "", result_code::no_route},
    {"not a path", "GET", "orders", "", result_code::no_route},
    {"asterisk form", "OPTIONS", "*", "", result_code::no_route},
    {"only slashes", "GET", "////////", "", result_code::no_route},
    {"dot segments are not resolved", "GET", "/x/../orders", "", result_code::no_route},
};

route make_route(const char* name, const char* prefix, std::vector<std::string> methods) {
    route made;
    made.name = name;
    made.service = "werkbank";
    made.path_prefix = prefix;
    made.methods = std::move(methods);
    return made;
}

std::shared_ptr<const intended_state> make_state(std::initializer_list<route> routes) {
    auto state = std::make_shared<intended_state>();
    for (const route& one : routes) {
        state->routes[one.name] = one;
    }
    return state;
}

// Guards against requests that reach a service other than the one configured for their prefix and method.
BOOST_DATA_TEST_CASE(finds_routes, lookups, row) {
    const route_table table(
        make_state({make_route("orders", "/orders", {"GET"}), make_route("orders-write", "/orders", {"POST"}),
                    make_route("bulk", "/orders/bulk", {"GET"}), make_route("stock", "/stock/", {})}));
    const route_match found = table.match("h", row.method, row.target);
    BOOST_TEST((found.matched ? found.matched->name : "") == row.route);
    BOOST_TEST(static_cast<int>(found.refusal) == static_cast<int>(row.code));
}

BOOST_AUTO_TEST_CASE(root_prefix_takes_all_paths) {
    const route_table table(make_state({make_route("all", "/", {})}));
    for (const char* target : {"/", "/a", "/a/b/c?d"}) {
        BOOST_TEST(table.match("h", "GET", target).matched != nullptr);
    }
    BOOST_TEST(table.match("h", "GET", "a").matched == nullptr);
}

BOOST_AUTO_TEST_CASE(empty_table_refuses) {
    BOOST_TEST(static_cast<int>(route_table().match("h", "GET", "/a").refusal) ==
               static_cast<int>(result_code::no_route));
}

// Guards against a dangling route when a configuration change replaces the table during a request.
BOOST_AUTO_TEST_CASE(match_outlives_its_table) {
    auto table = std::make_unique<route_table>(make_state({make_route("orders", "/orders", {})}));
    const route_match found = table->match("h", "GET", "/orders/1");
    table.reset();
    BOOST_TEST(found.matched->name == "orders");
}

BOOST_AUTO_TEST_SUITE_END()
