#include "routing/server_load.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(server_load_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

struct parse_row {
    const char* text;
    std::optional<server_load_report> expected;

    friend std::ostream& operator<<(std::ostream& out, const parse_row& row) {
        return out << '\'' << row.text << '\'';
    }
};

const parse_row parse_rows[] = {
    {"3,1,12,250", server_load_report{3, 1, 12, 2.5}},
    {"0,0,1", server_load_report{0, 0, 1, std::nullopt}},
    {" 3, 1 ,12 , 62.5", server_load_report{3, 1, 12, 0.625}},
    {"", std::nullopt},
    {"3,1", std::nullopt},
    {"3,1,12,100,7", std::nullopt},
    {"3,1,12,", std::nullopt},
    {"-1,0,12", std::nullopt},
    {"3,1,0", std::nullopt},
    {"3,1,99999999999999999999", std::nullopt},
    {"3,1,12,0", std::nullopt},
    {"3,1,12,nan", std::nullopt},
    {"3,1,12,inf", std::nullopt},
    {"a,b,c", std::nullopt},
};

// Guards against figures from damaged or hostile headers.
BOOST_DATA_TEST_CASE(parses_reports, parse_rows, row) {
    BOOST_CHECK(parse_server_load(row.text) == row.expected);
}

/// An upstream whose neighbour slows it by 2.5 for 0.15 of the time, changing every 600 ms. Its owner predicts the work
/// time of each request.
struct uneven_upstream {
    enum class reports { correct, usual_speed, none };

    explicit uneven_upstream(reports what, double constant_factor = 1) : kind(what), host_factor(constant_factor) {}

    friend std::ostream& operator<<(std::ostream& out, reports value) {
        return out << static_cast<int>(value);
    }

    /// Serves 50 requests a second.
    void run(absl::Duration length) {
        const absl::Time end = now + length;
        absl::Time next_change = now;
        std::lognormal_distribution<double> spread(0, 0.3);
        double recent_s = 0.042 * host_factor;
        double factor = 1;
        for (; now < end; now += absl::Milliseconds(20), ++responses) {
            if (now >= next_change) {
                factor = std::uniform_real_distribution<double>(0, 1)(rng) < 0.15 ? 2.5 : 1;
                next_change += absl::Milliseconds(600);
            }
            const double expected_s = 0.042 * host_factor * factor;
            const absl::Duration usual = load.usual_service_time(absl::Seconds(recent_s), "lookup");
            error += std::abs(std::log(absl::ToDoubleSeconds(usual) * load.work_factor(now) / expected_s));
            error_of_average += std::abs(std::log(recent_s / expected_s));
            std::optional<server_load_report> report;
            if (kind != reports::none) {
                report = server_load_report{3, 0, 12, kind == reports::correct ? factor * host_factor : 1};
            }
            const double work_s = expected_s * spread(rng);
            recent_s += (work_s - recent_s) * 0.05; // As slot_limiter does.
            load.observe(report, "lookup", absl::Seconds(work_s), 3, now);
        }
    }

    reports kind;
    double host_factor; ///< Work of the host relative to others, at all times.
    server_load load;
    std::mt19937_64 rng{1};
    absl::Time now = start;
    double error = 0;            ///< Sum of the errors of the logarithm of the predicted work time.
    double error_of_average = 0; ///< The same for the moving average of the work times.
    int responses = 0;
};

// Guards against a speed that lags behind the upstream's own report of it, and against one that counts a constantly
// slow host twice, once in the service time and once in the speed.
BOOST_DATA_TEST_CASE(follows_correct_reports, boost::unit_test::data::make({0.6, 1.0, 1.7}), host_factor) {
    uneven_upstream upstream(uneven_upstream::reports::correct, host_factor);
    upstream.run(absl::Seconds(60));
    BOOST_TEST_MESSAGE("seed 1, mean error " << upstream.error / upstream.responses << ", of the average "
                                             << upstream.error_of_average / upstream.responses);
    BOOST_TEST(upstream.load.uses_reported_speed(upstream.now));
    BOOST_TEST(upstream.error < 0.7 * upstream.error_of_average);
}

// Guards against an upstream that reports the usual speed while it is slow, and against one that reports nothing: the
// prediction may not be worse than the average of the recent work times.
BOOST_DATA_TEST_CASE(measures_the_speed_without_true_reports,
                     boost::unit_test::data::make({uneven_upstream::reports::usual_speed,
                                                   uneven_upstream::reports::none}),
                     kind) {
    uneven_upstream upstream(kind);
    upstream.run(absl::Seconds(60));
    BOOST_TEST_MESSAGE("seed 1, mean error " << upstream.error / upstream.responses << ", of the average "
                                             << upstream.error_of_average / upstream.responses);
    BOOST_TEST(!upstream.load.uses_reported_speed(upstream.now));
    BOOST_TEST(upstream.error < upstream.error_of_average);
}

// Guards against a slow moment that is remembered after the reports have stopped.
BOOST_AUTO_TEST_CASE(forgets_the_speed_when_reports_stop) {
    server_load load;
    for (int number = 0; number < 50; ++number) {
        load.observe(server_load_report{1, 0, 12, 1}, "lookup", absl::Milliseconds(40), 1,
                     start + absl::Milliseconds(20) * number);
    }
    const absl::Time slow = start + absl::Seconds(1);
    load.observe(server_load_report{1, 0, 12, 2.5}, "lookup", absl::Milliseconds(100), 1, slow);
    BOOST_TEST(load.work_factor(slow) > 2);
    BOOST_TEST(load.work_factor(slow + absl::Milliseconds(600)) < 1.6);
    BOOST_TEST(load.work_factor(slow + absl::Seconds(10)) < 1.05);
}

// Guards against figures of a health check that are ignored while no responses arrive, and against false ones that are
// believed because a health check states them.
BOOST_AUTO_TEST_CASE(reads_health_checks) {
    server_load load;
    for (int number = 0; number < 50; ++number) {
        load.observe(server_load_report{1, 0, 12, 1}, "lookup", absl::Milliseconds(40), 1,
                     start + absl::Milliseconds(20) * number);
    }
    const absl::Time checked = start + absl::Seconds(4);
    BOOST_TEST(!load.uses_reported_speed(checked)); // The last report is 3 s old.
    load.observe_health_check({6, 6, 6, 2.5}, 1, checked);
    BOOST_TEST(load.uses_reported_speed(checked));
    BOOST_TEST(load.work_factor(checked) > 1.2);
    BOOST_TEST(load.load(1, checked) > 1.9);
    for (int number = 0; number < 50; ++number) {
        load.observe_health_check({0, 0, 12, 1}, 12, checked);
    }
    BOOST_TEST(load.is_load_false());
}

// Guards against service times that contain the speed of the moment, which the work factor would count again.
BOOST_AUTO_TEST_CASE(normalises_service_times) {
    server_load load;
    absl::Time now = start;
    double recent_ms = 40;
    for (int number = 0; number < 1000; ++number, now += absl::Milliseconds(20)) {
        load.observe(server_load_report{1, 0, 12, 1}, "lookup", absl::Milliseconds(40), 1, now);
    }
    for (int number = 0; number < 30; ++number, now += absl::Milliseconds(20)) {
        load.observe(server_load_report{1, 0, 12, 2.5}, "lookup", absl::Milliseconds(100), 1, now);
        recent_ms += (100 - recent_ms) * 0.05; // As slot_limiter does.
    }
    const absl::Duration usual = load.usual_service_time(absl::Milliseconds(recent_ms), "lookup");
    BOOST_TEST(absl::ToDoubleMilliseconds(usual * load.work_factor(now)) > 90);
    BOOST_TEST(absl::ToDoubleMilliseconds(usual * load.work_factor(now)) < 115);
}

// Guards against an upstream that reports no load while all its slots are busy, and against one that exaggerates.
BOOST_AUTO_TEST_CASE(judges_reported_load) {
    server_load idle;
    server_load queueing;
    absl::Time now = start;
    for (int number = 0; number < 100; ++number, now += absl::Milliseconds(10)) {
        idle.observe(server_load_report{0, 0, 12}, "lookup", absl::Milliseconds(40), 12, now);
        queueing.observe(server_load_report{6, 6, 6}, "lookup", absl::Milliseconds(40), 12, now);
    }
    BOOST_TEST(idle.is_load_false());
    BOOST_TEST(idle.load(1, now) == 1);
    BOOST_TEST(!queueing.is_load_false());
    BOOST_TEST(queueing.load(1, now) > 1.9); // It uses six slots, not twelve.
    queueing.observe(server_load_report{1'000, 0, 12}, "lookup", absl::Milliseconds(40), 12, now);
    BOOST_TEST(queueing.load(1, now) <= 2);
    BOOST_TEST(queueing.load(1, now + absl::Seconds(5)) < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()
