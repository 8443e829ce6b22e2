#pragma once

#include <string_view>

namespace amaranthladder {

/// How one attempt of a request at one upstream ended.
enum class attempt_outcome {
    answered,        ///< A whole answer with a status below 500.
    answered_error,  ///< A whole answer with a status of 500 or above from the upstream itself.
    refused_load,    ///< The owner refused with "not run": slots and queue are full, or the deadline cannot be met.
    refused_leaving, ///< The owner refused with "not run": the upstream is leaving or the owner is shutting down.
    connect_failed,  ///< No byte of the request was sent.
    sent_no_answer,  ///< At least one byte was sent; no byte of an answer arrived.
    answer_broken,   ///< An answer began and did not end, or does not belong to the request.
    cancelled,       ///< The caller left or its deadline passed; says nothing about the upstream.
};

/// @return the stable name of @p value for logs and traces.
std::string_view name(attempt_outcome value);

/// @return true if the upstream has certainly not seen the request.
bool is_not_run(attempt_outcome value);

/// @return true if the outcome counts against the upstream's health. Refusals for load do not.
bool is_failure(attempt_outcome value);

} // namespace amaranthladder
