#include "moves_simulation.h"

#include <utility>

namespace amaranthladder::bench {

namespace {

using behavior_function = std::function<version_behavior(const call_context&)>;

/// @return the behaviour in which the new version shows @p fault from a fraction of the window on.
behavior_function new_version_from(double fraction, version_behavior fault) {
    return [=](const call_context& call) {
        const bool is_active =
            call.side == move_side::new_version && call.elapsed_seconds >= fraction * call.window_seconds;
        return is_active ? fault : version_behavior{};
    };
}

/// @return the behaviour in which both versions show @p fault between two fractions of the window.
behavior_function both_versions_between(double from, double to, version_behavior fault) {
    return [=](const call_context& call) {
        const bool is_active =
            call.elapsed_seconds >= from * call.window_seconds && call.elapsed_seconds < to * call.window_seconds;
        return is_active ? fault : version_behavior{};
    };
}

scenario good_version(std::string name) {
    scenario row;
    row.name = std::move(name);
    return row;
}

scenario bad_version(std::string name, behavior_function behavior, bool is_slow = false) {
    scenario row;
    row.name = std::move(name);
    row.expected = expected_outcome::rolled_back;
    row.behavior = std::move(behavior);
    row.is_slow_fault = is_slow;
    return row;
}

scenario with_traffic(scenario row, double calls_per_second, absl::Duration window) {
    row.calls_per_second = calls_per_second;
    row.window = window;
    return row;
}

scenario with_owners(scenario row, std::size_t old_owners, std::size_t new_owners) {
    row.old_owners = old_owners;
    row.new_owners = new_owners;
    return row;
}

scenario with_store_down(scenario row) {
    row.is_store_down = true;
    return row;
}

scenario with_clock_offset(scenario row, double seconds) {
    row.clock_offset_seconds = seconds;
    return row;
}

scenario with_interruption(scenario row, interruption fault) {
    row.interruptions.push_back(std::move(fault));
    return row;
}

const version_behavior failing{0.95, 0, 1};
const version_behavior slow{0.001, 0, 2};

behavior_function only_under_load(version_behavior fault, double threshold = 0.3) {
    return [=](const call_context& call) {
        return call.side == move_side::new_version && call.new_version_share > threshold ? fault : version_behavior{};
    };
}

behavior_function only_on_route(version_behavior fault) {
    return [=](const call_context& call) {
        return call.side == move_side::new_version && call.route == 3 ? fault : version_behavior{};
    };
}

bool is_even(std::size_t daemon) {
    return daemon % 2 == 0;
}

scenario partitioned_bad_version() {
    // The fault occurs on the hosts of one side only, so the other side continues the move until the partition heals.
    scenario row = bad_version("partitioned regions, fault in one", [](const call_context& call) {
        return call.side == move_side::new_version && is_even(call.owner) ? failing : version_behavior{};
    });
    return with_interruption(row, {interruption::fault_kind::partition, 0.1, 0.7, is_even});
}

void add_good_rows(std::vector<scenario>& rows) {
    using fault_kind = interruption::fault_kind;
    rows.push_back(good_version("good"));
    rows.push_back(with_store_down(good_version("good, store down throughout")));
    rows.push_back(with_traffic(good_version("good, 10 min"), 100, absl::Minutes(10)));
    rows.push_back(with_traffic(good_version("good, 1 h"), 20, absl::Hours(1)));
    rows.push_back(with_owners(with_traffic(good_version("good, 1 day"), 2, absl::Hours(24)), 2, 2));
    rows.push_back(with_traffic(good_version("good, 3,000 calls/s"), 3'000, absl::Minutes(1)));
    rows.push_back(with_traffic(good_version("good, 1 call/min, 1 h"), 1.0 / 60, absl::Hours(1)));
    rows.push_back(with_traffic(good_version("good, 1 call/min, 1 min"), 1.0 / 60, absl::Minutes(1)));
    rows.push_back(with_clock_offset(good_version("good, clocks off by 3 s"), 3));
    scenario both_fail = good_version("good, old fails 5% too");
    both_fail.behavior = [](const call_context&) { return version_behavior{0.05, 0, 1}; };
    rows.push_back(both_fail);
    scenario old_fails = good_version("good, old fails 40%");
    old_fails.behavior = [](const call_context& call) {
        return call.side == move_side::old_version ? version_behavior{0.4, 0, 1} : version_behavior{};
    };
    rows.push_back(old_fails);
    scenario outage = good_version("good, both fail for 8 s");
    outage.behavior = both_versions_between(0.3, 0.43, failing);
    rows.push_back(outage);
    scenario short_outage = good_version("good, both fail for 1 s");
    short_outage.behavior = both_versions_between(0.3, 0.317, failing);
    rows.push_back(short_outage);
    scenario slow_outage = good_version("good, both slow for 12 s");
    slow_outage.behavior = both_versions_between(0.25, 0.45, {0.001, 0, 4});
    rows.push_back(slow_outage);
    scenario watch_outage = good_version("good, both fail for 8 s in the watch");
    watch_outage.behavior = both_versions_between(0.8, 0.93, failing);
    rows.push_back(watch_outage);
    scenario long_outage = good_version("good, both fail past the deadline");
    long_outage.expected = expected_outcome::done;
    long_outage.behavior = both_versions_between(0.3, 1.2, failing);
    rows.push_back(long_outage);
    scenario flapping = good_version("good, health flaps");
    for (double from = 0.05; from < 1; from += 0.1) {
        flapping = with_interruption(
            flapping, {fault_kind::reported_down, from, from + 0.05, [](std::size_t daemon) { return daemon >= 7; }});
    }
    rows.push_back(flapping);
    rows.push_back(with_interruption(with_store_down(good_version("good, half of the daemons killed, store down")),
                                     {fault_kind::restart, 0.3, 0.31, is_even}));
    rows.push_back(with_interruption(good_version("good, all daemons killed"),
                                     {fault_kind::restart, 0.3, 0.31, [](std::size_t) { return true; }}));
    rows.push_back(with_interruption(
        good_version("good, daemons paused for 20 s"),
        {fault_kind::pause, 0.2, 0.53, [](std::size_t daemon) { return daemon == 1 || daemon == 6; }}));
    rows.push_back(
        with_interruption(good_version("good, partitioned for 30 s"), {fault_kind::partition, 0.1, 0.6, is_even}));
}

void add_bad_rows(std::vector<scenario>& rows) {
    using fault_kind = interruption::fault_kind;
    rows.push_back(bad_version("fails at once", new_version_from(0, failing)));
    rows.push_back(bad_version("fails 30% at once", new_version_from(0, {0.3, 0, 1})));
    rows.push_back(bad_version("fails 10% at once", new_version_from(0, {0.1, 0, 1})));
    rows.push_back(bad_version("fails later, while growing", new_version_from(0.35, failing)));
    rows.push_back(bad_version("fails later, in the watch", new_version_from(0.95, failing)));
    rows.push_back(bad_version("fails only under load", only_under_load({0.5, 0, 1})));
    rows.push_back(bad_version("fails only on one route", only_on_route(failing)));
    rows.push_back(bad_version("refuses 30%", new_version_from(0, {0.001, 0.3, 1})));
    rows.push_back(bad_version("fails, old fails 10% too", [](const call_context& call) {
        return call.side == move_side::new_version ? failing : version_behavior{0.1, 0, 1};
    }));
    rows.push_back(with_store_down(bad_version("fails at once, store down throughout", new_version_from(0, failing))));
    rows.push_back(
        with_clock_offset(bad_version("fails later, clocks off by 3 s", new_version_from(0.35, failing)), 3));
    rows.push_back(with_traffic(bad_version("fails at once, 3,000 calls/s", new_version_from(0, failing)), 3'000,
                                absl::Minutes(1)));
    rows.push_back(with_traffic(bad_version("fails at once, 1 call/min, 1 h", new_version_from(0, failing)), 1.0 / 60,
                                absl::Hours(1)));
    rows.push_back(with_traffic(bad_version("fails at once, 1 call/min, 1 min", new_version_from(0, failing)), 1.0 / 60,
                                absl::Minutes(1)));
    rows.push_back(with_traffic(bad_version("fails later, 1 h", new_version_from(0.35, failing)), 20, absl::Hours(1)));
    rows.push_back(with_owners(
        with_traffic(bad_version("fails later, 1 day", new_version_from(0.35, failing)), 2, absl::Hours(24)), 2, 2));
    rows.push_back(with_interruption(
        with_store_down(bad_version("fails, all owners of it killed at the verdict", new_version_from(0.35, failing))),
        {fault_kind::restart, 0.37, 0.38, [](std::size_t daemon) { return daemon >= 5; }}));
    rows.push_back(with_interruption(
        bad_version("fails, a daemon paused before the verdict resumes", new_version_from(0.35, failing)),
        {fault_kind::pause, 0.3, 0.8, [](std::size_t daemon) { return daemon == 1 || daemon == 6; }}));
    scenario misreported_health = bad_version("fails, health says well", new_version_from(0, failing));
    misreported_health = with_interruption(
        misreported_health, {fault_kind::reported_down, 0, 1, [](std::size_t daemon) { return daemon < 5; }});
    rows.push_back(misreported_health);
    rows.push_back(partitioned_bad_version());
    rows.push_back(bad_version("slow at once", new_version_from(0, slow), true));
    rows.push_back(bad_version("slow later", new_version_from(0.35, slow), true));
    rows.push_back(bad_version("slow later, in the watch", new_version_from(0.95, slow), true));
    rows.push_back(bad_version("slow only under load", only_under_load(slow), true));
    rows.push_back(bad_version("slow only on one route", only_on_route(slow), true));
    rows.push_back(with_traffic(bad_version("slow at once, 1 h", new_version_from(0, slow), true), 20, absl::Hours(1)));
    rows.push_back(with_traffic(bad_version("slow at once, 1 call/min, 1 h", new_version_from(0, slow), true), 1.0 / 60,
                                absl::Hours(1)));
}

} // namespace

std::vector<scenario> order_table() {
    std::vector<scenario> rows;
    for (const int seconds : {10, 12, 16}) {
        const auto add = [&](scenario row, const std::string& detail) {
            row.name += ", order of " + std::to_string(seconds) + " s" + detail;
            row.is_order = true;
            row.load_half_life_seconds = 0.1;
            rows.push_back(with_traffic(std::move(row), 340, absl::Seconds(seconds)));
        };
        add(good_version("good"), "");
        add(with_store_down(good_version("good, store down throughout")), "");
        scenario both_fail = good_version("good, old fails 5% too");
        both_fail.behavior = [](const call_context&) { return version_behavior{0.05, 0, 1}; };
        add(both_fail, "");
        scenario outage = good_version("good, both fail for 1 s");
        outage.behavior = both_versions_between(0.4, 0.4 + 1.0 / seconds, failing);
        add(outage, "");
        add(with_interruption(
                good_version("good, a deciding daemon killed"),
                {interruption::fault_kind::restart, 0.3, 0.31, [](std::size_t daemon) { return daemon == 0; }}),
            "");
        add(bad_version("fails at once", new_version_from(0, failing)), "");
        add(bad_version("fails 30% only under load", only_under_load({0.3, 0, 1}, 0.8)), ", from 80% of the load");
        for (const double threshold : {0.4, 0.6, 0.8, 0.9}) {
            const std::string detail = ", from " + std::to_string(static_cast<int>(100 * threshold)) + "% of the load";
            add(bad_version("fails only under load", only_under_load({0.5, 0, 1}, threshold)), detail);
            add(bad_version("slow only under load", only_under_load({0.001, 0, 8}, threshold), true), detail);
        }
        add(with_owners(bad_version("fails only under load", only_under_load({0.5, 0, 1}, 0.8)), 7, 3),
            ", 3 upstreams for 7");
        add(with_owners(bad_version("slow only under load", only_under_load({0.001, 0, 8}, 0.8), true), 7, 3),
            ", 3 upstreams for 7");
    }
    return rows;
}

std::vector<scenario> fault_table() {
    std::vector<scenario> rows;
    add_good_rows(rows);
    add_bad_rows(rows);
    return rows;
}

} // namespace amaranthladder::bench
