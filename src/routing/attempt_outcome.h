#pragma once

#include <string_view>

namespace amaranthladder {

/// Result of sending a request to one upstream.
enum class attempt_outcome {
    answered,        ///< Complete response with a status below 500.
    answered_error,  ///< Complete response with a status of 500 or above, sent by the upstream itself.
    refused_load,    ///< "Not run" from the owner: slots and queue are full, or the deadline cannot be met.
    refused_leaving, ///< "Not run" from the owner: the upstream is leaving or the owner is shutting down.
    connect_failed,  ///< No byte of the request was sent.
    sent_no_answer,  ///< At least one byte was sent; no byte of a response arrived.
    answer_broken,   ///< The response is incomplete or does not belong to the request.
    cancelled,       ///< The caller disconnected or its deadline passed; not a sign of the upstream's health.
};

/// @return the name of @p value in logs and traces.
std::string_view name(attempt_outcome value);

/// @return true if the upstream has certainly not received the request.
bool is_not_run(attempt_outcome value);

/// @return true if the outcome counts as a failure in outlier ejection. Refusals do not.
bool is_failure(attempt_outcome value);

} // namespace amaranthladder
