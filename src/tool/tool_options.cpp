#include "tool/tool_options.h"

#include "common/error.h"
#include "settings/quantities.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <ostream>
#include <set>

namespace amaranthladder {

namespace {

namespace po = boost::program_options;

const std::set<std::string> folder_commands{"check", "apply", "watch"};
const std::set<std::string> other_commands{"status", "explain", "report"};

std::string default_operator() {
    const char* const user = std::getenv("USER");
    return user != nullptr && *user != '\0' ? user : "unknown";
}

po::options_description named_options() {
    po::options_description descriptions("Options");
    descriptions.add_options()("help", "print this help")("version", "print the version")("json", "print JSON")(
        "store", po::value<std::string>()->default_value("127.0.0.1:8500"), "ADDR:PORT of the store")(
        "daemon", po::value<std::string>()->default_value("127.0.0.1:7300"), "ADDR:PORT of a daemon's control port")(
        "operator", po::value<std::string>()->default_value(default_operator()),
        "operator name stored with the version")("expect-version", po::value<std::uint64_t>(),
                                                 "apply only on top of this version")(
        "against", po::value<std::string>(),
        "check: compare with 'running' (the store's version), a folder or a snapshot file")(
        "format", po::value<std::string>()->default_value("text"), "check: text or json, as --json")(
        "deadline", po::value<std::string>()->default_value("30s"), "timeout of a command or publish")(
        "poll", po::value<std::string>()->default_value("1s"), "watch: interval between reads of the folder")(
        "request", po::value<std::string>(), "explain: METHOD PATH, for instance 'GET /orders'")(
        "move", po::value<std::string>(), "explain: name of a move")("route", po::value<std::string>(),
                                                                     "explain: name of a route")(
        "mesh", po::value<std::string>()->default_value(""),
        "report: name of the mesh")("month", po::value<std::string>()->default_value(""), "report: YYYY-MM")(
        "compare", po::value<std::string>(), "report: CSV file with the old system's figures")("csv",
                                                                                               "report: print CSV");
    return descriptions;
}

std::optional<std::string> optional_text(const po::variables_map& values, const char* key) {
    return values.contains(key) ? std::optional(values[key].as<std::string>()) : std::nullopt;
}

void read_format(const po::variables_map& values, tool_options& parsed) {
    const std::string& format = values["format"].as<std::string>();
    if (format != "text" && format != "json") {
        throw error(result_code::usage, "--format is text or json");
    }
    if (!values["format"].defaulted()) {
        if (parsed.command != "check" || (parsed.uses_json && format == "text")) {
            throw error(result_code::usage, "only check takes --format, and not 'text' beside --json");
        }
        parsed.uses_json = format == "json";
    }
}

void validate(const tool_options& parsed) {
    if (parsed.is_help_requested || parsed.is_version_requested) {
        return;
    }
    const bool needs_folder = folder_commands.contains(parsed.command);
    if (!needs_folder && !other_commands.contains(parsed.command)) {
        throw error(result_code::usage,
                    parsed.command.empty() ? "missing command" : "unknown command " + parsed.command);
    }
    if (needs_folder == parsed.folder.empty()) {
        throw error(result_code::usage, parsed.command + (needs_folder ? " requires a folder" : " takes no folder"));
    }
    const int explain_targets = (parsed.request ? 1 : 0) + (parsed.move ? 1 : 0) + (parsed.route ? 1 : 0);
    if (explain_targets != (parsed.command == "explain" ? 1 : 0)) {
        throw error(result_code::usage,
                    "explain requires exactly one of --request, --move and --route; other commands take none of them");
    }
    const bool has_report_options = !parsed.mesh.empty() || !parsed.month.empty();
    if (parsed.command == "report" ? parsed.mesh.empty() || parsed.month.empty() : has_report_options) {
        throw error(result_code::usage, "report requires --mesh and --month; other commands take neither");
    }
    if ((parsed.uses_csv || parsed.compare_file) && parsed.command != "report") {
        throw error(result_code::usage, "only report takes --csv and --compare");
    }
    if (parsed.against && parsed.command != "check") {
        throw error(result_code::usage, "only check takes --against");
    }
    if (parsed.expected_version && parsed.command != "apply") {
        throw error(result_code::usage, "only apply takes --expect-version");
    }
}

} // namespace

tool_options tool_options::parse(const std::vector<std::string>& arguments) {
    po::options_description all;
    all.add(named_options());
    all.add_options()("command", po::value<std::string>()->default_value(""))(
        "folder", po::value<std::string>()->default_value(""));
    po::positional_options_description positions;
    positions.add("command", 1).add("folder", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& problem) {
        throw error(result_code::usage, problem.what());
    }
    tool_options parsed;
    parsed.is_help_requested = values.contains("help");
    parsed.is_version_requested = values.contains("version");
    parsed.uses_json = values.contains("json");
    parsed.command = values["command"].as<std::string>();
    parsed.folder = values["folder"].as<std::string>();
    parsed.store = parse_endpoint(values["store"].as<std::string>());
    parsed.daemon = parse_endpoint(values["daemon"].as<std::string>());
    parsed.operator_name = values["operator"].as<std::string>();
    parsed.deadline = parse_duration(values["deadline"].as<std::string>());
    parsed.poll_interval = parse_duration(values["poll"].as<std::string>());
    if (values.contains("expect-version")) {
        parsed.expected_version = values["expect-version"].as<std::uint64_t>();
    }
    parsed.against = optional_text(values, "against");
    read_format(values, parsed);
    parsed.request = optional_text(values, "request");
    parsed.move = optional_text(values, "move");
    parsed.route = optional_text(values, "route");
    parsed.mesh = values["mesh"].as<std::string>();
    parsed.month = values["month"].as<std::string>();
    parsed.compare_file = optional_text(values, "compare");
    parsed.uses_csv = values.contains("csv");
    validate(parsed);
    return parsed;
}

void tool_options::print_help(std::ostream& out) {
    out << "amaranthladder COMMAND [OPTIONS]\n"
           "  check FOLDER    report errors, entries without effect, contradictions and, with --against, "
           "differences\n"
           "  apply FOLDER    validate and publish a configuration folder\n"
           "  watch FOLDER    apply each change of a folder until stopped\n"
           "  status          show a daemon's status\n"
           "  explain         show what a daemon knows about a request, move or route\n"
           "  report          show a month's figures: --mesh NAME --month YYYY-MM [--compare FILE.csv] [--csv]\n"
           "Exit codes: 0 done, 1 refused, 2 usage, 3 store or daemon unavailable, 4 another operator published "
           "first,\n"
           "5 publish outcome unknown, 6 other errors. docs/tool.md describes them.\n"
        << named_options();
}

} // namespace amaranthladder
