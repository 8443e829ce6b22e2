#include "routing/transit_delay.h"

#include "fakes/two_daemons.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(transit_delay_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

/// An entry whose clock differs from the owner's.
struct entry_clock {
    std::uint64_t process = 1;
    absl::Duration ahead;

    send_stamp stamp(absl::Time sent) const {
        return {process, absl::ToUnixMillis(sent + ahead)};
    }
};

/// Sends a request each 20 ms; between the third and the fourth second, the link is full and holds each for @p queued.
/// @return the largest delay that was reported before, while and after the link is full.
std::array<absl::Duration, 3> play_full_link(transit_delay_estimator& subject, const entry_clock& entry,
                                             absl::Duration queued) {
    std::array<absl::Duration, 3> largest{};
    for (int request = 0; request < 350; ++request) {
        const absl::Time sent = start + absl::Milliseconds(20) * request;
        const bool is_full = request >= 150 && request < 200;
        const absl::Duration transit = absl::Milliseconds(2 + request % 4) + (is_full ? queued : absl::ZeroDuration());
        const absl::Duration delay = subject.observe(entry.stamp(sent), sent + transit);
        absl::Duration& phase = largest[is_full ? 1 : (request < 150 ? 0 : 2)];
        phase = std::max(phase, delay);
    }
    return largest;
}

struct clock_row {
    const char* name;
    absl::Duration ahead;

    friend std::ostream& operator<<(std::ostream& out, const clock_row& row) {
        return out << row.name;
    }
};

const clock_row clock_rows[] = {
    {"equal clocks", absl::ZeroDuration()},
    {"the sender's clock is an hour ahead", absl::Hours(1)},
    {"the sender's clock is a day behind", absl::Hours(-24)},
};

// Guards against nested calls that are sent to an upstream after their callers have given up: on hosts with a link of
// 13 Mbit/s, requests wait behind uploads for longer than the 500 ms that they have.
BOOST_DATA_TEST_CASE(measures_a_full_link, clock_rows) {
    transit_delay_estimator subject;
    const auto [before, during, after] = play_full_link(subject, {1, sample.ahead}, absl::Milliseconds(800));
    BOOST_TEST((before == absl::ZeroDuration()));
    BOOST_TEST(absl::ToDoubleMilliseconds(during) >= 795);
    BOOST_TEST(absl::ToDoubleMilliseconds(during) <= 805);
    BOOST_TEST((after == absl::ZeroDuration()));
}

// Guards against deadlines that are cut short by clocks of different speeds.
BOOST_AUTO_TEST_CASE(drift_is_no_delay) {
    transit_delay_estimator subject;
    constexpr double drift = 500e-6;
    for (int second = 0; second < 3600; ++second) {
        const absl::Time now = start + absl::Seconds(second);
        const entry_clock slow{1, -drift * absl::Seconds(second)};
        BOOST_REQUIRE((subject.observe(slow.stamp(now), now + absl::Milliseconds(2)) == absl::ZeroDuration()));
    }
}

// Guards against a delay that is computed from the clock of an earlier process at the same host.
BOOST_AUTO_TEST_CASE(restarted_sender_starts_anew) {
    transit_delay_estimator subject;
    play_full_link(subject, {1, absl::ZeroDuration()}, absl::ZeroDuration());
    const entry_clock restarted{2, absl::Hours(-1)};
    const absl::Time now = start + absl::Seconds(10);
    BOOST_TEST((subject.observe(restarted.stamp(now), now) == absl::ZeroDuration()));
}

// Guards against a reference that is too old, and against one that never recovers from a route that has become longer.
BOOST_AUTO_TEST_CASE(reference_expires) {
    transit_delay_estimator subject;
    const entry_clock entry;
    subject.observe(entry.stamp(start), start);
    const absl::Time later = start + absl::Minutes(5);
    BOOST_TEST((subject.observe(entry.stamp(later), later + absl::Seconds(1)) == absl::ZeroDuration()));
    absl::Duration delay;
    for (int second = 0; second < 130; ++second) {
        const absl::Time now = later + absl::Seconds(second);
        delay = subject.observe(entry.stamp(now), now + absl::Seconds(2));
    }
    BOOST_TEST((delay == absl::ZeroDuration()));
}

// Guards against memory that grows with the processes that have ever sent a request.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    transit_delay_policy policy;
    policy.max_senders = 100;
    transit_delay_estimator subject(policy);
    for (std::uint64_t process = 0; process < 1000; ++process) {
        const absl::Time now = start + absl::Seconds(process);
        subject.observe({process, absl::ToUnixMillis(now)}, now);
        BOOST_REQUIRE(subject.size() <= 100U);
    }
    const absl::Time now = start + absl::Seconds(1001);
    subject.observe({5000, absl::ToUnixMillis(now)}, now);
    const absl::Time next = now + absl::Seconds(1);
    BOOST_TEST((subject.observe({5000, absl::ToUnixMillis(now)}, next) == absl::Seconds(1)));
}

// Guards against a stamp that does not survive the way, and against malformed ones that end a request.
BOOST_AUTO_TEST_CASE(stamps_are_parsed_exactly) {
    const send_stamp stamp{0xfedcba9876543210ULL, 1'700'000'000'123};
    BOOST_TEST((parse_send_stamp(to_string(stamp)) == stamp));
    for (const char* const text :
         {"", ":", "1", "1:", ":1", "x:1", "1:x", "1:1 ", "11111111111111111:1", "1:99999999999999999999", "-1:1"}) {
        BOOST_TEST(!parse_send_stamp(text), text);
    }
}

/// Sends a request as an entry does, with 500 ms left when it was sent.
std::string send_as_entry(const two_daemons& mesh, const std::string& id, absl::Duration age) {
    const std::string sent = to_string(send_stamp{7, absl::ToUnixMillis(mesh.clock.now() - age)});
    return send_raw(mesh.owner->address(),
                    fmt::format("GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nx-amaranthladder-mesh: litoral\r\n"
                                "x-amaranthladder-upstream: tienda-1\r\nx-amaranthladder-route: orders\r\n"
                                "x-amaranthladder-request-id: {}\r\nx-amaranthladder-deadline-ms: 500\r\n"
                                "x-amaranthladder-sent: {}\r\n\r\n",
                                id, sent));
}

// Guards against an owner that gives an upstream more time than remains, or runs a request whose caller has left.
BOOST_AUTO_TEST_CASE(owner_refuses_what_arrives_too_late) {
    const two_daemons mesh;
    BOOST_TEST(send_as_entry(mesh, "first", absl::ZeroDuration()).starts_with("HTTP/1.1 200"));
    BOOST_TEST(send_as_entry(mesh, "delayed", absl::Milliseconds(200)).starts_with("HTTP/1.1 200"));
    const std::string late = send_as_entry(mesh, "late", absl::Milliseconds(700));
    BOOST_TEST(late.find("x-amaranthladder-code: 1410") != std::string::npos, late);
    BOOST_TEST(late.find("x-amaranthladder-outcome: not-run") != std::string::npos, late);
    const auto ran = mesh.upstream.execution_counts();
    BOOST_TEST(ran.contains("first"));
    BOOST_TEST(ran.contains("delayed"));
    BOOST_TEST(!ran.contains("late"));
}

BOOST_AUTO_TEST_SUITE_END()
