#include "store/publisher.h"

#include "../../bench/store_stand_in.h"
#include "fakes/checked_store.h"
#include "store/call_counter.h"
#include "store/head_reader.h"
#include "store/http_store.h"
#include "store/private/content_hash.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <set>

using namespace amaranthladder;

namespace {

/// Store calls of a publish of version 3 after versions 1 and 2, in order.
enum call_number { get_head, get_index, put_index, put_piece, put_head, get_garbage, put_garbage, reread, trim_index };

/// Returns the fault of the call with the given number; called before the call.
using fault_plan = std::function<step_fault(int)>;

/// Runs one publish to its end, with virtual time that only pauses advance.
result_code run_publish(checked_store& store, publish_request request, const fault_plan& plan) {
    std::mt19937_64 random(1);
    absl::Time now = absl::UnixEpoch();
    const std::string publish_id = request.publish_id;
    publish_run run(std::move(request), now + absl::Seconds(20));
    int number = 0;
    while (const auto step = run.next(now, random)) {
        if (step->kind == store_step::action::pause) {
            now += step->delay;
        } else {
            run.on_reply(store.call(*step, plan(number++)));
        }
    }
    store.check_result(publish_id, run.result().code);
    return run.result().code;
}

result_code run_publish(checked_store& store, const std::string& operator_name, const fault_plan& plan) {
    return run_publish(store, store.edit(operator_name, operator_name + std::to_string(store.version() + 1)), plan);
}

step_fault no_fault(int) {
    return step_fault::none;
}

void publish_two_versions(checked_store& store) {
    BOOST_REQUIRE((run_publish(store, "x", no_fault) == result_code::ok));
    BOOST_REQUIRE((run_publish(store, "y", no_fault) == result_code::ok));
}

/// A fault of one call, or of that call and all later ones.
struct fault_row {
    const char* name;
    call_number call;
    step_fault fault;
    bool is_lasting;
    result_code code;
    bool is_published;

    friend std::ostream& operator<<(std::ostream& out, const fault_row& row) {
        return out << row.name;
    }
};

constexpr auto ok = result_code::ok;
constexpr auto unavailable = result_code::store_unavailable;
constexpr auto unresolved = result_code::publish_unresolved;

const fault_row fault_rows[] = {
    {"read of the head refused", get_head, step_fault::unavailable, false, ok, true},
    {"read of the index refused", get_index, step_fault::unavailable, false, ok, true},
    {"write of the index refused", put_index, step_fault::unavailable, false, ok, true},
    {"write of the index, request lost", put_index, step_fault::request_lost, false, ok, true},
    {"write of the index, response lost", put_index, step_fault::response_lost, false, ok, true},
    {"write of the index delayed", put_index, step_fault::delayed, false, ok, true},
    {"write of a piece refused", put_piece, step_fault::unavailable, false, ok, true},
    {"write of a piece, request lost", put_piece, step_fault::request_lost, false, ok, true},
    {"write of a piece, response lost", put_piece, step_fault::response_lost, false, ok, true},
    {"write of a piece delayed", put_piece, step_fault::delayed, false, ok, true},
    {"write of the head refused", put_head, step_fault::unavailable, false, ok, true},
    {"write of the head, request lost", put_head, step_fault::request_lost, false, ok, true},
    {"write of the head, response lost", put_head, step_fault::response_lost, false, ok, true},
    {"write of the head delayed", put_head, step_fault::delayed, false, ok, true},
    {"read of garbage refused", get_garbage, step_fault::unavailable, false, ok, true},
    {"write of garbage refused", put_garbage, step_fault::unavailable, false, ok, true},
    {"write of garbage, request lost", put_garbage, step_fault::request_lost, false, ok, true},
    {"write of garbage, response lost", put_garbage, step_fault::response_lost, false, ok, true},
    {"write of garbage delayed", put_garbage, step_fault::delayed, false, ok, true},
    {"second read of the index refused", reread, step_fault::unavailable, false, ok, true},
    {"trim of the index refused", trim_index, step_fault::unavailable, false, ok, true},
    {"trim of the index, response lost", trim_index, step_fault::response_lost, false, ok, true},
    {"trim of the index delayed", trim_index, step_fault::delayed, false, ok, true},
    {"down from the read of the head", get_head, step_fault::unavailable, true, unavailable, false},
    {"down from the read of the index", get_index, step_fault::unavailable, true, unavailable, false},
    {"down from the write of the index", put_index, step_fault::unavailable, true, unavailable, false},
    {"down from the write of a piece", put_piece, step_fault::unavailable, true, unavailable, false},
    {"down from the write of the head", put_head, step_fault::unavailable, true, unavailable, false},
    {"down from the read of garbage", get_garbage, step_fault::unavailable, true, ok, true},
    {"down from the write of garbage", put_garbage, step_fault::unavailable, true, ok, true},
    {"down from the trim of the index", trim_index, step_fault::unavailable, true, ok, true},
    {"slow from the read of the head", get_head, step_fault::delayed, true, unavailable, false},
    {"slow from the write of the index", put_index, step_fault::delayed, true, unavailable, false},
    {"slow from the write of a piece", put_piece, step_fault::delayed, true, unavailable, false},
    {"slow from the write of the head", put_head, step_fault::delayed, true, unresolved, true},
    {"responses lost from the write of a piece", put_piece, step_fault::response_lost, true, unavailable, false},
    {"responses lost from the write of the head", put_head, step_fault::response_lost, true, unresolved, true},
    {"requests lost from the write of the head", put_head, step_fault::request_lost, true, unresolved, false},
    {"responses lost from the write of garbage", put_garbage, step_fault::response_lost, true, ok, true},
};

/// Another operator publishes just before a call, which may itself fail.
struct race_row {
    const char* name;
    call_number call;
    step_fault fault;
    result_code code;

    friend std::ostream& operator<<(std::ostream& out, const race_row& row) {
        return out << row.name;
    }
};

constexpr auto raced = result_code::publish_raced;

const race_row race_rows[] = {
    {"before the read of the head", get_head, step_fault::none, raced},
    {"before the read of the index", get_index, step_fault::none, raced},
    {"before the write of the index", put_index, step_fault::none, raced},
    {"before the write of a piece", put_piece, step_fault::none, raced},
    {"before the write of the head", put_head, step_fault::none, raced},
    {"before the read of garbage", get_garbage, step_fault::none, ok},
    {"before the write of garbage", put_garbage, step_fault::none, ok},
    {"before the second read of the index", reread, step_fault::none, ok},
    {"before the trim of the index", trim_index, step_fault::none, ok},
    {"before the read of the head, refused", get_head, step_fault::unavailable, raced},
    {"before the write of the index, response lost", put_index, step_fault::response_lost, raced},
    {"before the write of a piece, request lost", put_piece, step_fault::request_lost, raced},
    {"before the write of a piece, response lost", put_piece, step_fault::response_lost, raced},
    {"before the write of a piece, delayed", put_piece, step_fault::delayed, raced},
    {"before the write of the head, refused", put_head, step_fault::unavailable, raced},
    {"before the write of the head, request lost", put_head, step_fault::request_lost, raced},
    {"before the write of the head, response lost", put_head, step_fault::response_lost, raced},
    {"before the write of the head, delayed", put_head, step_fault::delayed, raced},
};

} // namespace

BOOST_AUTO_TEST_SUITE(publisher_test)

// Guards against a reported result that differs from the real one, for faults at each call of a publish.
BOOST_DATA_TEST_CASE(reports_correct_result_under_faults, fault_rows, row) {
    checked_store store;
    publish_two_versions(store);
    const auto plan = [&row](int number) {
        return number == row.call || (row.is_lasting && number > row.call) ? row.fault : step_fault::none;
    };
    BOOST_TEST(name(run_publish(store, "a", plan)) == name(row.code));
    while (store.delayed_count() > 0) {
        store.apply_delayed(0);
    }
    BOOST_TEST(store.was_published("a3") == row.is_published);
    BOOST_TEST(store.violation() == "");
    // What a failed publish leaves behind does not obstruct the next operator.
    BOOST_TEST((run_publish(store, "b", no_fault) == ok));
    BOOST_TEST(store.violation() == "");
}

// Guards against one operator overwriting the other, for a concurrent publish at each call.
BOOST_DATA_TEST_CASE(concurrent_publish_is_not_overwritten, race_rows, row) {
    checked_store store;
    publish_two_versions(store);
    const auto plan = [&store, &row](int number) {
        if (number != row.call) {
            return step_fault::none;
        }
        BOOST_TEST((run_publish(store, "b", no_fault) == ok));
        return row.fault;
    };
    BOOST_TEST(name(run_publish(store, "a", plan)) == name(row.code));
    while (store.delayed_count() > 0) {
        store.apply_delayed(0);
    }
    BOOST_TEST(store.was_published("a3") == (row.code == ok));
    BOOST_TEST(store.version() == (row.code == ok ? 4U : 3U));
    BOOST_TEST(store.violation() == "");
}

// Guards against reporting an accepted edit as raced: its response was lost, and others published before the publisher
// read the head again.
BOOST_AUTO_TEST_CASE(lost_response_is_resolved_after_others_published) {
    for (int others : {1, 5, 31, 40}) {
        checked_store store;
        publish_two_versions(store);
        const auto plan = [&store, others](int number) {
            if (number == put_head + 1) {
                for (int other = 0; other < others; ++other) {
                    BOOST_TEST((run_publish(store, "b", no_fault) == ok));
                }
            }
            return number == put_head ? step_fault::response_lost : step_fault::none;
        };
        // When the history of the head no longer reaches the version, the outcome is unresolved.
        BOOST_TEST(name(run_publish(store, "a", plan)) == name(others < 32 ? ok : unresolved));
        BOOST_TEST(store.violation() == "");
    }
}

// Guards against pieces that are never garbage-collected.
BOOST_AUTO_TEST_CASE(old_pieces_are_collected) {
    checked_store store;
    for (int number = 0; number < 200; ++number) {
        const auto crash = [number](int call) {
            return number % 3 == 0 && call >= put_head ? step_fault::unavailable : step_fault::none;
        };
        run_publish(store, number % 2 == 0 ? "a" : "b", crash);
    }
    BOOST_TEST(store.version() > 100U);
    BOOST_TEST(store.stored_pieces() <= 4U);
    for (int number = 0; number < 3; ++number) {
        BOOST_TEST((run_publish(store, "a", no_fault) == ok));
    }
    // The pieces of the previous version are kept for readers that have read the previous head.
    BOOST_TEST(store.stored_pieces() == 2U);
    BOOST_TEST(store.violation() == "");
}

// Guards against publishing on a base that the store does not have, for instance after the store lost its data.
BOOST_AUTO_TEST_CASE(base_newer_than_the_store) {
    checked_store store;
    publish_two_versions(store);
    publish_request request = store.edit("a", "a-new");
    request.version = 9;
    BOOST_TEST((run_publish(store, request, no_fault) == result_code::store_conflict));
    checked_store empty;
    BOOST_TEST((run_publish(empty, request, no_fault) == result_code::store_conflict));
}

// Guards against overwriting a head that cannot be parsed.
BOOST_AUTO_TEST_CASE(damaged_head_is_not_overwritten) {
    for (const std::string text : {"", "{}", "[1]", R"({"version": -1})", "nonsense"}) {
        checked_store store;
        store.state().compare_and_swap(config_head_key, 0, text, absl::Seconds(1));
        BOOST_TEST((run_publish(store, "a", no_fault) == result_code::store_bad_answer));
        BOOST_TEST(store.state().get(config_head_key, absl::Seconds(1)).value->value == text);
    }
}

// Guards against pieces over the size limit of the store and against content changed by the transfer over HTTP.
BOOST_AUTO_TEST_CASE(large_content_round_trip) {
    store_stand_in_state state;
    const store_stand_in server(state, {"127.0.0.1", 0}, 4);
    call_counter counter;
    http_store store(server.address(), counter);
    head_reader reader(store);
    BOOST_TEST(!reader.read(absl::Seconds(10)).has_value());
    std::mt19937_64 random(3);
    publish_request request;
    request.version = 1;
    request.bytes.resize(2'500'000);
    for (char& byte : request.bytes) {
        byte = static_cast<char>(random());
    }
    request.hash = content_hash(request.bytes);
    request.publish_id = "p1";
    state.set_faults({.lose_answers = 3});
    BOOST_REQUIRE((publisher(store).publish(request, absl::Seconds(30), random).code == ok));
    const auto content = reader.read(absl::Seconds(10));
    BOOST_REQUIRE(content.has_value());
    BOOST_TEST(content->head.pieces.size() == 3U);
    BOOST_TEST((content->bytes == request.bytes));
    // A head whose hash differs from that of its content must be rejected.
    config_head damaged = content->head;
    damaged.hash[0] = damaged.hash[0] == '0' ? '1' : '0';
    BOOST_CHECK_EXCEPTION(reader.read_pieces(damaged, std::chrono::steady_clock::now() + std::chrono::seconds(10)),
                          error,
                          [](const error& problem) { return problem.code() == result_code::snapshot_hash_mismatch; });
}

BOOST_AUTO_TEST_SUITE_END()
