#include "config/snapshot_delta.h"

#include "common/error.h"
#include "tests/test_seed.h"

#include <absl/random/distributions.h>
#include <absl/random/random.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(snapshot_delta_test)

std::shared_ptr<const snapshot> make(std::uint64_t version, intended_state state) {
    return snapshot::create(version, absl::FromUnixMillis(1'800'000'000'000), fmt::format("p{}", version),
                            std::move(state));
}

/// @return a state of @p count services and as many routes, each in a section of six lines.
intended_state make_state(int count) {
    intended_state state;
    for (int i = 0; i < count; ++i) {
        const std::string name = fmt::format("s{:04}", i);
        state.services[name] = {name, absl::Seconds(3), 16, {"10-services.ini", 1 + 6 * i}};
        state.routes[name] = {name,
                              name,
                              "/" + name,
                              {"GET"},
                              route_kind::idempotent,
                              absl::ZeroDuration(),
                              {"20-routes.ini", 1 + 6 * i}};
    }
    return state;
}

result_code code_of_apply(const snapshot* base, std::string_view bytes) {
    try {
        snapshot_delta::apply(base, bytes);
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

struct change_row {
    const char* name;
    void (*change)(intended_state&);
    std::size_t max_bytes; ///< Size limit of the update; a full update has about 11,000 bytes.

    friend std::ostream& operator<<(std::ostream& out, const change_row& row) {
        return out << row.name;
    }
};

void insert_lines(intended_state& state, int from_line, int count) {
    for (auto& [name, value] : state.services) {
        value.origin.line += value.origin.line >= from_line ? count : 0;
    }
}

const change_row change_rows[] = {
    {"nothing", [](intended_state&) {}, 400},
    {"one value", [](intended_state& s) { s.services["s0050"].queue_limit = 1; }, 400},
    {"service added",
     [](intended_state& s) {
         s.services["t"] = {"t", absl::Seconds(1), 1, {"30-more.ini", 1}};
     },
     400},
    {"service and route removed",
     [](intended_state& s) {
         s.services.erase("s0007");
         s.routes.erase("s0007");
     },
     400},
    {"share and move added",
     [](intended_state& s) {
         s.shares["s0001"] = {"s0001", {{"1", 1}}, {"30-more.ini", 1}};
         s.moves["m"] = {"m", "s0001", "1", "2", absl::FromUnixSeconds(1), 2, {"30-more.ini", 3}};
     },
     500},
    {"lines inserted at the top", [](intended_state& s) { insert_lines(s, 0, 3); }, 400},
    {"lines inserted, removed and a value changed",
     [](intended_state& s) {
         insert_lines(s, 100, 3);
         insert_lines(s, 300, -2);
         s.services["s0050"].queue_limit = 1;
     },
     500},
    {"section moved to another file", [](intended_state& s) { s.services["s0003"].origin.file = "40.ini"; }, 400},
    {"everything",
     [](intended_state& s) {
         for (auto& [name, value] : s.services) {
             value.queue_limit = 1;
         }
         for (auto& [name, value] : s.routes) {
             value.kind = route_kind::by_method;
         }
     },
     20'000},
    {"emptied", [](intended_state& s) { s = {}; }, 400},
};

// Guards against a delta that loses a change, and against one whose size grows with the state instead of the change.
BOOST_DATA_TEST_CASE(update_leads_to_the_target, change_rows, row) {
    const auto base = make(1, make_state(100));
    intended_state state = make_state(100);
    row.change(state);
    const auto target = make(2, state);
    const std::string update = snapshot_delta::encode(base.get(), *target);
    BOOST_TEST(update.size() <= row.max_bytes);
    BOOST_TEST(snapshot_delta::apply(base.get(), update)->canonical_bytes() == target->canonical_bytes());
    BOOST_TEST(update.size() <= snapshot_delta::encode(nullptr, *target).size());
}

// Guards against applying a delta to another base, and against requiring a base for a full update.
BOOST_AUTO_TEST_CASE(base_must_match) {
    const auto base = make(1, make_state(100));
    const auto other = make(1, make_state(99));
    const auto later = make(2, make_state(98));
    const auto target = make(3, make_state(97));
    const std::string delta = snapshot_delta::encode(base.get(), *target);
    BOOST_TEST((code_of_apply(nullptr, delta) == result_code::snapshot_base_mismatch));
    BOOST_TEST((code_of_apply(other.get(), delta) == result_code::snapshot_base_mismatch));
    BOOST_TEST((code_of_apply(later.get(), delta) == result_code::snapshot_base_mismatch));
    for (const snapshot* held : {static_cast<const snapshot*>(nullptr), base.get(), target.get()}) {
        const std::string full = snapshot_delta::encode(nullptr, *later);
        BOOST_TEST(snapshot_delta::apply(held, full)->hash() == later->hash());
    }
    BOOST_TEST(snapshot_delta::encode(target.get(), *later) == snapshot_delta::encode(nullptr, *later));
}

struct malformed_row {
    const char* name;
    std::string rows; ///< Appended to the header of an update from the base to version 2.

    friend std::ostream& operator<<(std::ostream& out, const malformed_row& row) {
        return out << row.name;
    }
};

const malformed_row malformed_rows[] = {
    {"removal of an absent section", "[\"remove\",\"service\",\"x\"]\n"},
    {"removal of an unknown kind", "[\"remove\",\"file\",\"s0001\"]\n"},
    {"removal twice", "[\"remove\",\"route\",\"s0001\"]\n[\"remove\",\"route\",\"s0001\"]\n"},
    {"removal without a name", "[\"remove\",\"service\"]\n"},
    {"removal with more", "[\"remove\",\"service\",\"s0001\",1]\n"},
    {"shift after a removal", "[\"remove\",\"service\",\"s0001\"]\n[\"shift\",\"10-services.ini\",1,1]\n"},
    {"shift below line 0", "[\"shift\",\"10-services.ini\",1,-2]\n"},
    {"shift beyond every line", "[\"shift\",\"10-services.ini\",1,2147483647]\n"},
    {"shift with a text", "[\"shift\",\"10-services.ini\",\"1\",1]\n"},
    {"unknown kind", "[\"upsert\"]\n"},
    {"empty row", "[]\n"},
    {"no JSON", "x\n"},
    {"last row cut", "[\"remove\",\"service\",\"s0001\"]"},
};

// Guards against a decoder that applies a damaged update in part.
BOOST_DATA_TEST_CASE(refuses_malformed_updates, malformed_rows, row) {
    const auto base = make(1, make_state(10));
    const std::string header =
        fmt::format("[\"amaranthladder-update\",3,1,\"{}\",2,\"{}\",0,\"p\"]\n", base->hash(), std::string(64, '0'));
    BOOST_TEST((code_of_apply(base.get(), header) == result_code::snapshot_hash_mismatch));
    BOOST_TEST((code_of_apply(base.get(), header + row.rows) == result_code::snapshot_malformed));
}

const char* const malformed_headers[] = {"",
                                         "\n",
                                         "[]\n",
                                         "[\"amaranthladder-update\",3,2,\"\",2,\"\",0,\"p\"]\n",
                                         "[\"amaranthladder-update\",3,0,\"\",0,\"\",0,\"p\"]\n",
                                         "[\"amaranthladder-update\",4,0,\"\",1,\"\",0,\"p\"]\n",
                                         "[\"amaranthladder-update\",1,0,\"\",1,\"\",0,\"p\"]\n",
                                         "[\"amaranthladder-snapshot\",1,1,0,\"p\"]\n"};

BOOST_DATA_TEST_CASE(refuses_malformed_headers, malformed_headers, bytes) {
    BOOST_TEST((code_of_apply(nullptr, bytes) == result_code::snapshot_malformed));
}

// Guards against a damaged update that results in a state other than the published one.
BOOST_AUTO_TEST_CASE(no_damaged_update_is_applied) {
    const std::uint32_t seed = test_seed();
    BOOST_TEST_CONTEXT("TEST_SEED=" << seed) {
        std::mt19937 random(seed);
        const auto base = make(1, make_state(5));
        intended_state state = make_state(6);
        insert_lines(state, 0, 1);
        const auto target = make(2, state);
        const std::string update = snapshot_delta::encode(base.get(), *target);
        for (int i = 0; i < 20'000; ++i) {
            std::string damaged = update;
            for (int damage = absl::Uniform(random, 1, 4); damage > 0; --damage) {
                damaged[absl::Uniform<std::size_t>(random, 0, damaged.size())] = static_cast<char>(random());
            }
            damaged.resize(absl::Bernoulli(random, 0.2) ? absl::Uniform<std::size_t>(random, 0, damaged.size())
                                                        : damaged.size());
            try {
                BOOST_REQUIRE(snapshot_delta::apply(base.get(), damaged)->hash() == target->hash());
            } catch (const error&) {
                continue;
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
