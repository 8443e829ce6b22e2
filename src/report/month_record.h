#pragma once

#include "common/result_code.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthladder {

/// Outcome of one move.
struct move_outcome {
    std::string move;                    ///< NAME@VERSION, with the configuration version that introduced the move.
    std::string verdict;                 ///< Stable name of the move_verdict.
    int reason = 0;                      ///< Number of the result_code.
    double time_to_verdict_s = 0;        ///< Seconds from the move's start to its verdict.
    double new_version_share = 0;        ///< Share of the new version at the verdict, 0 to 1.
    std::uint64_t new_version_calls = 0; ///< Calls that the new version had received by the verdict.

    friend bool operator==(const move_outcome&, const move_outcome&) = default;
};

/// Measurements of one daemon in one time window.
struct traffic_sample {
    std::string daemon;
    double window_seconds = 0;
    std::uint64_t control_bytes = 0; ///< Control-plane bytes sent and received.
    std::vector<std::uint32_t>
        convergence_ms; ///< Time from publication to application, one value per configuration version.

    friend bool operator==(const traffic_sample&, const traffic_sample&) = default;
};

/// One entry of a monthly report. A record that is written more than once counts once, by its id.
struct month_record {
    static constexpr std::size_t max_encoded_size = 8'192;
    static constexpr std::size_t max_convergence_values = 256;

    std::string id;    ///< Unique in the month, made of letters, digits and `.:@_-`.
    std::string month; ///< YYYY-MM, UTC.
    std::variant<move_outcome, traffic_sample> content;

    /// @return the record as JSON.
    /// @throws error with result_code::report_record_malformed if the id is not valid or the record too large.
    std::string encode() const;

    /// @param text a record as JSON.
    /// @throws error with result_code::report_record_malformed.
    static month_record decode(std::string_view text);

    friend bool operator==(const month_record&, const month_record&) = default;
};

/// @return the month of @p time, as YYYY-MM in UTC.
std::string month_of(absl::Time time);

/// @param month YYYY-MM.
/// @return the previous month.
/// @throws error with result_code::report_bad_month.
std::string previous_month(std::string_view month);

/// @return the record of a move's outcome.
/// @param ended_at time of the verdict; determines the month.
month_record make_outcome_record(move_outcome outcome, absl::Time ended_at);

/// @return the record of a sample; its id consists of the daemon and the start of the window.
month_record make_sample_record(traffic_sample sample, absl::Time window_start);

} // namespace amaranthladder
