#pragma once

#include <span>
#include <string_view>

namespace amaranthladder {

/// What the sender of a refused request can conclude about its execution.
enum class execution {
    not_applicable, ///< The code does not concern a request.
    not_run,        ///< The upstream has not received the request and will not receive it.
    may_have_run,   ///< The request may have been executed once.
};

/// Result codes of all components, listed in docs/result-codes.md. Numbers are never reused.
enum class result_code {
    ok = 0,
    internal_error = 1,

    // Command line and settings.
    usage = 1000,
    setting_unknown = 1001,
    setting_missing = 1002,
    setting_duplicate = 1003,
    setting_bad_value = 1004,
    setting_bad_unit = 1005,
    setting_out_of_range = 1006,
    setting_syntax = 1007,
    file_unreadable = 1008,
    listen_failed = 1009,
    setting_conflict = 1010,

    // Configuration folder and snapshots.
    config_syntax = 1100,
    config_unknown_section = 1101,
    config_unknown_key = 1102,
    config_duplicate_key = 1103,
    config_missing_key = 1104,
    config_bad_value = 1105,
    config_out_of_range = 1106,
    config_unknown_service = 1107,
    config_ambiguous_route = 1108,
    config_too_large = 1109,
    config_folder_empty = 1110,
    config_bad_name = 1111,
    config_share_without_weight = 1112,
    config_move_conflict = 1113,
    config_shared_key = 1114,
    snapshot_malformed = 1120,
    snapshot_hash_mismatch = 1121,
    snapshot_not_newer = 1122,
    snapshot_base_mismatch = 1123,

    // Findings of a check of a folder that the daemons may accept.
    check_route_never_matches = 1130,
    check_tenant_without_key = 1131,
    check_share_without_route = 1132,
    check_target_above_timeout = 1133,
    check_quota_conflict = 1134,
    check_attempts_conflict = 1135,
    check_difference = 1136,

    // The platform's store.
    store_unavailable = 1200,
    store_outcome_unknown = 1201,
    store_conflict = 1202,
    store_value_too_large = 1203,
    store_bad_answer = 1204,
    store_key_absent = 1205,
    publish_raced = 1210,
    publish_unresolved = 1211,
    publish_unchanged = 1212,

    // Messages between daemons and announcements of upstreams.
    message_malformed = 1300,
    message_too_large = 1301,
    message_other_mesh = 1302,
    peer_unreachable = 1303,
    announcement_malformed = 1310,
    announcement_stale = 1311,
    announcement_conflict = 1312,

    // Requests.
    no_route = 1400,
    no_upstream = 1401,
    queue_full = 1402,
    queue_deadline = 1403,
    upstream_leaving = 1404,
    connect_failed = 1405,
    response_timeout = 1406,
    connection_lost = 1407,
    response_truncated = 1408,
    caller_disconnected = 1409,
    deadline_expired = 1410,
    daemon_draining = 1411,
    request_malformed = 1412,
    headers_too_large = 1413,
    too_many_hops = 1414,
    retry_budget_exhausted = 1415,
    response_mismatched = 1416,
    method_not_allowed = 1417,
    too_many_connections = 1418,
    response_malformed = 1419,
    overloaded = 1420,
    no_configuration = 1421,
    upstream_failed = 1423,
    unknown_key = 1424,
    quota_exceeded = 1425,
    quota_unknown = 1426,
    data_center_evacuated = 1427,
    service_short = 1428,

    // Moves and state charts.
    move_taken_back_failures = 1500,
    move_taken_back_slow = 1501,
    move_taken_back_refusals = 1502,
    move_done = 1503,
    move_late = 1504,
    move_held = 1505,
    move_replaced = 1506,
    move_unknown = 1507,
    move_taken_back_absent = 1508,
    move_taken_back_undecided = 1509,
    move_record_malformed = 1510,
    chart_syntax = 1520,
    chart_unknown_state = 1521,
    chart_unreachable_state = 1522,
    chart_missing_target = 1523,
    chart_missing = 1524,
    chart_no_transition = 1525,

    // Reports.
    report_bad_month = 1600,
    report_record_malformed = 1601,
    report_compare_malformed = 1602,
};

/// An entry of the table of result codes.
struct result_code_entry {
    result_code code;
    std::string_view name;       ///< Stable name, used in logs and JSON.
    std::string_view text;       ///< Human-readable sentence.
    int http_status;             ///< Status of HTTP responses with this code; 0 if there are none.
    execution request_execution; ///< Whether the request may have been executed.
};

/// @return all result codes in ascending order of their numbers.
std::span<const result_code_entry> result_codes();

/// @param code a result code.
/// @return its entry.
/// @throws std::out_of_range if the table has no entry for @p code.
const result_code_entry& describe(result_code code);

/// @return the name of @p code, as `describe(code).name`.
std::string_view name(result_code code);

/// @return the stable name of @p value: `none`, `not-run` or `may-have-run`.
std::string_view name(execution value);

} // namespace amaranthladder
