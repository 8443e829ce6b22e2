#pragma once

#include "common/endpoint.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>

namespace amaranthladder {

/// Estimates the fraction of the other daemons that this one can exchange messages with, from its own asks and their
/// answers. Membership needs several seconds to notice that this daemon's side of a partition is the small one.
class reach_estimator {
public:
    /// Time for which an answer, or its absence, counts.
    static constexpr absl::Duration memory = absl::Seconds(1);
    /// Time after which an ask counts as unanswered. Hosts with a tenth of a core stall for up to 0.1 s, and datagrams
    /// wait behind the bodies of responses on full links, which 250 ms took for a partition.
    static constexpr absl::Duration answer_timeout = absl::Milliseconds(600);
    /// Time after its last ask for which a daemon without an answer is avoided.
    static constexpr absl::Duration silence_memory = absl::Milliseconds(2500);

    void on_sent(const endpoint& to, absl::Time now);
    void on_answer(const endpoint& from, absl::Time now);

    /// Tells which daemons to count: those considered alive. The membership already leaves out the others.
    using filter = absl::FunctionRef<bool(const endpoint&)>;

    /// @return the number of daemons with a recent answer or without one for too long.
    std::size_t samples(absl::Time now, filter counts) const;

    /// @param needed samples below which the missing ones count as unanswered.
    /// @return a number from 0 to 1. Each daemon counts once, so that one busy coordinator does not dominate.
    double estimate(absl::Time now, std::size_t needed, filter counts) const;

    /// @return true if @p other has answered recently.
    bool is_in_contact(const endpoint& other, absl::Time now) const;

    /// @return true if @p other has not answered an ask of the last seconds for longer than answer_timeout.
    bool is_silent(const endpoint& other, absl::Time now) const;

    /// This process did not run for @p time, so answers may wait unread: that time does not count as silence.
    void on_stall(absl::Duration time);

    /// Forgets old samples.
    void expire(absl::Time now);

private:
    struct contact {
        absl::Time answered_at = absl::InfinitePast();
        absl::Time unanswered_since = absl::InfiniteFuture(); ///< First ask after the last answer.
        absl::Time last_sent = absl::InfinitePast();
    };

    static bool is_lost(const contact& known, absl::Time now);
    static bool is_answered(const contact& known, absl::Time now);

    std::map<endpoint, contact> m_contacts;
};

} // namespace amaranthladder
