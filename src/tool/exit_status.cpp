#include "tool/exit_status.h"

namespace amaranthladder {

exit_status exit_status_of(result_code code) {
    switch (code) {
    case result_code::ok:
    case result_code::publish_unchanged:
        return exit_status::ok;
    case result_code::usage:
        return exit_status::usage;
    case result_code::store_unavailable:
    case result_code::peer_unreachable:
        return exit_status::unavailable;
    case result_code::publish_raced:
        return exit_status::raced;
    case result_code::publish_unresolved:
    case result_code::store_outcome_unknown:
        return exit_status::unknown;
    case result_code::file_unreadable:
        return exit_status::refused;
    default:
        break;
    }
    const int number = static_cast<int>(code);
    const bool is_config_problem = number >= 1100 && code < result_code::snapshot_malformed;
    const bool is_finding = code >= result_code::check_route_never_matches && code <= result_code::check_difference;
    return is_config_problem || is_finding ? exit_status::refused : exit_status::failed;
}

} // namespace amaranthladder
