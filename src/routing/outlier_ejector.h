#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Parameters of outlier_ejector; docs/routing.md gives the reasons.
struct outlier_ejector_policy {
    double min_failure_rate = 0.01; ///< Lowest failure rate that is assumed for a healthy upstream.
    /// Share of the successes of a healthy upstream that are assumed to be failures at a faulty one.
    double assumed_failure_increase = 0.3;
    double evidence_threshold = 11.5;            ///< Log-likelihood ratio that ejects; e^11.5 is odds of 100,000 to 1.
    double group_failure_threshold = 0.5;        ///< Failure rate of the better half above which all ejections end.
    absl::Duration half_life = absl::Seconds(5); ///< Age at which a result counts half in failure rates.
    double max_ejected_share = 0.5;              ///< Share of the group that may be ejected, rounded down.
    absl::Duration base_ejection = absl::Seconds(1);
    absl::Duration max_ejection = absl::Seconds(30);
    /// Time without ejection that halves the duration of the next one.
    absl::Duration ejection_decay_period = absl::Seconds(30);
    int probe_successes = 5; ///< Successful probes in a row that end an ejection.
    /// How long to wait for an idempotent request before probing with any request.
    absl::Duration non_idempotent_probe_delay = absl::Seconds(1);
    /// After this, a probe without a result no longer blocks the next one.
    absl::Duration probe_timeout = absl::Seconds(10);
};

/// What the outcome of a request says about the upstream's health.
enum class health_signal { success, failure, none };

/// Whether an upstream may be chosen.
enum class availability {
    active,
    ejected,
    probe, ///< The ejection time is over; one request at a time may probe the upstream.
};

/// Ejects upstreams of a group (one version of a service) that fail more often than the others.
///
/// Detection is a CUSUM test. The evidence against a member is a sum of log-likelihood ratios, bounded below by 0: a
/// failure adds to it and a success reduces it, by how much more likely the result is for a faulty member than for one
/// that fails as often as the better half of the others.
///
/// At most max_ejected_share of the group is ejected at any time, so that false positives cannot empty it. An upstream
/// that is being probed counts as ejected.
class outlier_ejector {
public:
    explicit outlier_ejector(outlier_ejector_policy policy = {});

    /// Replaces the group. Remaining members keep their history. If more of them are ejected than allowed, those whose
    /// ejections end soonest are reinstated.
    void set_members(const std::vector<std::string>& ids);

    /// Clears the history of a member that has restarted.
    void reset(const std::string& id);

    /// Records the result of a request.
    /// @return true if this result ended an ejection: the caller should ramp the upstream up.
    bool on_result(const std::string& id, health_signal signal, absl::Time now);

    /// Records that a request was sent to a member whose state is availability::probe.
    void on_probe_started(const std::string& id, absl::Time now);

    /// @param id id of a member; unknown ids are active.
    /// @param is_idempotent true if the request may be retried; probes prefer such requests.
    /// @param now current time.
    availability state(const std::string& id, bool is_idempotent, absl::Time now) const;

    /// @return number of members that are ejected or being probed.
    std::size_t ejected_count() const {
        return m_ejected;
    }

private:
    struct member_state {
        double evidence = 0;  ///< Cumulative log-likelihood ratio of a fault, at least 0.
        double successes = 0; ///< Decayed by half_life.
        double failures = 0;  ///< Decayed by half_life.
        absl::Time last_recorded = absl::InfinitePast();
        bool is_ejected = false;
        absl::Time ejected_until;
        int recent_ejections = 0; ///< Each doubles the duration of the next ejection.
        absl::Time healthy_since;
        int probes_succeeded = 0;
        bool is_probing = false;
        absl::Time probe_started;
    };

    void record_result(member_state& member, health_signal signal, absl::Time now) const;
    bool on_probe_result(member_state& member, health_signal signal, absl::Time now);
    /// @return failure rate of the half of the active members that fails least, without @p excluded_id.
    double better_half_failure_rate(const std::string& excluded_id) const;
    void update_evidence(member_state& member, health_signal signal, double expected_failure_rate) const;
    bool can_eject_another() const;
    void eject(member_state& member, absl::Time now) const;
    void decay_ejections(member_state& member, absl::Time now) const;
    void reinstate(member_state& member, absl::Time now);
    void reinstate_surplus();
    void reinstate_all(absl::Time now);

    outlier_ejector_policy m_policy;
    absl::flat_hash_map<std::string, member_state> m_members;
    std::size_t m_ejected = 0;
};

} // namespace amaranthladder
