// Measures the time to read, validate, encode and apply configurations, single-threaded, and prints it as CSV.

#include "config/config_problem.h"
#include "config/snapshot.h"
#include "config/snapshot_delta.h"
#include "config/state_builder.h"
#include "config/validator.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

using namespace amaranthladder;

namespace {

/// @return a configuration folder with ten services per file, each with one route.
std::vector<config_file> make_folder(int service_count) {
    constexpr int services_per_file = 10;
    std::vector<config_file> result;
    for (int i = 0; i < service_count; ++i) {
        if (i % services_per_file == 0) {
            result.push_back({fmt::format("{:04}-services.ini", i / services_per_file), ""});
        }
        result.back().text += fmt::format("[service service-{0:04}]\ntimeout_ms = 3000\nqueue_limit = 16\n\n"
                                          "[route route-{0:04}]\nservice = service-{0:04}\n"
                                          "path_prefix = /service-{0:04}/orders\nmethods = GET, POST\n\n",
                                          i);
    }
    return result;
}

std::shared_ptr<const snapshot> make_snapshot(std::uint64_t version, intended_state state) {
    return snapshot::create(version, absl::FromUnixSeconds(1'800'000'000), fmt::format("publish-{}", version),
                            std::move(state));
}

intended_state with_changes(intended_state state, std::size_t count) {
    for (auto& [name, value] : state.services) {
        if (count-- == 0) {
            break;
        }
        value.queue_limit = 17;
    }
    return state;
}

/// Prints one row: the operation, the size of its input or output, and the least, median and greatest time of @p runs
/// runs in milliseconds.
template <typename Operation>
void measure(const std::string& name, std::size_t bytes, int runs, const Operation& operation) {
    std::vector<double> milliseconds;
    for (int i = 0; i < runs; ++i) {
        const auto start = std::chrono::steady_clock::now();
        operation();
        milliseconds.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::ranges::sort(milliseconds);
    std::cout << fmt::format("{},{},{},{:.3f},{:.3f},{:.3f}\n", name, bytes, runs, milliseconds.front(),
                             milliseconds[milliseconds.size() / 2], milliseconds.back());
}

void run(int service_count, int runs) {
    const std::vector<config_file> folder = make_folder(service_count);
    const intended_state state = state_builder::build_valid(folder);
    const auto base = make_snapshot(1, state);
    const std::size_t snapshot_bytes = base->canonical_bytes().size();
    std::cout << "operation,bytes,runs,least_ms,median_ms,most_ms\n";
    measure("read and validate the folder", snapshot_bytes, runs, [&] { state_builder::build_valid(folder); });
    measure("validate", snapshot_bytes, runs, [&] { validator::require_valid(base->state()); });
    measure("create a snapshot", snapshot_bytes, runs, [&] { make_snapshot(2, state); });
    measure("decode a snapshot", snapshot_bytes, runs,
            [&] { snapshot::decode(base->canonical_bytes(), base->hash()); });
    for (const std::size_t changes : {std::size_t{1}, std::size_t{10}, std::size_t{100}}) {
        const auto target = make_snapshot(2, with_changes(state, changes));
        const std::string update = snapshot_delta::encode(base.get(), *target);
        const std::string suffix = fmt::format("an update of {}", changes);
        measure("encode " + suffix, update.size(), runs, [&] { snapshot_delta::encode(base.get(), *target); });
        measure("apply " + suffix, update.size(), runs, [&] { snapshot_delta::apply(base.get(), update); });
        measure("apply and validate " + suffix, update.size(), runs,
                [&] { validator::require_valid(snapshot_delta::apply(base.get(), update)->state()); });
    }
    const std::string full_update = snapshot_delta::encode(nullptr, *base);
    measure("apply a whole update", full_update.size(), runs, [&] { snapshot_delta::apply(nullptr, full_update); });
}

} // namespace

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    try {
        int service_count = 0;
        int runs = 0;
        options::options_description description("Options");
        description.add_options()("help", "print this text")("services",
                                                             options::value<int>(&service_count)->default_value(2200),
                                                             "number of services, each with one route")(
            "runs", options::value<int>(&runs)->default_value(101), "runs of each operation");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") != 0 || service_count < 1 || runs < 1) {
            std::cout << description;
            return values.count("help") != 0 ? 0 : 2;
        }
        run(service_count, runs);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
    return 0;
}
