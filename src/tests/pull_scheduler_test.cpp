#include "peers/pull_scheduler.h"

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(pull_scheduler_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

endpoint peer(int number) {
    return {"127.0.0.1", static_cast<std::uint16_t>(number)};
}

/// Mutation: ignores changes of the current configuration.
struct stale_pull_scheduler : pull_scheduler {
    using pull_scheduler::pull_scheduler;

    bool set_current(const configuration_digest& /*current*/) {
        return true;
    }
};

/// Feeds a pull_scheduler random digests and random pull outcomes.
/// @return a description of the first fault; empty if there is none.
template <typename Scheduler> std::string run_randomly(std::uint64_t seed, int concurrent_pulls) {
    std::mt19937_64 random(seed);
    peer_settings settings;
    settings.concurrent_pulls = concurrent_pulls;
    Scheduler tested(settings);
    std::vector<pull_task> running;
    std::uint64_t current = 0;
    std::uint64_t newest = 0;
    absl::Time now = start;
    const auto finish = [&](bool is_good) {
        const pull_task task = running.front();
        running.erase(running.begin());
        if (is_good) {
            current = std::max(current, task.expected_version);
            tested.set_current({current, ""});
        }
        tested.finish(task, is_good ? pull_outcome::applied : pull_outcome::unreachable, now, random);
    };
    for (int step = 0; step < 30'000; ++step) {
        now += absl::Milliseconds(10);
        newest += absl::Bernoulli(random, 0.01) ? 1 : 0;
        const std::uint64_t announced = newest - std::min<std::uint64_t>(newest, absl::Uniform(random, 0, 4));
        // Drawn one by one: the order in which arguments are evaluated differs between processors.
        const bool is_near = absl::Bernoulli(random, 0.5);
        const int sender = absl::Uniform(random, 1, 20);
        tested.receive_digest(peer(sender), {announced, ""}, is_near, now, random);
        for (const pull_task& task : tested.tick(now, random)) {
            if (task.expected_version <= current) {
                return fmt::format("pulls version {} while version {} is current", task.expected_version, current);
            }
            running.push_back(task);
        }
        if (running.size() > 2) {
            return "more than 2 concurrent pulls";
        }
        if (!running.empty() && absl::Bernoulli(random, 0.02)) {
            finish(absl::Bernoulli(random, 0.5));
        }
    }
    for (int step = 0; step < 3'000 && current != newest; ++step) {
        now += absl::Milliseconds(10);
        tested.receive_digest(peer(1), {newest, ""}, true, now, random);
        for (const pull_task& task : tested.tick(now, random)) {
            running.push_back(task);
        }
        if (!running.empty()) {
            finish(true);
        }
    }
    return current == newest ? std::string() : fmt::format("ends with version {} instead of {}", current, newest);
}

// Guards against pulls of versions that are not newer, too many concurrent pulls, and a pull_scheduler that stops
// pulling.
BOOST_AUTO_TEST_CASE(pulls_only_newer_versions) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(run_randomly<pull_scheduler>(seed, 2) == "");
        }
    }
}

// Mutation check for pulls_only_newer_versions.
BOOST_AUTO_TEST_CASE(detects_mutations) {
    BOOST_TEST(run_randomly<stale_pull_scheduler>(1, 2) != "");
    BOOST_TEST(run_randomly<pull_scheduler>(1, 20) == "more than 2 concurrent pulls");
}

std::vector<pull_task> tick_for(pull_scheduler& tested, absl::Time from, absl::Duration duration,
                                std::mt19937_64& random) {
    std::vector<pull_task> tasks;
    for (absl::Time now = from; now <= from + duration; now += absl::Milliseconds(10)) {
        std::ranges::copy(tested.tick(now, random), std::back_inserter(tasks));
    }
    return tasks;
}

// Guards against repeated pulls of a version that validation has rejected.
BOOST_AUTO_TEST_CASE(rejected_version_is_not_pulled_again) {
    std::mt19937_64 random(1);
    const peer_settings settings;
    pull_scheduler tested(settings);
    tested.receive_digest(peer(1), {5, ""}, true, start, random);
    const auto first = tick_for(tested, start, absl::Seconds(1), random);
    BOOST_REQUIRE(first.size() == 1U);
    tested.finish(first.front(), pull_outcome::rejected, start + absl::Seconds(1), random);
    tested.receive_digest(peer(2), {5, ""}, true, start + absl::Seconds(1), random);
    BOOST_TEST(tick_for(tested, start + absl::Seconds(1), absl::Minutes(1), random).empty());
    tested.receive_digest(peer(2), {6, ""}, true, start + absl::Minutes(2), random);
    BOOST_TEST(tick_for(tested, start + absl::Minutes(2), absl::Seconds(10), random).size() == 1U);
}

// Guards against pulling at every tick from a peer that announces a version but does not provide it.
BOOST_AUTO_TEST_CASE(failing_peer_is_asked_with_backoff) {
    std::mt19937_64 random(1);
    const peer_settings settings;
    pull_scheduler tested(settings);
    int asked = 0;
    for (absl::Time now = start; now < start + absl::Minutes(1); now += absl::Milliseconds(10)) {
        tested.receive_digest(peer(1), {5, ""}, true, now, random);
        for (const pull_task& task : tested.tick(now, random)) {
            ++asked;
            tested.finish(task, pull_outcome::applied, now, random);
        }
    }
    BOOST_TEST(asked >= 10);
    BOOST_TEST(asked <= 40);
}

// Guards against a hanging peer that delays a version until its call times out.
BOOST_AUTO_TEST_CASE(other_peers_are_asked_when_one_hangs) {
    std::mt19937_64 random(1);
    const peer_settings settings;
    pull_scheduler tested(settings);
    tested.receive_digest(peer(1), {5, ""}, false, start, random);
    tested.receive_digest(peer(2), {5, ""}, true, start, random);
    tested.receive_digest(peer(3), {5, ""}, false, start, random);
    const auto tasks = tick_for(tested, start, absl::Seconds(10), random);
    BOOST_REQUIRE(tasks.size() == 3U);
    BOOST_TEST((tasks[0].peer == peer(2)));
    BOOST_TEST((tasks[1].peer != tasks[0].peer));
    BOOST_TEST((tasks[2].peer != tasks[0].peer));
    BOOST_TEST((tasks[2].peer != tasks[1].peer));
}

// Guards against a version that is late because several peers cannot be reached in turn, as when a third of the fleet
// is cut off: a configuration must be in force within 2.5 s.
BOOST_AUTO_TEST_CASE(unreachable_peers_do_not_delay_others) {
    std::mt19937_64 random(1);
    const peer_settings settings;
    pull_scheduler tested(settings);
    for (int number = 1; number <= 10; ++number) {
        tested.receive_digest(peer(number), {5, ""}, true, start, random);
    }
    int asked = 0;
    for (absl::Time now = start; now < start + absl::Milliseconds(2500) && asked < 8; now += absl::Milliseconds(10)) {
        for (const pull_task& task : tested.tick(now, random)) {
            ++asked;
            tested.finish(task, pull_outcome::unreachable, now, random);
        }
    }
    BOOST_TEST(asked == 8);
}

BOOST_AUTO_TEST_SUITE_END()
