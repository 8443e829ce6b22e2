#include "report/report_writer.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace amaranthladder {

namespace {

/// @return the quantile of @p values at @p fraction (nearest rank).
double quantile(std::vector<double> values, double fraction) {
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

void add_outcomes(month_figures& figures, const std::vector<month_record>& records) {
    figures["moves_in_time"] = figures["moves_late"] = figures["moves_rolled_back"] = figures["moves_replaced"] = 0;
    std::vector<double> seconds;
    std::vector<double> shares;
    double calls = 0;
    for (const month_record& record : records) {
        const auto* outcome = std::get_if<move_outcome>(&record.content);
        if (outcome == nullptr) {
            continue;
        }
        if (outcome->verdict == "rolled-back") {
            figures["moves_rolled_back"] += 1;
            seconds.push_back(outcome->time_to_verdict_s);
            shares.push_back(100 * outcome->new_version_share);
            calls += static_cast<double>(outcome->new_version_calls);
        } else if (outcome->verdict == "done") {
            figures["moves_in_time"] += 1;
        } else {
            figures[outcome->verdict == "done-late" ? "moves_late" : "moves_replaced"] += 1;
        }
    }
    if (!seconds.empty()) {
        figures["rollback_verdict_median_s"] = quantile(seconds, 0.5);
        figures["rollback_verdict_worst_s"] = quantile(seconds, 1);
        figures["rollback_share_worst_percent"] = quantile(shares, 1);
        figures["rollback_exposed_calls"] = calls;
    }
}

void add_samples(month_figures& figures, const std::vector<month_record>& records) {
    std::vector<double> convergence;
    std::set<std::string> daemons;
    double bytes = 0;
    double daemon_seconds = 0;
    for (const month_record& record : records) {
        if (const auto* sample = std::get_if<traffic_sample>(&record.content)) {
            daemons.insert(sample->daemon);
            bytes += static_cast<double>(sample->control_bytes);
            daemon_seconds += sample->window_seconds;
            for (const std::uint32_t value : sample->convergence_ms) {
                convergence.push_back(value / 1000.0);
            }
        }
    }
    if (!convergence.empty()) {
        figures["convergence_median_s"] = quantile(convergence, 0.5);
        figures["convergence_p99_s"] = quantile(convergence, 0.99);
        figures["convergence_worst_s"] = quantile(convergence, 1);
    }
    if (daemon_seconds > 0) {
        figures["daemons"] = static_cast<double>(daemons.size());
        figures["control_bytes_per_daemon_s"] = bytes / daemon_seconds;
        figures["control_bytes_total"] = bytes;
    }
}

std::string format_value(const month_figures& figures, const report_figure& figure) {
    const auto found = figures.find(figure.name);
    return found == figures.end() ? std::string() : fmt::format("{:.{}f}", found->second, figure.decimals);
}

std::string dash_if_empty(const std::string& text) {
    return text.empty() ? "-" : text;
}

} // namespace

const std::vector<report_figure>& report_figures() {
    static const std::vector<report_figure> figures{
        {"convergence_median_s", "s", "Convergence time, median", 3},
        {"convergence_p99_s", "s", "Convergence time, 99th percentile", 3},
        {"convergence_worst_s", "s", "Convergence time, worst", 3},
        {"control_bytes_per_daemon_s", "bytes/s", "Control-plane bytes per daemon", 0},
        {"control_bytes_total", "bytes", "Control-plane bytes, total", 0},
        {"daemons", "", "Daemons that reported", 0},
        {"moves_in_time", "", "Moves done in time", 0},
        {"moves_late", "", "Moves done late", 0},
        {"moves_rolled_back", "", "Moves rolled back", 0},
        {"moves_replaced", "", "Moves replaced by an edit", 0},
        {"rollback_verdict_median_s", "s", "Rollbacks: start to verdict, median", 1},
        {"rollback_verdict_worst_s", "s", "Rollbacks: start to verdict, worst", 1},
        {"rollback_share_worst_percent", "%", "Rollbacks: largest share at the verdict", 1},
        {"rollback_exposed_calls", "", "Rollbacks: calls to the new versions", 0},
    };
    return figures;
}

month_figures summarize(const std::vector<month_record>& records) {
    month_figures figures;
    add_outcomes(figures, records);
    add_samples(figures, records);
    return figures;
}

month_figures read_comparison(std::string_view text, std::string_view file_name) {
    month_figures figures;
    std::vector<std::string> lines;
    boost::algorithm::split(lines, text, boost::algorithm::is_any_of("\n"));
    for (std::size_t index = 0; index < lines.size(); ++index) {
        const std::string line = boost::algorithm::trim_copy(lines[index]);
        if (line.empty() || line.front() == '#' || line == "figure,value") {
            continue;
        }
        const auto throw_malformed = [&](std::string_view problem) {
            throw error(result_code::report_compare_malformed,
                        fmt::format("{}:{}: {}: '{}'", file_name, index + 1, problem, line));
        };
        const auto comma = line.find(',');
        if (comma == std::string::npos) {
            throw_malformed("no comma");
        }
        const std::string figure_name = boost::algorithm::trim_copy(line.substr(0, comma));
        const std::string number = boost::algorithm::trim_copy(line.substr(comma + 1));
        if (std::ranges::find(report_figures(), figure_name, &report_figure::name) == report_figures().end()) {
            throw_malformed("unknown figure");
        }
        const std::optional<double> value = parse_number<double>(number);
        if (!value || !std::isfinite(*value) || *value < 0) {
            throw_malformed("not a number of at least 0");
        }
        if (!figures.emplace(figure_name, *value).second) {
            throw_malformed("figure given twice");
        }
    }
    return figures;
}

std::string report_text(const report_columns& columns) {
    std::string text = fmt::format("Mesh {}, {}\n\n{:<42} {:>8} {:>16} {:>16}", columns.mesh, columns.month, "", "unit",
                                   columns.month, columns.previous_month);
    text += columns.has_comparison ? fmt::format(" {:>16}\n", "old system") : "\n";
    for (const report_figure& figure : report_figures()) {
        text += fmt::format("{:<42} {:>8} {:>16} {:>16}", figure.text, figure.unit,
                            dash_if_empty(format_value(columns.current, figure)),
                            dash_if_empty(format_value(columns.previous, figure)));
        text += columns.has_comparison
                    ? fmt::format(" {:>16}\n", dash_if_empty(format_value(columns.comparison, figure)))
                    : "\n";
    }
    return text;
}

std::string report_csv(const report_columns& columns) {
    std::string text = fmt::format("figure,unit,{},{}{}\n", columns.month, columns.previous_month,
                                   columns.has_comparison ? ",old_system" : "");
    for (const report_figure& figure : report_figures()) {
        text += fmt::format("{},{},{},{}", figure.name, figure.unit, format_value(columns.current, figure),
                            format_value(columns.previous, figure));
        text += columns.has_comparison ? fmt::format(",{}\n", format_value(columns.comparison, figure)) : "\n";
    }
    return text;
}

} // namespace amaranthladder
