#include "announcer.h"
#include "common/endpoint.h"
#include "fake_upstream.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>

using namespace amaranthladder;
namespace po = boost::program_options;

namespace {

/// Runs the upstream until SIGTERM or SIGINT, then announces that it is leaving, waits for the requests in progress,
/// and stops.
/// @param upstream_announcer may be null if the upstream is not announced.
/// @param leave_seconds time between the announcement and the stop.
void run_until_terminated(fake_upstream& upstream, announcer* upstream_announcer, int leave_seconds) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread server([&upstream] { upstream.run(); });
    int received = 0;
    sigwait(&signals, &received);
    if (upstream_announcer != nullptr) {
        upstream_announcer->leave();
        std::this_thread::sleep_for(std::chrono::seconds(leave_seconds));
    }
    while (upstream.running_requests() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    upstream.stop();
    server.join();
}

} // namespace

int main(int argc, char** argv) {
    try {
        po::options_description options("Options");
        options.add_options()("help", "show this text")(
            "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
            "address to serve on")("daemon", po::value<std::string>(), "control address of the daemon to announce to")(
            "id", po::value<std::string>()->default_value("upstream-1"),
            "unique id")("service", po::value<std::string>()->default_value("tienda"),
                         "service name")("version", po::value<std::string>()->default_value("v1"), "version")(
            "slots", po::value<int>()->default_value(12), "concurrent requests")(
            "delay-ms", po::value<int>()->default_value(0), "service time of each request, in ms")(
            "fail-percent", po::value<int>()->default_value(0), "percentage of requests that get status 500")(
            "endless", po::value<std::string>()->default_value("none"),
            "bytes without end that answer each request, see endless_response.h")(
            "leave-seconds", po::value<int>()->default_value(3), "seconds between the leave notice and the exit");
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.contains("help")) {
            std::cout << options;
            return 0;
        }
        fake_upstream_behavior behavior;
        behavior.delay = absl::Milliseconds(values["delay-ms"].as<int>());
        behavior.fail_percent = values["fail-percent"].as<int>();
        const auto endless = parse_endless_kind(values["endless"].as<std::string>());
        if (!endless) {
            throw std::invalid_argument("unknown value of --endless");
        }
        behavior.endless = *endless;
        fake_upstream upstream(parse_endpoint(values["listen"].as<std::string>()), values["version"].as<std::string>(),
                               behavior);
        std::cout << "listening on " << to_string(upstream.address()) << std::endl;
        std::unique_ptr<announcer> upstream_announcer;
        if (values.contains("daemon")) {
            upstream_announcer = std::make_unique<announcer>(parse_endpoint(values["daemon"].as<std::string>()),
                                                             announcement{values["id"].as<std::string>(),
                                                                          values["service"].as<std::string>(),
                                                                          values["version"].as<std::string>(),
                                                                          upstream.address(),
                                                                          values["slots"].as<int>(),
                                                                          {},
                                                                          0,
                                                                          false});
        }
        run_until_terminated(upstream, upstream_announcer.get(), values["leave-seconds"].as<int>());
        return 0;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
