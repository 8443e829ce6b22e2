#pragma once

#include "report/month_record.h"
#include "report/month_table.h"
#include "report/report_writer.h"
#include "store/key_value_store.h"

#include <optional>
#include <string>

namespace amaranthladder {

/// The arguments of `report --month YYYY-MM [--compare FILE.csv] [--csv]`.
struct report_request {
    std::string mesh;
    std::string month;
    bool uses_csv = false;
    std::string comparison_file_name;           ///< Name of the comparison file, for error messages.
    std::optional<std::string> comparison_text; ///< Content of the comparison file.
};

/// @param table the mesh's records.
/// @param request the command's arguments.
/// @return the report, as text or CSV.
/// @throws error with report_bad_month, report_compare_malformed, report_record_malformed or store_unavailable.
template <key_value_store Store> std::string month_report(month_table<Store>& table, const report_request& request) {
    report_columns columns;
    columns.mesh = request.mesh;
    columns.month = request.month;
    columns.previous_month = previous_month(request.month);
    if (request.comparison_text) {
        columns.has_comparison = true;
        columns.comparison = read_comparison(*request.comparison_text, request.comparison_file_name);
    }
    columns.current = summarize(table.read(columns.month));
    columns.previous = summarize(table.read(columns.previous_month));
    return request.uses_csv ? report_csv(columns) : report_text(columns);
}

} // namespace amaranthladder
