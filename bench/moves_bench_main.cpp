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

struct row_figures {
    int runs = 0;
    int as_expected = 0;
    int in_time = 0;
    int rolled_back = 0;
    std::vector<double> zero_seconds;
    std::vector<double> exposed_calls;
    std::vector<double> completed_parts; ///< Completion as a part of the window.
    double unproven_share = 0;
    double bytes = 0;
};

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return -1;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

row_figures measure(const scenario& row, mover moved_by, int runs, std::uint64_t seed, bool sends_directly) {
    std::vector<run_result> results(static_cast<std::size_t>(runs));
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t run = next++; run < results.size(); run = next++) {
            run_options options;
            options.moved_by = moved_by;
            options.seed = seed + run;
            options.sends_urgent_directly = sends_directly;
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
    row_figures figures;
    for (const run_result& result : results) {
        figures.runs += 1;
        figures.as_expected += is_as_expected(row, result) ? 1 : 0;
        figures.in_time += result.verdict == move_verdict::done ? 1 : 0;
        figures.rolled_back += result.verdict == move_verdict::rolled_back ? 1 : 0;
        if (result.zero_seconds >= 0 && result.verdict == move_verdict::rolled_back) {
            figures.zero_seconds.push_back(result.zero_seconds);
            figures.exposed_calls.push_back(result.exposed_calls);
        }
        if (result.completed_seconds >= 0) {
            figures.completed_parts.push_back(result.completed_seconds / absl::ToDoubleSeconds(row.window));
        }
        figures.unproven_share = std::max(figures.unproven_share, result.unproven_share);
        figures.bytes = std::max(figures.bytes, result.control_bytes_per_daemon_second);
    }
    return figures;
}

/// Sums over rows for one of the goals.
struct goal_figures {
    int runs = 0;
    int reached = 0;

    double percent() const {
        return runs == 0 ? 100 : 100.0 * reached / runs;
    }
};

struct goals {
    goal_figures good_in_time;
    goal_figures good_kept;
    goal_figures failing_rolled_back;
    goal_figures slow_rolled_back;
    std::vector<double> failing_zero_seconds;
    std::vector<double> slow_zero_seconds;
    double unproven_share = 0;
};

void add(goals& total, const scenario& row, const row_figures& figures) {
    if (row.expected == expected_outcome::rolled_back) {
        goal_figures& goal = row.is_slow_fault ? total.slow_rolled_back : total.failing_rolled_back;
        goal.runs += figures.runs;
        goal.reached += figures.rolled_back;
    } else {
        total.good_kept.runs += figures.runs;
        total.good_kept.reached += figures.runs - figures.rolled_back;
        if (row.expected == expected_outcome::done_in_time) {
            total.good_in_time.runs += figures.runs;
            total.good_in_time.reached += figures.in_time;
        }
    }
    if (row.calls_per_second == 100) {
        auto& zero = row.is_slow_fault ? total.slow_zero_seconds : total.failing_zero_seconds;
        zero.insert(zero.end(), figures.zero_seconds.begin(), figures.zero_seconds.end());
    }
    if (row.calls_per_second >= 20) {
        total.unproven_share = std::max(total.unproven_share, figures.unproven_share);
    }
}

void print_goals(const char* title, const goals& total) {
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
               quantile(total.failing_zero_seconds, 0.5), quantile(total.failing_zero_seconds, 0.95),
               quantile(total.slow_zero_seconds, 0.5), quantile(total.slow_zero_seconds, 0.95));
    fmt::print("  largest share before 20 answered calls, 20 calls/s or more: {:.1f}% (goal 5%)\n",
               100 * total.unproven_share);
}

} // namespace

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description description("amaranthladder_moves_bench: the fault table of moves");
    int runs = 0;
    std::uint64_t seed = 0;
    std::string csv;
    std::string only;
    double recorded_rate = 0;
    options::options_description_easy_init add_option = description.add_options();
    add_option("help", "show this text");
    add_option("runs", options::value(&runs)->default_value(25), "runs per row");
    add_option("seed", options::value(&seed)->default_value(1), "first seed");
    add_option("csv", options::value(&csv), "file for the rows as CSV");
    add_option("only", options::value(&only), "rows whose name contains this text");
    add_option("gossip-only", "urgent records wait for the next probe");
    add_option("record", options::value(&recorded_rate),
               "print the calls of one run per row at so many calls/s, in the form of src/tests/traces");
    add_option("trace", "print the states of one run per row");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    const bool sends_directly = !given.contains("gossip-only");
    std::string lines = "row,mover,runs,as_expected,in_time,rolled_back,zero_median_s,zero_p95_s,exposed_median_calls,"
                        "completed_median_part,unproven_share,bytes_per_daemon_s\n";
    goals engine_total;
    goals baseline_total;
    if (!given.contains("record")) {
        fmt::print("{:<50} {:>4} {:>9} {:>7} {:>7} {:>8} {:>7} {:>7} {:>6} {:>6} | {:>9} {:>7} {:>8}\n", "row", "runs",
                   "expected", "in time", "rolled", "zero s", "p95 s", "exposed", "done", "B/s", "baseline", "zero s",
                   "exposed");
    }
    for (const scenario& row : fault_table()) {
        if (row.name.find(only) == std::string::npos) {
            continue;
        }
        if (given.contains("record")) {
            scenario slower = row;
            slower.calls_per_second = recorded_rate;
            std::string calls;
            run_options recorded;
            recorded.seed = seed;
            recorded.recorded_calls = &calls;
            run_move(slower, recorded);
            fmt::print("# {}, seed {}\n{}", row.name, seed, calls);
            continue;
        }
        if (given.contains("trace")) {
            run_options traced;
            traced.seed = seed;
            traced.sends_urgent_directly = sends_directly;
            const run_result result = run_move(row, traced, true);
            fmt::print("--- {}\n{}{} fault {:.1f} zero {:.1f} verdict {:.1f} {} {}\n", row.name, result.trace,
                       name(result.verdict), result.fault_seconds, result.zero_seconds, result.verdict_seconds,
                       name(result.reason), result.route);
            continue;
        }
        // The rows of a day take a thousand times as long as those of a minute.
        const int row_runs = row.window >= absl::Hours(24) ? std::max(1, runs / 5) : runs;
        const row_figures engine = measure(row, mover::engine, row_runs, seed, sends_directly);
        const row_figures baseline = measure(row, mover::baseline, row_runs, seed, sends_directly);
        add(engine_total, row, engine);
        add(baseline_total, row, baseline);
        fmt::print("{:<50} {:>4} {:>9} {:>7} {:>7} {:>8.2f} {:>7.2f} {:>7.0f} {:>6.2f} {:>6.0f} | {:>9} {:>7.2f} "
                   "{:>8.0f}\n",
                   row.name, engine.runs, engine.as_expected, engine.in_time, engine.rolled_back,
                   quantile(engine.zero_seconds, 0.5), quantile(engine.zero_seconds, 0.95),
                   quantile(engine.exposed_calls, 0.5), quantile(engine.completed_parts, 0.5), engine.bytes,
                   baseline.as_expected, quantile(baseline.zero_seconds, 0.5), quantile(baseline.exposed_calls, 0.5));
        std::cout.flush();
        for (const auto& [mover_name, figures] : {std::pair("engine", &engine), std::pair("baseline", &baseline)}) {
            lines += fmt::format("\"{}\",{},{},{},{},{},{:.3f},{:.3f},{:.0f},{:.3f},{:.4f},{:.0f}\n", row.name,
                                 mover_name, figures->runs, figures->as_expected, figures->in_time,
                                 figures->rolled_back, quantile(figures->zero_seconds, 0.5),
                                 quantile(figures->zero_seconds, 0.95), quantile(figures->exposed_calls, 0.5),
                                 quantile(figures->completed_parts, 0.5), figures->unproven_share, figures->bytes);
        }
    }
    if (given.contains("record") || given.contains("trace")) {
        return 0;
    }
    print_goals("engine", engine_total);
    print_goals("baseline: equal steps over 80% of the window, rollback above 5% errors in 10 s", baseline_total);
    if (!csv.empty()) {
        std::ofstream(csv) << lines;
    }
    return 0;
}
