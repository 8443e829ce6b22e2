#include "routing_model.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>

using namespace amaranthladder;
namespace options = boost::program_options;

namespace {

constexpr int settle_s = 10; ///< Before and after the overload.

std::vector<routing_scenario> scenarios(const service_shape& shape, int seconds) {
    const std::vector<load_phase> usual{{absl::Seconds(seconds), 0.7}};
    const std::vector<load_phase> busy{{absl::Seconds(seconds), 0.9}};
    const std::vector<load_phase> overload{
        {absl::Seconds(settle_s), 0.7}, {absl::Seconds(seconds), 2.0}, {absl::Seconds(settle_s), 0.7}};
    std::vector<routing_scenario> rows;
    const auto add = [&](std::string name, const std::vector<load_phase>& phases, worker_fault fault) {
        routing_scenario row;
        row.name = std::move(name);
        row.shape = shape;
        row.phases = phases;
        row.fault = fault;
        rows.push_back(row);
        return &rows.back();
    };
    add("90% of capacity", busy, worker_fault::none);
    add("90%, lagging reports", busy, worker_fault::none)->has_lagging_reports = true;
    add("90%, one lies idle", busy, worker_fault::lying);
    add("twice the capacity", overload, worker_fault::none);
    add("twice, lagging reports", overload, worker_fault::none)->has_lagging_reports = true;
    add("one 10 times slower", usual, worker_fault::slow);
    add("one fails half", usual, worker_fault::failing);
    add("one refuses at once", usual, worker_fault::refusing);
    add("one lies idle", usual, worker_fault::lying);
    add("one sheds half its slots", usual, worker_fault::shedding);
    add("one leaves, returns cold", usual, worker_fault::leaving);
    add("price lookups, 90%", busy, worker_fault::none)->price_share = 0.5;
    add("price lookups, twice", overload, worker_fault::none)->price_share = 0.5;
    return rows;
}

/// @return good answers a second during an overload, over what the slots can serve: in all and in its last third.
std::pair<double, double> overload_shares(const routing_scenario& row, const routing_outcome& outcome, int seconds) {
    const double capacity = row.shape.capacity() / (1 - row.price_share * 0.75);
    return {outcome.good_rate(settle_s + 1, settle_s + seconds) / capacity,
            outcome.good_rate(settle_s + seconds * 2 / 3, settle_s + seconds) / capacity};
}

/// @return seconds after the overload until a second with at least 99% good answers, -1 if there is none.
int recovery_seconds(const routing_outcome& outcome, int seconds) {
    for (int after = 0; after < settle_s; ++after) {
        const std::size_t second =
            static_cast<std::size_t>(settle_s) + static_cast<std::size_t>(seconds) + static_cast<std::size_t>(after);
        if (second < outcome.calls_by_second.size() && second < outcome.good_by_second.size() &&
            static_cast<double>(outcome.good_by_second[second]) >=
                0.99 * static_cast<double>(outcome.calls_by_second[second])) {
            return after;
        }
    }
    return -1;
}

std::string figures(const routing_scenario& row, const routing_outcome& outcome, int seconds, const char* format) {
    const bool is_overload = row.phases.size() > 1;
    const auto [whole, last] = is_overload ? overload_shares(row, outcome, seconds) : std::pair(0.0, 0.0);
    return fmt::format(fmt::runtime(format), row.shape.name, row.name, row.is_baseline ? "baseline" : "policy",
                       outcome.calls, 100 * outcome.good_share(), 100 * outcome.price_share(), 100 * whole, 100 * last,
                       is_overload ? recovery_seconds(outcome, seconds) : 0, outcome.call_ratio(),
                       100.0 * static_cast<double>(outcome.faulty_attempts) / static_cast<double>(outcome.attempts),
                       absl::ToDoubleMilliseconds(outcome.median), absl::ToDoubleMilliseconds(outcome.slow));
}

void run(std::uint64_t seed, int seconds, const std::string& csv_path) {
    constexpr const char* table_row = "{:<9} {:<25} {:<9} {:>7} {:>7.3f} {:>7.2f} {:>7.1f} {:>7.1f} {:>4} {:>6.3f} "
                                      "{:>6.1f} {:>7.1f} {:>7.1f}\n";
    constexpr const char* csv_row = "{},\"{}\",{},{},{:.4f},{:.4f},{:.2f},{:.2f},{},{:.4f},{:.2f},{:.2f},{:.2f}\n";
    std::ofstream csv(csv_path);
    csv << "service,row,policy,calls,good_percent,price_good_percent,good_of_capacity_percent,"
           "good_of_capacity_last_third_percent,recovery_s,upstream_calls_per_call,worker_0_percent,median_ms,p99_ms\n";
    fmt::print("seed {}, {} s; good, price: % of calls; cap, last: good answers in the overload and in its last third, "
               "% of capacity; rec: s\n",
               seed, seconds);
    fmt::print("{:<9} {:<25} {:<9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>4} {:>6} {:>6} {:>7} {:>7}\n", "service", "row",
               "policy", "calls", "good", "price", "cap", "last", "rec", "calls*", "w0 %", "p50 ms", "p99 ms");
    for (const service_shape& shape : {werkbank_shape(), tienda_shape()}) {
        for (routing_scenario row : scenarios(shape, seconds)) {
            row.seed = seed;
            for (const bool is_baseline : {false, true}) {
                row.is_baseline = is_baseline;
                const routing_outcome outcome = run_routing_scenario(row);
                fmt::print("{}", figures(row, outcome, seconds, table_row));
                csv << figures(row, outcome, seconds, csv_row);
            }
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        std::uint64_t seed = 1;
        int seconds = 60;
        std::string csv_path;
        options::options_description accepted("Compares the routing policies with a plain baseline in a model");
        accepted.add_options()("help", "print this text");
        accepted.add_options()("seed", options::value(&seed)->default_value(seed), "seed of all random numbers");
        accepted.add_options()("seconds", options::value(&seconds)->default_value(seconds), "modelled time of a row");
        accepted.add_options()("csv", options::value(&csv_path)->default_value("/dev/null"), "file for the figures");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, accepted), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << accepted;
            return 0;
        }
        run(seed, seconds, csv_path);
        return 0;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
