#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// The parsed command line of the tool.
struct tool_options {
    bool is_help_requested = false;
    bool is_version_requested = false;
    bool uses_json = false;
    std::string command;
    std::string folder;
    endpoint store;
    endpoint daemon;
    std::string operator_name;
    std::optional<std::uint64_t> expected_version;
    std::optional<std::string> against; ///< Only `check`: `running`, a folder, or a file with a snapshot.
    absl::Duration deadline;
    absl::Duration poll_interval;
    std::optional<std::string> request;
    std::optional<std::string> move;
    std::optional<std::string> route;
    std::string mesh;                        ///< Only `report`.
    std::string month;                       ///< Only `report`; YYYY-MM.
    std::optional<std::string> compare_file; ///< Only `report`.
    bool uses_csv = false;                   ///< report

    /// @param arguments the arguments without the program name.
    /// @return the options.
    /// @throws error with result_code::usage or result_code::setting_bad_value.
    static tool_options parse(const std::vector<std::string>& arguments);

    /// Prints the commands and options.
    static void print_help(std::ostream& out);
};

} // namespace amaranthladder
