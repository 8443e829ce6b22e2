#include "tool/tool_commands.h"

#include "common/backoff.h"
#include "common/error.h"
#include "config/folder_merger.h"
#include "config/state_builder.h"
#include "report/month_report.h"
#include "report/month_table.h"
#include "store/call_counter.h"
#include "store/http_store.h"
#include "tool/daemon_client.h"
#include "tool/exit_status.h"
#include "tool/folder_check.h"
#include "tool/folder_publisher.h"

#include <absl/random/random.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace amaranthladder {

namespace {

/// Value of --against for the version that the store holds.
constexpr std::string_view running_version = "running";
constexpr absl::Duration stop_poll_interval = absl::Milliseconds(100);
constexpr absl::Duration initial_retry_delay = absl::Seconds(1);
constexpr absl::Duration max_retry_delay = absl::Seconds(30);

boost::json::object to_json(const apply_result& result) {
    return {{"code", static_cast<int>(result.code)},
            {"name", std::string(name(result.code))},
            {"version", result.version},
            {"publish_id", result.publish_id},
            {"operator", result.operator_name},
            {"differences", boost::json::array(result.differences.begin(), result.differences.end())}};
}

std::string to_text(const apply_result& result) {
    std::string text = fmt::format("{} {}: {}\nversion: {}\n", static_cast<int>(result.code), name(result.code),
                                   describe(result.code).text, result.version);
    if (!result.publish_id.empty()) {
        text += fmt::format("publish id: {}\n", result.publish_id);
    }
    if (!result.operator_name.empty()) {
        text += fmt::format("operator: {}\n", result.operator_name);
    }
    for (const std::string& difference : result.differences) {
        text += fmt::format("  {}\n", difference);
    }
    return text;
}

boost::json::object to_json(const config_problem& problem) {
    return {{"code", static_cast<int>(problem.code)},
            {"name", std::string(name(problem.code))},
            {"file", problem.file},
            {"line", problem.line},
            {"section", problem.section},
            {"key", problem.key},
            {"text", problem.text}};
}

boost::json::object to_json(const check_report& report) {
    boost::json::array findings;
    for (const check_finding& finding : report.findings) {
        boost::json::object listed = to_json(finding.problem);
        listed["severity"] = std::string(name(finding.severity));
        listed["fix"] = finding.fix;
        findings.push_back(std::move(listed));
    }
    return {{"code", static_cast<int>(report.code())},
            {"name", std::string(name(report.code()))},
            {"services", report.services},
            {"routes", report.routes},
            {"shares", report.shares},
            {"moves", report.moves},
            {"tenants", report.tenants},
            {"findings", std::move(findings)}};
}

std::string to_text(const check_report& report) {
    std::string text;
    for (const check_finding& finding : report.findings) {
        text += fmt::format("{}: {}\n", name(finding.severity), to_string(finding));
    }
    return text + fmt::format("{} services, {} routes, {} shares, {} moves, {} tenants, {} findings\n", report.services,
                              report.routes, report.shares, report.moves, report.tenants, report.findings.size());
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw error(result_code::file_unreadable, path);
    }
    return text.str();
}

bool are_files_equal(const std::vector<config_file>& left, const std::vector<config_file>& right) {
    return std::ranges::equal(left, right, [](const config_file& one, const config_file& other) {
        return one.name == other.name && one.text == other.text;
    });
}

} // namespace

tool_commands::tool_commands(tool_options options, std::ostream& out, std::ostream& errors)
    : m_options(std::move(options)), m_out(out), m_errors(errors) {}

result_code tool_commands::run(const std::function<bool()>& is_stopped) {
    if (m_options.command == "check") {
        return run_and_report_errors([this] { return check(); });
    }
    if (m_options.command == "apply") {
        return run_and_report_errors([this] { return apply(); });
    }
    if (m_options.command == "watch") {
        return watch(is_stopped);
    }
    if (m_options.command == "status") {
        return run_and_report_errors([this] { return status(); });
    }
    if (m_options.command == "report") {
        return run_and_report_errors([this] { return report(); });
    }
    return run_and_report_errors([this] { return explain(); });
}

result_code tool_commands::check() {
    const std::vector<config_file> files = folder_merger::load(m_options.folder);
    const std::optional<intended_state> base = m_options.against ? std::optional(read_base()) : std::nullopt;
    const check_report report = folder_check::run(files, base ? &*base : nullptr);
    m_out << (m_options.uses_json ? boost::json::serialize(to_json(report)) + "\n" : to_text(report)) << std::flush;
    return report.code();
}

intended_state tool_commands::read_base() const {
    if (*m_options.against == running_version) {
        call_counter calls;
        http_store store(m_options.store, calls);
        const auto content = head_reader<http_store>(store).read(m_options.deadline);
        return content ? snapshot::decode(content->bytes, content->head.hash)->state() : intended_state{};
    }
    if (std::filesystem::is_directory(*m_options.against)) {
        return state_builder::build_valid(folder_merger::load(*m_options.against));
    }
    return snapshot::decode(read_file(*m_options.against))->state();
}

result_code tool_commands::apply() {
    intended_state state = state_builder::build_valid(folder_merger::load(m_options.folder));
    call_counter calls;
    http_store store(m_options.store, calls);
    absl::BitGen random;
    const apply_result result = folder_publisher(store, m_options.operator_name)
                                    .apply(std::move(state), m_options.expected_version, m_options.deadline, random);
    m_out << (m_options.uses_json ? boost::json::serialize(to_json(result)) + "\n" : to_text(result)) << std::flush;
    return result.code;
}

result_code tool_commands::watch(const std::function<bool()>& is_stopped) {
    std::vector<config_file> last_files;
    std::vector<config_file> applied_files;
    bool is_applied = false;
    absl::BitGen random;
    backoff retry_backoff(initial_retry_delay, max_retry_delay);
    absl::Time not_before = absl::InfinitePast();
    while (!is_stopped()) {
        std::vector<config_file> files;
        const result_code load_result = run_and_report_errors([this, &files] {
            files = folder_merger::load(m_options.folder);
            return result_code::ok;
        });
        // A folder is applied once two consecutive polls find the same content, to skip half-written files.
        const bool is_stable = load_result == result_code::ok && are_files_equal(files, last_files);
        last_files = std::move(files);
        if (is_stable && (!is_applied || !are_files_equal(last_files, applied_files)) && absl::Now() >= not_before) {
            const result_code code = run_and_report_errors([this] { return apply(); });
            const exit_status status = exit_status_of(code);
            // A raced publish is not retried: two watches of different folders would overwrite each other forever.
            is_applied = status != exit_status::unavailable && status != exit_status::unknown;
            if (is_applied) {
                applied_files = last_files;
                retry_backoff.reset();
            } else {
                not_before = absl::Now() + retry_backoff.next_delay(random);
            }
        }
        const absl::Time next_poll = absl::Now() + m_options.poll_interval;
        while (absl::Now() < next_poll && !is_stopped()) {
            absl::SleepFor(std::min(stop_poll_interval, next_poll - absl::Now()));
        }
    }
    return result_code::ok;
}

result_code tool_commands::status() {
    const std::string json = daemon_client(m_options.daemon, m_options.deadline).get("/v1/status");
    m_out << (m_options.uses_json ? json + "\n" : flatten_json(json));
    return result_code::ok;
}

result_code tool_commands::explain() {
    const daemon_client client(m_options.daemon, m_options.deadline);
    std::string json;
    if (m_options.request) {
        json = client.get("/v1/explain", "request", *m_options.request);
    } else if (m_options.move) {
        json = client.get("/v1/explain", "move", *m_options.move);
    } else {
        json = client.get("/v1/explain", "route", *m_options.route);
    }
    m_out << (m_options.uses_json ? json + "\n" : flatten_json(json));
    return result_code::ok;
}

result_code tool_commands::report() {
    report_request request;
    request.mesh = m_options.mesh;
    request.month = m_options.month;
    request.uses_csv = m_options.uses_csv;
    if (m_options.compare_file) {
        request.comparison_file_name = *m_options.compare_file;
        request.comparison_text = read_file(*m_options.compare_file);
    }
    call_counter calls;
    http_store store(m_options.store, calls);
    month_table<http_store> table(store, request.mesh, m_options.deadline);
    m_out << month_report(table, request) << std::flush;
    return result_code::ok;
}

result_code tool_commands::run_and_report_errors(const std::function<result_code()>& body) {
    try {
        return body();
    } catch (const config_error_list& list) {
        if (m_options.uses_json) {
            boost::json::array problems;
            for (const config_problem& problem : list.problems()) {
                problems.push_back(to_json(problem));
            }
            m_out << boost::json::serialize(boost::json::object{{"code", static_cast<int>(list.code())},
                                                                {"name", std::string(name(list.code()))},
                                                                {"problems", std::move(problems)}})
                  << std::endl;
        } else {
            for (const config_problem& problem : list.problems()) {
                m_errors << to_string(problem) << std::endl;
            }
        }
        return list.code();
    } catch (const error& problem) {
        print_result(problem.code(), problem.what());
        return problem.code();
    }
}

void tool_commands::print_result(result_code code, const std::string& text) {
    if (m_options.uses_json) {
        m_out << boost::json::serialize(boost::json::object{
                     {"code", static_cast<int>(code)}, {"name", std::string(name(code))}, {"text", text}})
              << std::endl;
        return;
    }
    (code == result_code::ok ? m_out : m_errors) << text << std::endl;
}

} // namespace amaranthladder
