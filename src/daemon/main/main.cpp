#include "common/error.h"
#include "daemon/mesh_daemon.h"
#include "platform/adapter.h"
#include "settings/daemon_settings.h"

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

using namespace amaranthladder;
namespace po = boost::program_options;

namespace {

// Exit codes; docs/operators.md lists them.
constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 1;
constexpr int exit_usage = 2;
constexpr int exit_failed = 3;

/// Waits for signals until @p has_ended is set: the first SIGTERM or SIGINT drains, the second one stops the daemon.
void handle_signals(mesh_daemon& daemon, const sigset_t& signals, const std::atomic<bool>& has_ended) {
    bool is_draining = false;
    while (true) {
        const int received = sigwaitinfo(&signals, nullptr);
        if (has_ended) {
            return;
        }
        if (received < 0) {
            continue;
        }
        if (received == SIGHUP) {
            daemon.log_reload();
            continue;
        }
        if (is_draining) {
            daemon.stop();
        } else {
            daemon.drain();
            is_draining = true;
        }
    }
}

/// @return the platform adapter that the settings select; empty for the project's own interface.
std::optional<platform_interface> make_platform(const daemon_settings& settings) {
    if (settings.platform.interface == "own") {
        return std::nullopt;
    }
    if (settings.platform.interface != platform::interface_name) {
        throw error(result_code::setting_bad_value,
                    fmt::format("[platform] interface: unknown value '{}'", settings.platform.interface));
    }
    return platform::make_adapter(settings);
}

int serve(const daemon_settings& settings) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    // Blocked before any thread starts, so that only handle_signals receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    mesh_daemon daemon(settings, make_platform(settings));
    const daemon_addresses addresses = daemon.addresses();
    std::cout << "requests=" << to_string(addresses.requests) << " control=" << to_string(addresses.control)
              << " peers=" << to_string(addresses.peers) << std::endl;
    std::atomic<bool> has_ended = false;
    std::thread signal_thread([&] { handle_signals(daemon, signals, has_ended); });
    daemon.run();
    has_ended = true;
    // Ends the wait for a signal. NOLINTNEXTLINE(bugprone-bad-signal-to-kill-thread): the signal is blocked.
    pthread_kill(signal_thread.native_handle(), SIGTERM);
    signal_thread.join();
    return exit_ok;
}

int run(int argc, char** argv) {
    po::options_description options("amaranthladderd: mesh daemon that runs beside each upstream");
    options.add_options()("help", "show this help and exit")("version", "show the version and exit")(
        "settings", po::value<std::string>(), "settings file (INI)")("check", "check the settings file and exit")(
        "print-settings", "show all settings with values, units and ranges, and exit");
    po::variables_map arguments;
    po::store(po::parse_command_line(argc, argv, options), arguments);
    po::notify(arguments);
    const std::string path = arguments.contains("settings") ? arguments["settings"].as<std::string>() : "";
    if (arguments.contains("help")) {
        std::cout << options;
        return exit_ok;
    }
    if (arguments.contains("version")) {
        std::cout << "amaranthladderd " << AMARANTHLADDER_VERSION << '\n';
        return exit_ok;
    }
    if (arguments.contains("print-settings")) {
        std::cout << format_daemon_settings(path);
        return exit_ok;
    }
    if (path.empty()) {
        std::cerr << "--settings FILE is required\n" << options;
        return exit_usage;
    }
    const daemon_settings settings = read_daemon_settings(path);
    if (arguments.contains("check")) {
        std::cout << path << ": ok\n";
        return exit_ok;
    }
    return serve(settings);
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const po::error& problem) {
        std::cerr << problem.what() << '\n';
        return exit_usage;
    } catch (const error& problem) {
        std::cerr << problem.what() << '\n';
        return problem.code() == result_code::listen_failed ? exit_failed : exit_bad_settings;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return exit_failed;
    }
}
