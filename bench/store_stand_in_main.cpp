#include "store_stand_in.h"
#include "store_stand_in_state.h"

#include "common/endpoint.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>

namespace {

namespace options = boost::program_options;

int run(int argument_count, char** arguments) {
    amaranthladder::store_faults faults;
    std::int64_t delay_ms = 0;
    std::size_t threads = amaranthladder::store_stand_in::default_threads;
    std::string listen_address;
    options::options_description description(
        "amaranthladder_store_stand_in: an in-memory store for tests and benchmarks");
    description.add_options()("help", "print this help")(
        "listen", options::value(&listen_address)->default_value("127.0.0.1:8500"),
        "ADDRESS:PORT; port 0 selects a free port")("threads", options::value(&threads)->default_value(threads),
                                                    "connections served concurrently")(
        "delay-ms", options::value(&delay_ms)->default_value(0),
        "delay of each call, in ms")("down", options::bool_switch(&faults.is_down), "refuse each call with status 503")(
        "close", options::bool_switch(&faults.closes_connections), "with --down: close connections without a response")(
        "lose-answers", options::value(&faults.lose_answers)->default_value(0),
        "lose the responses to this many writes")(
        "lose-requests", options::value(&faults.lose_requests)->default_value(0), "lose this many writes")(
        "lease-lifetime-percent", options::value(&faults.lease_lifetime_percent)->default_value(100),
        "end leases after this percentage of their lifetime");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, arguments, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    // Blocked before the server starts its threads, which inherit the mask, so that sigwait() receives the signals.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    faults.delay = absl::Milliseconds(delay_ms);
    amaranthladder::store_stand_in_state state;
    state.set_faults(faults);
    const amaranthladder::store_stand_in server(state, amaranthladder::parse_endpoint(listen_address), threads);
    fmt::print("listening on {}\n", amaranthladder::to_string(server.address()));
    std::fflush(stdout);
    int received = 0;
    sigwait(&stop_signals, &received);
    return 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    try {
        return run(argument_count, arguments);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return 2;
    }
}
