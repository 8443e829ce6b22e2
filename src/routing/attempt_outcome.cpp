#include "routing/attempt_outcome.h"

namespace amaranthladder {

std::string_view name(attempt_outcome value) {
    switch (value) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::answered_error:
        return "answered-error";
    case attempt_outcome::refused_load:
        return "refused-load";
    case attempt_outcome::refused_leaving:
        return "refused-leaving";
    case attempt_outcome::connect_failed:
        return "connect-failed";
    case attempt_outcome::sent_no_answer:
        return "sent-no-answer";
    case attempt_outcome::answer_broken:
        return "answer-broken";
    case attempt_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool is_not_run(attempt_outcome value) {
    return value == attempt_outcome::refused_load || value == attempt_outcome::refused_leaving ||
           value == attempt_outcome::connect_failed;
}

bool is_failure(attempt_outcome value) {
    return value == attempt_outcome::answered_error || value == attempt_outcome::connect_failed ||
           value == attempt_outcome::sent_no_answer || value == attempt_outcome::answer_broken;
}

} // namespace amaranthladder
