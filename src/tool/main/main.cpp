#include "common/error.h"
#include "tool/exit_status.h"
#include "tool/tool_commands.h"
#include "tool/tool_options.h"

#include <atomic>
#include <csignal>
#include <exception>
#include <iostream>

namespace {

std::atomic<bool> is_stop_requested = false;

void request_stop(int) {
    is_stop_requested = true;
}

amaranthladder::result_code run(const std::vector<std::string>& arguments) {
    const auto options = amaranthladder::tool_options::parse(arguments);
    if (options.is_help_requested) {
        amaranthladder::tool_options::print_help(std::cout);
        return amaranthladder::result_code::ok;
    }
    if (options.is_version_requested) {
        std::cout << "amaranthladder " << AMARANTHLADDER_VERSION << "\n";
        return amaranthladder::result_code::ok;
    }
    return amaranthladder::tool_commands(options, std::cout, std::cerr).run([] { return is_stop_requested.load(); });
}

} // namespace

int main(int argument_count, char** arguments) {
    // A connection closed by a store or daemon must not terminate the program.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGINT, request_stop);
    std::signal(SIGTERM, request_stop);
    using amaranthladder::exit_status;
    try {
        return static_cast<int>(
            amaranthladder::exit_status_of(run(std::vector<std::string>(arguments + 1, arguments + argument_count))));
    } catch (const amaranthladder::error& problem) {
        std::cerr << problem.what() << "\nSee --help.\n";
        return static_cast<int>(exit_status::usage);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        return static_cast<int>(exit_status::failed);
    }
}
