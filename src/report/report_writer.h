#pragma once

#include "report/month_record.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Figures of one month, keyed by their names in report_figures(); a figure without data is absent.
using month_figures = std::map<std::string, double, std::less<>>;

/// One line of the report: a figure and its format.
struct report_figure {
    std::string_view name; ///< Stable name, also used in CSV files.
    std::string_view unit;
    std::string_view text;
    int decimals;
};

/// @return the lines of the report in order.
const std::vector<report_figure>& report_figures();

/// @param records a month's records, each id once.
/// @return the month's figures.
month_figures summarize(const std::vector<month_record>& records);

/// Parses the old system's figures: lines `name,value` with the names of report_figures(), in any order. The header
/// `figure,value`, empty lines and lines that start with `#` are skipped.
/// @param text content of the file.
/// @param file_name name of the file, for error messages.
/// @throws error with result_code::report_compare_malformed; its message contains file and line.
month_figures read_comparison(std::string_view text, std::string_view file_name);

/// Content of a report: the columns of figures and their headings.
struct report_columns {
    std::string mesh;
    std::string month;
    month_figures current;
    std::string previous_month;
    month_figures previous;
    bool has_comparison = false;
    month_figures comparison; ///< The old system's figures.
};

/// @return the report as human-readable text.
std::string report_text(const report_columns& columns);

/// @return the report as CSV: `figure,unit,MONTH,MONTH_BEFORE[,old_system]`, empty fields for absent figures.
std::string report_csv(const report_columns& columns);

} // namespace amaranthladder
