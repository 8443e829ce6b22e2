#include "load_generator.h"

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <iostream>
#include <string>
#include <vector>

using namespace amaranthladder;
namespace po = boost::program_options;

namespace {

load_target parse_target(const std::string& text, const po::variables_map& values) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        throw std::invalid_argument("--target must be NAME=ADDRESS:PORT");
    }
    load_target target;
    target.name = text.substr(0, equals);
    target.address = parse_endpoint(text.substr(equals + 1));
    target.path = values["path"].as<std::string>();
    target.method = values["method"].as<std::string>();
    target.body_bytes = values["body-bytes"].as<std::size_t>();
    return target;
}

std::uint64_t print_results(const load_options& options, const std::vector<load_result>& results) {
    std::uint64_t failed_calls = 0;
    std::cout << "target,calls_per_s,connections,calls,good,p50_us,p90_us,p99_us,p999_us\n";
    for (const auto& result : results) {
        std::uint64_t successful_calls = 0;
        for (const auto& [status, calls] : result.calls_by_status) {
            if (status >= 200 && status < 400) {
                successful_calls += calls;
            }
        }
        failed_calls += result.calls - successful_calls;
        const auto quantile_us = [&](double fraction) {
            return absl::ToInt64Microseconds(result.latency.quantile(fraction));
        };
        std::cout << fmt::format("{},{},{},{},{},{},{},{},{}\n", result.name, options.calls_per_second,
                                 options.connections, result.calls, successful_calls, quantile_us(0.5),
                                 quantile_us(0.9), quantile_us(0.99), quantile_us(0.999));
        for (const auto& [status, calls] : result.calls_by_status) {
            if (status < 200 || status >= 400) {
                std::cerr << fmt::format("{}: status {}: {} calls\n", result.name, status, calls);
            }
        }
    }
    return failed_calls;
}

} // namespace

int main(int argc, char** argv) {
    try {
        po::options_description description("Sends calls at a fixed rate to one or more targets at the same time");
        description.add_options()("help", "show this text")("target", po::value<std::vector<std::string>>()->required(),
                                                            "NAME=ADDRESS:PORT, may be repeated")(
            "rate", po::value<double>()->default_value(200),
            "calls per second and target")("seconds", po::value<int>()->default_value(10), "duration")(
            "connections", po::value<int>()->default_value(100),
            "connections per target")("method", po::value<std::string>()->default_value("GET"), "HTTP method")(
            "path", po::value<std::string>()->default_value("/"),
            "request path")("body-bytes", po::value<std::size_t>()->default_value(0), "size of the request body");
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        load_options options;
        for (const auto& text : values["target"].as<std::vector<std::string>>()) {
            options.targets.push_back(parse_target(text, values));
        }
        options.calls_per_second = values["rate"].as<double>();
        options.duration = absl::Seconds(values["seconds"].as<int>());
        options.connections = values["connections"].as<int>();
        return print_results(options, generate_load(options)) == 0 ? 0 : 1;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
