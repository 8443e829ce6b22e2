#include "common/result_code.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace amaranthladder {

namespace {

// clang-format off
constexpr auto result_code_table = std::to_array<result_code_entry>({
    {result_code::ok, "ok", "The operation succeeded.", 200, execution::not_applicable},
    {result_code::internal_error, "internal-error", "An unexpected error inside the program.", 500, execution::may_have_run},
    {result_code::usage, "usage", "The command line is not valid; see --help.", 0, execution::not_applicable},
    {result_code::setting_unknown, "setting-unknown", "The settings file has a key or section that does not exist.", 0, execution::not_applicable},
    {result_code::setting_missing, "setting-missing", "A required setting is missing.", 0, execution::not_applicable},
    {result_code::setting_duplicate, "setting-duplicate", "A setting is given more than once.", 0, execution::not_applicable},
    {result_code::setting_bad_value, "setting-bad-value", "The value of a setting is not valid.", 0, execution::not_applicable},
    {result_code::setting_bad_unit, "setting-bad-unit", "The value of a setting has a missing or wrong unit.", 0, execution::not_applicable},
    {result_code::setting_out_of_range, "setting-out-of-range", "The value of a setting is outside its allowed range.", 0, execution::not_applicable},
    {result_code::setting_syntax, "setting-syntax", "A line of the settings file is neither a section nor a key with a value.", 0, execution::not_applicable},
    {result_code::file_unreadable, "file-unreadable", "A file or folder cannot be read.", 0, execution::not_applicable},
    {result_code::listen_failed, "listen-failed", "A socket cannot be opened on the configured address.", 0, execution::not_applicable},
    {result_code::setting_conflict, "setting-conflict", "Two settings contradict each other.", 0, execution::not_applicable},
    {result_code::config_syntax, "config-syntax", "A line of a configuration file is neither a section nor a key with a value.", 400, execution::not_applicable},
    {result_code::config_unknown_section, "config-unknown-section", "A configuration file has a section of an unknown kind.", 400, execution::not_applicable},
    {result_code::config_unknown_key, "config-unknown-key", "A section has a key that is not allowed in this kind of section.", 400, execution::not_applicable},
    {result_code::config_duplicate_key, "config-duplicate-key", "A key appears twice in a section, or a section twice in a file.", 400, execution::not_applicable},
    {result_code::config_missing_key, "config-missing-key", "A section lacks a required key.", 400, execution::not_applicable},
    {result_code::config_bad_value, "config-bad-value", "The value of a key is not valid.", 400, execution::not_applicable},
    {result_code::config_out_of_range, "config-out-of-range", "The value of a key is outside its allowed range.", 400, execution::not_applicable},
    {result_code::config_unknown_service, "config-unknown-service", "A route, share or move names a service that the folder does not declare.", 400, execution::not_applicable},
    {result_code::config_ambiguous_route, "config-ambiguous-route", "Two routes match the same requests.", 400, execution::not_applicable},
    {result_code::config_too_large, "config-too-large", "The configuration exceeds a size limit.", 400, execution::not_applicable},
    {result_code::config_folder_empty, "config-folder-empty", "The folder has no configuration file, so nothing is published.", 400, execution::not_applicable},
    {result_code::config_bad_name, "config-bad-name", "A section or version name has characters that are not allowed.", 400, execution::not_applicable},
    {result_code::config_share_without_weight, "config-share-without-weight", "A share gives no version a weight above zero.", 400, execution::not_applicable},
    {result_code::config_move_conflict, "config-move-conflict", "A move contradicts another move or a share of its service.", 400, execution::not_applicable},
    {result_code::config_shared_key, "config-shared-key", "Two tenants, or one tenant twice, have the same key.", 400, execution::not_applicable},
    {result_code::snapshot_malformed, "snapshot-malformed", "A snapshot or delta cannot be decoded.", 0, execution::not_applicable},
    {result_code::snapshot_hash_mismatch, "snapshot-hash-mismatch", "A snapshot's content does not match its announced hash.", 0, execution::not_applicable},
    {result_code::snapshot_not_newer, "snapshot-not-newer", "A snapshot is not newer than the one in force.", 0, execution::not_applicable},
    {result_code::snapshot_base_mismatch, "snapshot-base-mismatch", "A delta is not based on the version in force.", 0, execution::not_applicable},
    {result_code::check_route_never_matches, "check-route-never-matches", "Other routes take all requests of a route.", 400, execution::not_applicable},
    {result_code::check_tenant_without_key, "check-tenant-without-key", "No request can be one of a tenant's, since it has no key.", 400, execution::not_applicable},
    {result_code::check_share_without_route, "check-share-without-route", "A share or move concerns a service that no route names.", 400, execution::not_applicable},
    {result_code::check_target_above_timeout, "check-target-above-timeout", "A request ends before its target latency.", 400, execution::not_applicable},
    {result_code::check_quota_conflict, "check-quota-conflict", "The rate and burst of a tenant contradict each other.", 400, execution::not_applicable},
    {result_code::check_attempts_conflict, "check-attempts-conflict", "The attempts of a request do not fit into its time.", 400, execution::not_applicable},
    {result_code::check_difference, "check-difference", "A section differs from the configuration compared with.", 400, execution::not_applicable},
    {result_code::store_unavailable, "store-unavailable", "The store did not accept the call; nothing was changed.", 0, execution::not_applicable},
    {result_code::store_outcome_unknown, "store-outcome-unknown", "The store's response was lost; the write may have been applied.", 0, execution::not_applicable},
    {result_code::store_conflict, "store-conflict", "The key's revision is not the expected one; nothing was changed.", 0, execution::not_applicable},
    {result_code::store_value_too_large, "store-value-too-large", "The value exceeds the store's limit of 1 MB.", 0, execution::not_applicable},
    {result_code::store_bad_answer, "store-bad-answer", "The store's response does not conform to its interface.", 0, execution::not_applicable},
    {result_code::store_key_absent, "store-key-absent", "The store has no such key.", 0, execution::not_applicable},
    {result_code::publish_raced, "publish-raced", "Another operator published first; nothing was overwritten.", 0, execution::not_applicable},
    {result_code::publish_unresolved, "publish-unresolved", "Whether the configuration was published could not be determined before the deadline.", 0, execution::not_applicable},
    {result_code::publish_unchanged, "publish-unchanged", "The folder is the same as the version in force; nothing was published.", 0, execution::not_applicable},
    {result_code::message_malformed, "message-malformed", "A message from a peer cannot be decoded.", 400, execution::not_applicable},
    {result_code::message_too_large, "message-too-large", "A message from a peer exceeds its size limit.", 413, execution::not_applicable},
    {result_code::message_other_mesh, "message-other-mesh", "A message belongs to another mesh.", 403, execution::not_applicable},
    {result_code::peer_unreachable, "peer-unreachable", "A peer cannot be reached.", 0, execution::not_applicable},
    {result_code::announcement_malformed, "announcement-malformed", "An upstream's announcement cannot be parsed.", 400, execution::not_applicable},
    {result_code::announcement_stale, "announcement-stale", "An announcement is older than the last one received.", 409, execution::not_applicable},
    {result_code::announcement_conflict, "announcement-conflict", "Another upstream is already announced to this daemon under that name or address.", 409, execution::not_applicable},
    {result_code::no_route, "no-route", "No route matches the request.", 404, execution::not_run},
    {result_code::no_upstream, "no-upstream", "The route's service has no usable upstream.", 503, execution::not_run},
    {result_code::queue_full, "queue-full", "The upstream's slots and queue are full.", 503, execution::not_run},
    {result_code::queue_deadline, "queue-deadline", "The request cannot be started before its deadline.", 503, execution::not_run},
    {result_code::upstream_leaving, "upstream-leaving", "The upstream is leaving and accepts no new requests.", 503, execution::not_run},
    {result_code::connect_failed, "connect-failed", "The connection could not be opened; nothing was sent.", 503, execution::not_run},
    {result_code::response_timeout, "response-timeout", "The upstream did not respond in time.", 504, execution::may_have_run},
    {result_code::connection_lost, "connection-lost", "The connection was lost before the complete response arrived.", 502, execution::may_have_run},
    {result_code::response_truncated, "response-truncated", "The response is shorter than its declared length.", 502, execution::may_have_run},
    {result_code::caller_disconnected, "caller-disconnected", "The caller closed its connection before the response.", 499, execution::may_have_run},
    {result_code::deadline_expired, "deadline-expired", "The request's deadline had passed before it was started.", 504, execution::not_run},
    {result_code::daemon_draining, "daemon-draining", "The daemon is shutting down and accepts no new requests.", 503, execution::not_run},
    {result_code::request_malformed, "request-malformed", "The request is not valid HTTP/1.1, or a header of the mesh is not valid.", 400, execution::not_run},
    {result_code::headers_too_large, "headers-too-large", "The request's headers exceed the limit.", 431, execution::not_run},
    {result_code::too_many_hops, "too-many-hops", "The request has passed through too many daemons.", 508, execution::not_run},
    {result_code::retry_budget_exhausted, "retry-budget-exhausted", "The request was not executed and the retry budget is exhausted.", 503, execution::not_run},
    {result_code::response_mismatched, "response-mismatched", "The response carries the id of another request.", 502, execution::may_have_run},
    {result_code::method_not_allowed, "method-not-allowed", "The route does not allow the method.", 405, execution::not_run},
    {result_code::too_many_connections, "too-many-connections", "The listening port has reached its maximum number of connections.", 503, execution::not_run},
    {result_code::response_malformed, "response-malformed", "The upstream's response is not valid HTTP/1.1.", 502, execution::may_have_run},
    {result_code::overloaded, "overloaded", "The daemon is shedding load.", 503, execution::not_run},
    {result_code::no_configuration, "no-configuration", "No configuration is in force yet.", 503, execution::not_run},
    {result_code::upstream_failed, "upstream-failed", "The upstream returned a failure and no further attempt succeeded.", 502, execution::may_have_run},
    {result_code::unknown_key, "unknown-key", "The request has no key of a tenant, and its route needs one.", 401, execution::not_run},
    {result_code::quota_exceeded, "quota-exceeded", "The tenant's quota is used up.", 429, execution::not_run},
    {result_code::quota_unknown, "quota-unknown", "No daemon that counts the tenant's quota could be asked in time.", 503, execution::not_run},
    {result_code::data_center_evacuated, "data-center-evacuated", "The upstream's data centre is evacuated.", 503, execution::not_run},
    {result_code::service_short, "service-short", "The service cannot serve a request of this priority in time.", 503, execution::not_run},
    {result_code::move_taken_back_failures, "move-taken-back-failures", "The move was rolled back: more calls fail on the new version than on the old one.", 0, execution::not_applicable},
    {result_code::move_taken_back_slow, "move-taken-back-slow", "The move was rolled back: the new version is slower than the old one.", 0, execution::not_applicable},
    {result_code::move_taken_back_refusals, "move-taken-back-refusals", "The move was rolled back: the new version refuses more calls than the old one.", 0, execution::not_applicable},
    {result_code::move_done, "move-done", "The move is complete.", 0, execution::not_applicable},
    {result_code::move_late, "move-late", "The move was completed after its deadline.", 0, execution::not_applicable},
    {result_code::move_held, "move-held", "The move is held: both versions are degraded.", 0, execution::not_applicable},
    {result_code::move_replaced, "move-replaced", "The move was replaced by a newer edit.", 0, execution::not_applicable},
    {result_code::move_unknown, "move-unknown", "No move has that name.", 404, execution::not_applicable},
    {result_code::move_taken_back_absent, "move-taken-back-absent", "The move was rolled back: at its deadline, the new version had no announced upstream.", 0, execution::not_applicable},
    {result_code::move_taken_back_undecided, "move-taken-back-undecided", "The move was rolled back: at its deadline, a suspected fault was still undecided.", 0, execution::not_applicable},
    {result_code::move_record_malformed, "move-record-malformed", "A move record cannot be decoded.", 0, execution::not_applicable},
    {result_code::chart_syntax, "chart-syntax", "A state chart has a line that cannot be parsed.", 0, execution::not_applicable},
    {result_code::chart_unknown_state, "chart-unknown-state", "A state chart names a state that it does not declare.", 0, execution::not_applicable},
    {result_code::chart_unreachable_state, "chart-unreachable-state", "A state chart has a state that cannot be reached from its initial state.", 0, execution::not_applicable},
    {result_code::chart_missing_target, "chart-missing-target", "A transition has no target.", 0, execution::not_applicable},
    {result_code::chart_missing, "chart-missing", "A state chart is missing.", 0, execution::not_applicable},
    {result_code::chart_no_transition, "chart-no-transition", "An event has no transition in the current state.", 0, execution::not_applicable},
    {result_code::report_bad_month, "report-bad-month", "The month is not of the form YYYY-MM.", 0, execution::not_applicable},
    {result_code::report_record_malformed, "report-record-malformed", "A month record is not valid.", 0, execution::not_applicable},
    {result_code::report_compare_malformed, "report-compare-malformed", "The comparison file is not valid.", 0, execution::not_applicable},
});
// clang-format on

} // namespace

std::span<const result_code_entry> result_codes() {
    return result_code_table;
}

const result_code_entry& describe(result_code code) {
    const auto found = std::ranges::lower_bound(result_code_table, code, {}, &result_code_entry::code);
    if (found == result_code_table.end() || found->code != code) {
        throw std::out_of_range("no result code " + std::to_string(static_cast<int>(code)));
    }
    return *found;
}

std::string_view name(result_code code) {
    return describe(code).name;
}

std::string_view name(execution value) {
    switch (value) {
    case execution::not_run:
        return "not-run";
    case execution::may_have_run:
        return "may-have-run";
    case execution::not_applicable:
        break;
    }
    return "none";
}

} // namespace amaranthladder
