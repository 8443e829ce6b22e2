#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(retry_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

struct retry_row {
    const char* name;
    attempt_outcome outcome;
    const char* method = "GET";
    bool route_is_idempotent = false;
    int attempts = 1;
    int remaining_ms = 100;
    bool body_is_replayable = true;
    double reserve = 2;
    bool is_allowed = false;
    retry_reason reason = retry_reason::answer_began;

    friend std::ostream& operator<<(std::ostream& out, const retry_row& row) {
        return out << row.name;
    }
};

using enum attempt_outcome;
const retry_row retry_rows[] = {
    {.name = "GET, connect failed", .outcome = connect_failed, .is_allowed = true, .reason = retry_reason::not_run},
    {.name = "GET, sent", .outcome = sent_no_answer, .is_allowed = true, .reason = retry_reason::idempotent},
    {.name = "PUT, sent",
     .outcome = sent_no_answer,
     .method = "PUT",
     .is_allowed = true,
     .reason = retry_reason::idempotent},
    {.name = "POST, connect failed",
     .outcome = connect_failed,
     .method = "POST",
     .is_allowed = true,
     .reason = retry_reason::not_run},
    {.name = "POST, refused",
     .outcome = refused_load,
     .method = "POST",
     .is_allowed = true,
     .reason = retry_reason::not_run},
    {.name = "POST, leaving",
     .outcome = refused_leaving,
     .method = "POST",
     .is_allowed = true,
     .reason = retry_reason::not_run},
    {.name = "POST, sent", .outcome = sent_no_answer, .method = "POST", .reason = retry_reason::not_idempotent},
    {.name = "PATCH, sent", .outcome = sent_no_answer, .method = "PATCH", .reason = retry_reason::not_idempotent},
    {.name = "unknown method, sent",
     .outcome = sent_no_answer,
     .method = "get",
     .reason = retry_reason::not_idempotent},
    {.name = "POST on an idempotent route, sent",
     .outcome = sent_no_answer,
     .method = "POST",
     .route_is_idempotent = true,
     .is_allowed = true,
     .reason = retry_reason::idempotent},
    {.name = "GET, answer broken", .outcome = answer_broken},
    {.name = "GET, answered", .outcome = answered},
    {.name = "GET, answered 5xx", .outcome = answered_error},
    {.name = "caller left", .outcome = cancelled, .reason = retry_reason::cancelled},
    {.name = "body consumed",
     .outcome = connect_failed,
     .method = "PUT",
     .body_is_replayable = false,
     .reason = retry_reason::body_consumed},
    {.name = "third attempt", .outcome = connect_failed, .attempts = 3, .reason = retry_reason::too_many_attempts},
    {.name = "no time", .outcome = connect_failed, .remaining_ms = 1, .reason = retry_reason::deadline},
    {.name = "past the deadline", .outcome = connect_failed, .remaining_ms = -5, .reason = retry_reason::deadline},
    {.name = "no budget", .outcome = connect_failed, .reserve = 0, .reason = retry_reason::budget},
};

// Guards against sending a non-idempotent request again although it may have run, and against giving up a request that
// has not run.
BOOST_DATA_TEST_CASE(decides_on_retries, retry_rows, row) {
    retry_budget budget({.reserve = row.reserve});
    const double before = budget.available("s", start);
    const retry_decision decision = retry_policy().decide({.service = "s",
                                                           .method = row.method,
                                                           .route_is_idempotent = row.route_is_idempotent,
                                                           .outcome = row.outcome,
                                                           .body_is_replayable = row.body_is_replayable,
                                                           .deadline = start + absl::Milliseconds(row.remaining_ms),
                                                           .attempts = row.attempts},
                                                          budget, start);
    BOOST_TEST(decision.is_allowed == row.is_allowed);
    BOOST_TEST(name(decision.reason) == name(row.reason));
    BOOST_TEST(before - budget.available("s", start) == (row.is_allowed ? 1.0 : 0.0));
}

// Guards against a burst of retries saved up in a busy period, and against a clock that steps back.
BOOST_AUTO_TEST_CASE(unused_retries_expire) {
    retry_budget budget;
    for (int call = 0; call < 1000; ++call) {
        budget.on_request("s", start);
    }
    BOOST_TEST(std::abs(budget.available("s", start) - 82) < 1e-6);
    BOOST_TEST(std::abs(budget.available("s", start + absl::Seconds(30)) - 2) < 1e-6);
    budget.on_request("s", start + absl::Seconds(30));
    budget.on_request("s", start);
    BOOST_TEST(budget.available("s", start + absl::Seconds(30)) < 2.2);
}

// Guards against a faulty service that uses up the retries of another.
BOOST_AUTO_TEST_CASE(services_have_separate_budgets) {
    retry_budget budget({.reserve = 0});
    for (int call = 0; call < 100; ++call) {
        budget.on_request("tienda", start);
        budget.on_request("deposito", start);
    }
    while (budget.try_spend("tienda", start)) {
    }
    BOOST_TEST(budget.available("deposito", start) > 7.9);
}

struct schedule_result {
    double worst_ratio = 0; ///< Highest ratio of attempts to requests at any time from the 200th request on.
    int unsafe_retries = 0; ///< Retries of requests that may have run and are not idempotent.
};

/// Runs the policy with random requests and failures, including phases in which nearly everything fails.
/// @param treats_all_as_idempotent true to show that the check detects unsafe retries.
schedule_result run_random_schedule(retry_budget budget, std::uint64_t seed, bool treats_all_as_idempotent) {
    constexpr int steps = 100'000;
    constexpr attempt_outcome failures[] = {refused_load,   refused_leaving, connect_failed,
                                            sent_no_answer, answer_broken,   answered_error};
    constexpr const char* methods[] = {"GET", "POST", "PUT", "PATCH"};
    std::mt19937_64 rng(seed);
    const auto draw = [&](int high) { return std::uniform_int_distribution<int>(0, high)(rng); };
    const retry_policy policy({.max_attempts = 10});
    schedule_result result;
    absl::Time now = start;
    double requests = 0;
    double attempts = 0;
    int failure_percent = 0;
    for (int step = 0; step < steps; ++step) {
        if (step % 1000 == 0) {
            failure_percent = draw(2) * 50;
        }
        // Occasionally a pause in which unused retries expire, or a clock that steps back.
        now += draw(999) == 0 ? absl::Seconds(draw(40) - 5) : absl::Microseconds(draw(3000));
        failed_attempt request{.service = draw(1) == 0 ? "tienda" : "deposito",
                               .method = methods[draw(3)],
                               .route_is_idempotent = draw(3) == 0,
                               .deadline = now + absl::Milliseconds(draw(200))};
        const bool may_run_twice = request.route_is_idempotent || request.method == "GET" || request.method == "PUT";
        request.route_is_idempotent = request.route_is_idempotent || treats_all_as_idempotent;
        budget.on_request(request.service, now);
        ++requests;
        ++attempts;
        while (draw(99) < failure_percent) {
            request.outcome = failures[draw(5)];
            if (!policy.decide(request, budget, now).is_allowed) {
                break;
            }
            ++request.attempts;
            ++attempts;
            result.unsafe_retries += !is_not_run(request.outcome) && !may_run_twice ? 1 : 0;
        }
        if (requests >= 200) {
            result.worst_ratio = std::max(result.worst_ratio, attempts / requests);
        }
    }
    return result;
}

constexpr std::uint64_t seeds[] = {1, 2, 3, 4, 5};

// Guards against retry storms during a fault, and against sending a non-idempotent request again although it may have
// run.
BOOST_DATA_TEST_CASE(attempts_stay_bounded_and_safe, boost::unit_test::data::make(seeds), seed) {
    BOOST_TEST_MESSAGE("seed " << seed);
    const schedule_result result = run_random_schedule(retry_budget(), seed, false);
    BOOST_TEST(result.worst_ratio < 1.1);
    BOOST_TEST(result.worst_ratio > 1.05); // The budget is used.
    BOOST_TEST(result.unsafe_retries == 0);
}

// Shows that the check above detects too many retries per request, too large a reserve, and unsafe retries.
BOOST_AUTO_TEST_CASE(the_check_detects_broken_policies) {
    BOOST_TEST(run_random_schedule(retry_budget({.retries_per_request = 0.15}), 1, false).worst_ratio > 1.1);
    BOOST_TEST(run_random_schedule(retry_budget({.reserve = 1000}), 1, false).worst_ratio > 1.1);
    BOOST_TEST(run_random_schedule(retry_budget(), 1, true).unsafe_retries > 0);
}

BOOST_AUTO_TEST_SUITE_END()
