#include "uneven_load_model.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <exception>
#include <iostream>

using namespace amaranthladder;
namespace options = boost::program_options;

namespace {

void run(std::uint64_t seed, int seconds) {
    fmt::print("seed {}, {} s\n{:<6} {:<6} {:<7} {:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7}\n", seed, seconds,
               "load", "Mbit/s", "reports", "choice", "lookups%", "given up%", "p99 ms", "uploads%", "p99 ms",
               "busiest", "remote%");
    for (const double load : {0.6, 0.8, 1.0}) {
        for (const double link_mbps : {0.0, 13.0}) {
            for (const bool has_false_reports : {false, true}) {
                for (const auto policy : {uneven_load_policy::reported_load, uneven_load_policy::completion,
                                          uneven_load_policy::least_of_all}) {
                    const uneven_load_outcome outcome = run_uneven_load({.policy = policy,
                                                                         .load = load,
                                                                         .link_mbps = link_mbps,
                                                                         .has_false_reports = has_false_reports,
                                                                         .seed = seed,
                                                                         .length = absl::Seconds(seconds)});
                    fmt::print(
                        "{:<6} {:<6} {:<7} {:<16} {:>8.2f} {:>8.2f} {:>8.0f} {:>8.2f} {:>8.0f} {:>8.2f} {:>7.1f}\n",
                        load, link_mbps, has_false_reports ? "false" : "true", name(policy),
                        100 * outcome.lookups_in_time, 100 * outcome.lookups_given_up,
                        absl::ToDoubleMilliseconds(outcome.lookup_p99), 100 * outcome.uploads_in_time,
                        absl::ToDoubleMilliseconds(outcome.upload_p99), outcome.busiest_to_mean,
                        100 * outcome.remote_share);
                }
            }
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        std::uint64_t seed = 1;
        int seconds = 30;
        options::options_description description(
            "Compares choices among upstreams of uneven speed on hosts with narrow links, in a simulation");
        description.add_options()("help", "print this text");
        description.add_options()("seed", options::value(&seed)->default_value(seed), "seed of the random numbers");
        description.add_options()("seconds", options::value(&seconds)->default_value(seconds),
                                  "simulated time of each row, in seconds");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        run(seed, seconds);
        return 0;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
