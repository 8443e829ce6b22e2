#include "moves_simulation.h"

#include <utility>

namespace amaranthladder::bench {

namespace {

using answers = std::function<behaviour(const call_context&)>;

/// @return answers in which the new version behaves as @p fault from a part of the window on.
answers new_from(double part, behaviour fault) {
    return [=](const call_context& call) {
        const bool is_on = call.side == move_side::new_version && call.seconds >= part * call.window;
        return is_on ? fault : behaviour{};
    };
}

/// @return answers in which both versions behave as @p fault between two parts of the window.
answers both_between(double from, double to, behaviour fault) {
    return [=](const call_context& call) {
        const bool is_on = call.seconds >= from * call.window && call.seconds < to * call.window;
        return is_on ? fault : behaviour{};
    };
}

scenario good(std::string name) {
    scenario row;
    row.name = std::move(name);
    return row;
}

scenario bad(std::string name, answers given, bool is_slow = false) {
    scenario row;
    row.name = std::move(name);
    row.expected = expected_outcome::rolled_back;
    row.answers = std::move(given);
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

scenario with(scenario row, interruption fault) {
    row.interruptions.push_back(std::move(fault));
    return row;
}

const behaviour failing{0.95, 0, 1};
const behaviour slow{0.001, 0, 2};

answers only_under_load(behaviour fault) {
    return [=](const call_context& call) {
        return call.side == move_side::new_version && call.share > 0.3 ? fault : behaviour{};
    };
}

answers only_on_route(behaviour fault) {
    return [=](const call_context& call) {
        return call.side == move_side::new_version && call.route == 3 ? fault : behaviour{};
    };
}

bool is_even(std::size_t daemon) {
    return daemon % 2 == 0;
}

scenario partitioned() {
    // The fault shows only on the hosts of one side, so the other side goes on until the partition heals.
    scenario row = bad("partitioned regions, fault in one", [](const call_context& call) {
        return call.side == move_side::new_version && is_even(call.owner) ? failing : behaviour{};
    });
    return with(row, {interruption::kind::partition, 0.1, 0.7, is_even});
}

void add_good_rows(std::vector<scenario>& rows) {
    using kind = interruption::kind;
    rows.push_back(good("good"));
    rows.push_back(with_store_down(good("good, store down throughout")));
    rows.push_back(with_traffic(good("good, 10 min"), 100, absl::Minutes(10)));
    rows.push_back(with_traffic(good("good, 1 h"), 20, absl::Hours(1)));
    rows.push_back(with_owners(with_traffic(good("good, 1 day"), 2, absl::Hours(24)), 2, 2));
    rows.push_back(with_traffic(good("good, 3,000 calls/s"), 3'000, absl::Minutes(1)));
    rows.push_back(with_traffic(good("good, 1 call/min, 1 h"), 1.0 / 60, absl::Hours(1)));
    rows.push_back(with_traffic(good("good, 1 call/min, 1 min"), 1.0 / 60, absl::Minutes(1)));
    rows.push_back(with_clock_offset(good("good, clocks off by 3 s"), 3));
    scenario both_fail = good("good, old fails 5% too");
    both_fail.answers = [](const call_context&) { return behaviour{0.05, 0, 1}; };
    rows.push_back(both_fail);
    scenario old_fails = good("good, old fails 40%");
    old_fails.answers = [](const call_context& call) {
        return call.side == move_side::old_version ? behaviour{0.4, 0, 1} : behaviour{};
    };
    rows.push_back(old_fails);
    scenario outage = good("good, both fail for 8 s");
    outage.answers = both_between(0.3, 0.43, failing);
    rows.push_back(outage);
    scenario blip = good("good, both fail for 1 s");
    blip.answers = both_between(0.3, 0.317, failing);
    rows.push_back(blip);
    scenario slow_outage = good("good, both slow for 12 s");
    slow_outage.answers = both_between(0.25, 0.45, {0.001, 0, 4});
    rows.push_back(slow_outage);
    scenario watch_outage = good("good, both fail for 8 s in the watch");
    watch_outage.answers = both_between(0.8, 0.93, failing);
    rows.push_back(watch_outage);
    scenario long_outage = good("good, both fail past the deadline");
    long_outage.expected = expected_outcome::done;
    long_outage.answers = both_between(0.3, 1.2, failing);
    rows.push_back(long_outage);
    scenario flapping = good("good, health flaps");
    for (double from = 0.05; from < 1; from += 0.1) {
        flapping = with(flapping, {kind::hint_down, from, from + 0.05, [](std::size_t daemon) { return daemon >= 7; }});
    }
    rows.push_back(flapping);
    rows.push_back(with(with_store_down(good("good, half of the daemons killed, store down")),
                        {kind::restart, 0.3, 0.31, is_even}));
    rows.push_back(
        with(good("good, all daemons killed"), {kind::restart, 0.3, 0.31, [](std::size_t) { return true; }}));
    rows.push_back(with(good("good, daemons paused for 20 s"),
                        {kind::pause, 0.2, 0.53, [](std::size_t daemon) { return daemon == 1 || daemon == 6; }}));
    rows.push_back(with(good("good, partitioned for 30 s"), {kind::partition, 0.1, 0.6, is_even}));
}

void add_bad_rows(std::vector<scenario>& rows) {
    using kind = interruption::kind;
    rows.push_back(bad("fails at once", new_from(0, failing)));
    rows.push_back(bad("fails 30% at once", new_from(0, {0.3, 0, 1})));
    rows.push_back(bad("fails 10% at once", new_from(0, {0.1, 0, 1})));
    rows.push_back(bad("fails later, while growing", new_from(0.35, failing)));
    rows.push_back(bad("fails later, in the watch", new_from(0.95, failing)));
    rows.push_back(bad("fails only under load", only_under_load({0.5, 0, 1})));
    rows.push_back(bad("fails only on one route", only_on_route(failing)));
    rows.push_back(bad("refuses 30%", new_from(0, {0.001, 0.3, 1})));
    rows.push_back(bad("fails, old fails 10% too", [](const call_context& call) {
        return call.side == move_side::new_version ? failing : behaviour{0.1, 0, 1};
    }));
    rows.push_back(with_store_down(bad("fails at once, store down throughout", new_from(0, failing))));
    rows.push_back(with_clock_offset(bad("fails later, clocks off by 3 s", new_from(0.35, failing)), 3));
    rows.push_back(with_traffic(bad("fails at once, 3,000 calls/s", new_from(0, failing)), 3'000, absl::Minutes(1)));
    rows.push_back(with_traffic(bad("fails at once, 1 call/min, 1 h", new_from(0, failing)), 1.0 / 60, absl::Hours(1)));
    rows.push_back(
        with_traffic(bad("fails at once, 1 call/min, 1 min", new_from(0, failing)), 1.0 / 60, absl::Minutes(1)));
    rows.push_back(with_traffic(bad("fails later, 1 h", new_from(0.35, failing)), 20, absl::Hours(1)));
    rows.push_back(
        with_owners(with_traffic(bad("fails later, 1 day", new_from(0.35, failing)), 2, absl::Hours(24)), 2, 2));
    rows.push_back(with(with_store_down(bad("fails, all owners of it killed at the verdict", new_from(0.35, failing))),
                        {kind::restart, 0.37, 0.38, [](std::size_t daemon) { return daemon >= 5; }}));
    rows.push_back(with(bad("fails, a daemon paused before the verdict resumes", new_from(0.35, failing)),
                        {kind::pause, 0.3, 0.8, [](std::size_t daemon) { return daemon == 1 || daemon == 6; }}));
    scenario hidden = bad("fails, health says well", new_from(0, failing));
    hidden = with(hidden, {kind::hint_down, 0, 1, [](std::size_t daemon) { return daemon < 5; }});
    rows.push_back(hidden);
    rows.push_back(partitioned());
    rows.push_back(bad("slow at once", new_from(0, slow), true));
    rows.push_back(bad("slow later", new_from(0.35, slow), true));
    rows.push_back(bad("slow later, in the watch", new_from(0.95, slow), true));
    rows.push_back(bad("slow only under load", only_under_load(slow), true));
    rows.push_back(bad("slow only on one route", only_on_route(slow), true));
    rows.push_back(with_traffic(bad("slow at once, 1 h", new_from(0, slow), true), 20, absl::Hours(1)));
    rows.push_back(
        with_traffic(bad("slow at once, 1 call/min, 1 h", new_from(0, slow), true), 1.0 / 60, absl::Hours(1)));
}

} // namespace

std::vector<scenario> fault_table() {
    std::vector<scenario> rows;
    add_good_rows(rows);
    add_bad_rows(rows);
    return rows;
}

} // namespace amaranthladder::bench
