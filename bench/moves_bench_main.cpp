#include "moves_simulation.h"

#include "common/result_code.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace amaranthladder;
using namespace amaranthladder::bench;

constexpr int worker_count = 4;

/// Results of all runs of one row with one controller.
struct row_statistics {
    int runs = 0;
    int as_expected = 0;
    int in_time = 0;
    int rolled_back = 0;
    std::vector<double> zero_share_seconds;
    std::vector<double> exposed_calls;
    std::vector<double> completion_fractions; ///< Time to completion as a fraction of the window.
    double max_unproven_share = 0;
    double control_bytes_per_second = 0; ///< Per daemon.
};

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return -1;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

row_statistics measure_row(const scenario& row, controller_kind controller, int runs, std::uint64_t seed,
                           bool sends_urgent_directly) {
    std::vector<run_result> results(static_cast<std::size_t>(runs));
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t run = next++; run < results.size(); run = next++) {
            run_options options;
            options.controller = controller;
            options.seed = seed + run;
            options.sends_urgent_directly = sends_urgent_directly;
            results[run] = run_move(row, options);
        }
    };
    std::vector<std::thread> workers;
    workers.reserve(worker_count);
    for (int worker = 0; worker < worker_count; ++worker) {
        workers.emplace_back(work);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    row_statistics statistics;
    for (const run_result& result : results) {
        statistics.runs += 1;
        statistics.as_expected += has_expected_outcome(row, result) ? 1 : 0;
        statistics.in_time += result.verdict == move_verdict::done ? 1 : 0;
        statistics.rolled_back += result.verdict == move_verdict::rolled_back ? 1 : 0;
        if (result.zero_share_seconds >= 0 && result.verdict == move_verdict::rolled_back) {
            statistics.zero_share_seconds.push_back(result.zero_share_seconds);
            statistics.exposed_calls.push_back(result.exposed_calls);
        }
        if (result.completed_seconds >= 0) {
            statistics.completion_fractions.push_back(result.completed_seconds / absl::ToDoubleSeconds(row.window));
        }
        statistics.max_unproven_share = std::max(statistics.max_unproven_share, result.max_unproven_share);
        statistics.control_bytes_per_second =
            std::max(statistics.control_bytes_per_second, result.control_bytes_per_daemon_second);
    }
    return statistics;
}

/// Runs that count towards one goal, summed over rows.
struct goal_count {
    int runs = 0;
    int reached = 0;

    double percent() const {
        return runs == 0 ? 100 : 100.0 * reached / runs;
    }
};

/// Results of all rows for the goals of moves.
struct goal_totals {
    goal_count good_in_time;
    goal_count good_kept;
    goal_count failing_rolled_back;
    goal_count slow_rolled_back;
    std::vector<double> failing_zero_share_seconds;
    std::vector<double> slow_zero_share_seconds;
    double max_unproven_share = 0;
};

void add_row(goal_totals& total, const scenario& row, const row_statistics& statistics) {
    if (row.expected == expected_outcome::rolled_back) {
        goal_count& goal = row.is_slow_fault ? total.slow_rolled_back : total.failing_rolled_back;
        goal.runs += statistics.runs;
        goal.reached += statistics.rolled_back;
    } else {
        total.good_kept.runs += statistics.runs;
        total.good_kept.reached += statistics.runs - statistics.rolled_back;
        if (row.expected == expected_outcome::done_in_time) {
            total.good_in_time.runs += statistics.runs;
            total.good_in_time.reached += statistics.in_time;
        }
    }
    if (row.calls_per_second == 100) {
        auto& zero = row.is_slow_fault ? total.slow_zero_share_seconds : total.failing_zero_share_seconds;
        zero.insert(zero.end(), statistics.zero_share_seconds.begin(), statistics.zero_share_seconds.end());
    }
    if (row.calls_per_second >= 20) {
        total.max_unproven_share = std::max(total.max_unproven_share, statistics.max_unproven_share);
    }
}

void print_goals(const char* title, const goal_totals& total) {
    fmt::print("\n{}\n", title);
    fmt::print("  good versions done in time               {:7.2f}% of {} (goal 99%)\n", total.good_in_time.percent(),
               total.good_in_time.runs);
    fmt::print("  good versions rolled back                {:7.2f}% of {} (goal under 1%)\n",
               100 - total.good_kept.percent(), total.good_kept.runs);
    fmt::print("  failing versions rolled back             {:7.2f}% of {} (goal 100%)\n",
               total.failing_rolled_back.percent(), total.failing_rolled_back.runs);
    fmt::print("  versions of twice the median rolled back {:7.2f}% of {} (goal 95%)\n",
               total.slow_rolled_back.percent(), total.slow_rolled_back.runs);
    fmt::print("  visible fault to zero share, 100 calls/s: failures median {:.2f} s, 95 in 100 {:.2f} s; slowness "
               "median {:.2f} s, 95 in 100 {:.2f} s (goal: median under 2 s)\n",
               quantile(total.failing_zero_share_seconds, 0.5), quantile(total.failing_zero_share_seconds, 0.95),
               quantile(total.slow_zero_share_seconds, 0.5), quantile(total.slow_zero_share_seconds, 0.95));
    fmt::print("  largest share before 20 answered calls, 20 calls/s or more: {:.1f}% (goal 5%)\n",
               100 * total.max_unproven_share);
}

/// Prints the rows of order_table() as a table in Markdown.
void print_orders(int runs, std::uint64_t seed, const std::string& name_filter, const move_policy& policy) {
    fmt::print("| Row | Runs | As stated | In time | Reported as completed | Calls of the new version, median / most | "
               "Bound | Verdict, median / latest (s) |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const scenario& row : order_table()) {
        if (row.name.find(name_filter) == std::string::npos) {
            continue;
        }
        int as_expected = 0;
        int in_time = 0;
        int completed = 0;
        std::vector<double> calls;
        std::vector<double> verdict_seconds;
        for (int run = 0; run < runs; ++run) {
            run_options options;
            options.order_policy = policy;
            options.seed = seed + static_cast<std::uint64_t>(run);
            const run_result result = run_move(row, options);
            as_expected += has_expected_outcome(row, result) ? 1 : 0;
            in_time += result.verdict == move_verdict::done ? 1 : 0;
            completed += result.was_completed ? 1 : 0;
            calls.push_back(result.new_version_calls);
            verdict_seconds.push_back(std::max(result.completed_seconds, result.rollback_seconds));
        }
        const bool is_bad = row.expected == expected_outcome::rolled_back;
        fmt::print("| {} | {} | {} | {} | {} | {} | {} | {:.1f} / {:.1f} |\n", row.name, runs, as_expected,
                   is_bad ? "" : fmt::to_string(in_time), completed,
                   is_bad ? fmt::format("{:.0f} / {:.0f}", quantile(calls, 0.5), quantile(calls, 1)) : "",
                   is_bad ? fmt::format("{:.0f}", exposure_bound(row)) : "", quantile(verdict_seconds, 0.5),
                   quantile(verdict_seconds, 1));
        std::cout.flush();
    }
}

} // namespace

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description description("amaranthladder_moves_bench: the fault table of moves");
    int runs = 0;
    std::uint64_t seed = 0;
    std::string csv_path;
    std::string name_filter;
    double recorded_rate = 0;
    options::options_description_easy_init add_option = description.add_options();
    add_option("help", "show this text");
    add_option("runs", options::value(&runs)->default_value(25), "runs per row");
    add_option("seed", options::value(&seed)->default_value(1), "seed of the first run");
    add_option("csv", options::value(&csv_path), "file to write the rows to, as CSV");
    add_option("only", options::value(&name_filter), "run only rows whose name contains this text");
    add_option("gossip-only", "send urgent records only with probes, not directly");
    add_option("record", options::value(&recorded_rate),
               "print the calls of one run per row at this rate in calls/s, in the format of src/tests/traces");
    add_option("orders", "run the rows of operators' orders instead of the fault table");
    add_option("configured-policy", "with --orders: use the policy of configured moves, for comparison");
    add_option("trace", "print the state changes of one run per row");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    const bool sends_urgent_directly = !values.contains("gossip-only");
    if (values.contains("orders")) {
        print_orders(runs, seed, name_filter,
                     values.contains("configured-policy") ? move_policy{} : order_move_policy());
        return 0;
    }
    std::string csv_lines =
        "row,mover,runs,as_expected,in_time,rolled_back,zero_median_s,zero_p95_s,exposed_median_calls,"
        "completed_median_part,unproven_share,bytes_per_daemon_s\n";
    goal_totals engine_total;
    goal_totals baseline_total;
    if (!values.contains("record")) {
        fmt::print("{:<50} {:>4} {:>9} {:>7} {:>7} {:>8} {:>7} {:>7} {:>6} {:>6} | {:>9} {:>7} {:>8}\n", "row", "runs",
                   "expected", "in time", "rolled", "zero s", "p95 s", "exposed", "done", "B/s", "baseline", "zero s",
                   "exposed");
    }
    for (const scenario& row : fault_table()) {
        if (row.name.find(name_filter) == std::string::npos) {
            continue;
        }
        if (values.contains("record")) {
            scenario recorded_row = row;
            recorded_row.calls_per_second = recorded_rate;
            std::string calls;
            run_options recorded;
            recorded.seed = seed;
            recorded.recorded_calls = &calls;
            run_move(recorded_row, recorded);
            fmt::print("# {}, seed {}\n{}", row.name, seed, calls);
            continue;
        }
        if (values.contains("trace")) {
            run_options traced;
            traced.seed = seed;
            traced.sends_urgent_directly = sends_urgent_directly;
            const run_result result = run_move(row, traced, true);
            fmt::print("--- {}\n{}{} fault {:.1f} zero {:.1f} verdict {:.1f} {} {}\n", row.name, result.trace,
                       name(result.verdict), result.fault_seconds, result.zero_share_seconds, result.rollback_seconds,
                       name(result.reason), result.route);
            continue;
        }
        // A row with a window of a day takes a thousand times as long to simulate as one of a minute.
        const int row_runs = row.window >= absl::Hours(24) ? std::max(1, runs / 5) : runs;
        const row_statistics engine = measure_row(row, controller_kind::engine, row_runs, seed, sends_urgent_directly);
        const row_statistics baseline =
            measure_row(row, controller_kind::baseline, row_runs, seed, sends_urgent_directly);
        add_row(engine_total, row, engine);
        add_row(baseline_total, row, baseline);
        fmt::print("{:<50} {:>4} {:>9} {:>7} {:>7} {:>8.2f} {:>7.2f} {:>7.0f} {:>6.2f} {:>6.0f} | {:>9} {:>7.2f} "
                   "{:>8.0f}\n",
                   row.name, engine.runs, engine.as_expected, engine.in_time, engine.rolled_back,
                   quantile(engine.zero_share_seconds, 0.5), quantile(engine.zero_share_seconds, 0.95),
                   quantile(engine.exposed_calls, 0.5), quantile(engine.completion_fractions, 0.5),
                   engine.control_bytes_per_second, baseline.as_expected, quantile(baseline.zero_share_seconds, 0.5),
                   quantile(baseline.exposed_calls, 0.5));
        std::cout.flush();
        for (const auto& [controller_name, statistics] :
             {std::pair("engine", &engine), std::pair("baseline", &baseline)}) {
            csv_lines += fmt::format(
                "\"{}\",{},{},{},{},{},{:.3f},{:.3f},{:.0f},{:.3f},{:.4f},{:.0f}\n", row.name, controller_name,
                statistics->runs, statistics->as_expected, statistics->in_time, statistics->rolled_back,
                quantile(statistics->zero_share_seconds, 0.5), quantile(statistics->zero_share_seconds, 0.95),
                quantile(statistics->exposed_calls, 0.5), quantile(statistics->completion_fractions, 0.5),
                statistics->max_unproven_share, statistics->control_bytes_per_second);
        }
    }
    if (values.contains("record") || values.contains("trace")) {
        return 0;
    }
    print_goals("engine", engine_total);
    print_goals("baseline: equal steps over 80% of the window, rollback above 5% errors in 10 s", baseline_total);
    if (!csv_path.empty()) {
        std::ofstream(csv_path) << csv_lines;
    }
    return 0;
}
