#include "routing_model.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>

using namespace amaranthladder;
namespace options = boost::program_options;

namespace {

constexpr int settle_s = 10; ///< Seconds of normal load before and after the overload.

std::vector<routing_scenario> scenarios(const service_profile& profile, int seconds) {
    const std::vector<load_phase> normal_load{{absl::Seconds(seconds), 0.7}};
    const std::vector<load_phase> high_load{{absl::Seconds(seconds), 0.9}};
    const std::vector<load_phase> overload{
        {absl::Seconds(settle_s), 0.7}, {absl::Seconds(seconds), 2.0}, {absl::Seconds(settle_s), 0.7}};
    std::vector<routing_scenario> rows;
    const auto add = [&](std::string name, const std::vector<load_phase>& phases, worker_fault fault) {
        routing_scenario row;
        row.name = std::move(name);
        row.profile = profile;
        row.phases = phases;
        row.fault = fault;
        rows.push_back(row);
        return &rows.back();
    };
    add("90% of capacity", high_load, worker_fault::none);
    add("90%, lagging reports", high_load, worker_fault::none)->has_lagging_reports = true;
    add("90%, one lies idle", high_load, worker_fault::lying);
    add("twice the capacity", overload, worker_fault::none);
    add("twice, lagging reports", overload, worker_fault::none)->has_lagging_reports = true;
    add("one 10 times slower", normal_load, worker_fault::slow);
    add("one fails half", normal_load, worker_fault::failing);
    add("one refuses at once", normal_load, worker_fault::refusing);
    add("one lies idle", normal_load, worker_fault::lying);
    add("one sheds half its slots", normal_load, worker_fault::shedding);
    add("one leaves, returns cold", normal_load, worker_fault::leaving);
    add("price lookups, 90%", high_load, worker_fault::none)->price_share = 0.5;
    add("price lookups, twice", overload, worker_fault::none)->price_share = 0.5;
    return rows;
}

/// @return good calls per second as a fraction of the capacity, over the whole overload and over its last third.
std::pair<double, double> overload_fractions(const routing_scenario& row, const routing_outcome& outcome, int seconds) {
    const double capacity = row.profile.capacity() / (1 - row.price_share * 0.75);
    return {outcome.good_rate(settle_s + 1, settle_s + seconds) / capacity,
            outcome.good_rate(settle_s + seconds * 2 / 3, settle_s + seconds) / capacity};
}

/// @return seconds from the end of the overload to the first second with at least 99% good calls; -1 if there is none.
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

std::string format_result(const routing_scenario& row, const routing_outcome& outcome, int seconds,
                          const char* format) {
    const bool is_overload = row.phases.size() > 1;
    const auto [whole, last] = is_overload ? overload_fractions(row, outcome, seconds) : std::pair(0.0, 0.0);
    return fmt::format(fmt::runtime(format), row.profile.name, row.name, row.is_baseline ? "baseline" : "policy",
                       outcome.calls, 100 * outcome.good_share(), 100 * outcome.good_price_share(), 100 * whole,
                       100 * last, is_overload ? recovery_seconds(outcome, seconds) : 0, outcome.attempts_per_call(),
                       100.0 * static_cast<double>(outcome.faulty_attempts) / static_cast<double>(outcome.attempts),
                       absl::ToDoubleMilliseconds(outcome.median_latency),
                       absl::ToDoubleMilliseconds(outcome.p99_latency));
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
    for (const service_profile& profile : {werkbank_profile(), tienda_profile()}) {
        for (routing_scenario row : scenarios(profile, seconds)) {
            row.seed = seed;
            for (const bool is_baseline : {false, true}) {
                row.is_baseline = is_baseline;
                const routing_outcome outcome = run_routing_scenario(row);
                fmt::print("{}", format_result(row, outcome, seconds, table_row));
                csv << format_result(row, outcome, seconds, csv_row);
            }
        }
    }
}

/// Prints the time of one route lookup and of one choice of an upstream with 2,200 routes and services, the size that
/// the design page gives.
void print_decision_costs(std::uint64_t seed) {
    constexpr int services = 2'200;
    constexpr int decisions = 200'000;
    auto state = std::make_shared<intended_state>();
    std::vector<upstream_record> records;
    for (int service = 0; service < services; ++service) {
        route new_route;
        new_route.name = fmt::format("route-{}", service);
        new_route.service = fmt::format("service-{}", service);
        new_route.path_prefix = fmt::format("/area-{}/{}", service % 40, new_route.name);
        state->routes[new_route.name] = new_route;
        for (int worker = 0; worker < 6; ++worker) {
            upstream_record record;
            record.id = fmt::format("{}-{}", new_route.service, worker);
            record.service = new_route.service;
            record.version = "v1";
            record.data_center = worker < 2 ? "a" : "b";
            record.slots = 6;
            records.push_back(record);
        }
    }
    router tested_router({.data_center = "a", .policy = {}});
    std::mt19937_64 rng(seed);
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    const auto print_time = [](const char* what, int count, const auto& work) {
        const auto started = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - started;
        fmt::print("{}: {:.3f} us\n", what, spent.count() / count);
    };
    tested_router.set_configuration(state);
    print_time("taking a list of 13,200 upstreams", 1, [&] { tested_router.set_upstreams(records, now); });
    records.front().is_leaving = true;
    print_time("taking the list with one change", 1, [&] { tested_router.set_upstreams(records, now); });
    std::size_t checksum = 0;
    print_time("finding one of 2,200 routes", decisions, [&] {
        for (int decision = 0; decision < decisions; ++decision) {
            checksum += tested_router.match("h", "GET", "/area-7/route-47/items/1234?page=2").matched ? 1 : 0;
        }
    });
    const std::shared_ptr<const route> target = tested_router.match("h", "GET", "/area-7/route-47").matched;
    print_time("choosing one of 6 upstreams, start and end", decisions, [&] {
        for (int decision = 0; decision < decisions; ++decision) {
            const routing_decision chosen = tested_router.choose(*target, {}, now, rng);
            tested_router.on_started(chosen.upstream_id, now);
            tested_router.on_finished(chosen.upstream_id, attempt_outcome::answered, absl::Milliseconds(20), 0.5, now);
            checksum += chosen.is_refused() ? 0 : 1;
        }
    });
    print_time("the line for the decision log", decisions, [&] {
        const routing_decision chosen = tested_router.choose(*target, {}, now, rng);
        for (int decision = 0; decision < decisions; ++decision) {
            checksum += to_log_line(chosen).size();
        }
    });
    fmt::print("checksum {}\n", checksum);
}

} // namespace

int main(int argc, char** argv) {
    try {
        std::uint64_t seed = 1;
        int seconds = 60;
        std::string csv_path;
        options::options_description description(
            "Compares the routing policies with a simple baseline in a simulation");
        description.add_options()("help", "print this text");
        description.add_options()("seed", options::value(&seed)->default_value(seed), "seed of the random numbers");
        description.add_options()("seconds", options::value(&seconds)->default_value(seconds),
                                  "simulated time of each row, in seconds");
        description.add_options()("csv", options::value(&csv_path)->default_value("/dev/null"),
                                  "file to write the results to, as CSV");
        description.add_options()("costs", "measure the time of routing decisions instead");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        if (values.contains("costs")) {
            print_decision_costs(seed);
            return 0;
        }
        run(seed, seconds, csv_path);
        return 0;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
