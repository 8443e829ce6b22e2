#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Constants of outlier_ejector; docs/routing.md gives the reasons.
struct outlier_ejector_policy {
    double min_failure_rate = 0.01; ///< Failure rate that is always expected of a healthy upstream.
    double assumed_failure_increase =
        0.3;                          ///< Share of the others' successes that a faulty upstream is suspected to fail.
    double evidence_threshold = 11.5; ///< Logarithm of the odds that eject; e^11.5 is 100,000 to 1.
    double group_failure_threshold = 0.5;        ///< Failure rate of the better half at which all ejections end.
    absl::Duration half_life = absl::Seconds(5); ///< Age at which a result counts half in the others' rate.
    double max_ejected_share = 0.5;              ///< Share of the group that may be ejected, rounded down.
    absl::Duration base_ejection = absl::Seconds(1);
    absl::Duration max_ejection = absl::Seconds(30);
    absl::Duration ejection_decay_period = absl::Seconds(30); ///< Healthy time that halves the next ejection.
    int probe_successes = 5;                                  ///< Successful probes in a row that end an ejection.
    absl::Duration non_idempotent_probe_delay =
        absl::Seconds(1);                             ///< Wait for an idempotent request before probing with another.
    absl::Duration probe_timeout = absl::Seconds(10); ///< A probe without a result by then no longer blocks the next.
};

/// What a finished request says about an upstream's health.
enum class health_signal { success, failure, none };

/// Whether an upstream may be chosen.
enum class availability {
    active,
    ejected,
    probe, ///< The ejection has ended; one request at a time may test the upstream.
};

/// Ejects upstreams of one group (a service's version) that fail while the others do not.
///
/// The evidence against a member is a cumulative sum of log-likelihood ratios: each failure adds to it, each success
/// takes from it, by how likely they are for a faulty member and for one that fails as often as
/// the better half of the others.
///
/// At most max_ejected_share of the group is ejected at any time, so that a wrong signal never empties it; an
/// upstream that is being probed counts as ejected.
class outlier_ejector {
public:
    explicit outlier_ejector(outlier_ejector_policy policy = {});

    /// Replaces the group. Members that stay keep their history. If too many of those that stay are ejected, the ones
    /// with the shortest ejections left return.
    void set_members(const std::vector<std::string>& ids);

    /// Forgets the history of a member that was started anew.
    void reset(const std::string& id);

    /// Takes the result of a request.
    /// @return true if this result ended an ejection, so the upstream is to be ramped up again.
    bool on_result(const std::string& id, health_signal signal, absl::Time now);

    /// Notes that a request was sent to a member whose state is availability::probe.
    void on_probe_started(const std::string& id, absl::Time now);

    /// @param id a member; an unknown id counts as active.
    /// @param is_idempotent whether the request may be made again: probes prefer such requests.
    /// @param now the time.
    availability state(const std::string& id, bool is_idempotent, absl::Time now) const;

    /// @return members that are ejected or being probed.
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
        int recent_ejections = 0; ///< Recent ejections; doubles the duration each.
        absl::Time healthy_since;
        int probes_succeeded = 0;
        bool is_probing = false;
        absl::Time probe_started;
    };

    void record_result(member_state& member, health_signal signal, absl::Time now) const;
    bool on_probe_result(member_state& member, health_signal signal, absl::Time now);
    /// @return failure rate of the better half of the active members, without @p excluded_id.
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
