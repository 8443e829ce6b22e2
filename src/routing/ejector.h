#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Constants of ejector; docs/routing.md gives the reasons.
struct ejector_policy {
    int consecutive_failures = 5; ///< Failures in a row that eject.
    double least_requests = 20;   ///< Recent requests below which the success rate says nothing.
    double success_margin = 0.15; ///< Distance to the others' success rate that ejects.
    double chance_deviations = 3; ///< The distance must also exceed so many standard deviations.
    double chance_of_run = 1e-4;  ///< A run of failures that is likelier than this among the others does not eject.
    absl::Duration half_life = absl::Seconds(5); ///< Age at which a result counts half.
    double max_ejected_share = 0.5;              ///< Share of the group that may be ejected, rounded down.
    absl::Duration base_ejection = absl::Seconds(1);
    absl::Duration max_ejection = absl::Seconds(30);
    absl::Duration forgive_after = absl::Seconds(30); ///< Healthy time that halves the next ejection.
    int probe_successes = 3;                          ///< Successful probes in a row that end an ejection.
    absl::Duration probe_patience = absl::Seconds(1); ///< Wait for an idempotent request before probing with another.
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
/// At most max_ejected_share of the group is ejected at any time, so that a wrong signal never empties it; an
/// upstream that is being probed counts as ejected.
class ejector {
public:
    explicit ejector(ejector_policy policy = {});

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
    struct member {
        int failures_in_row = 0;
        double successes = 0; ///< Decayed by half_life.
        double failures = 0;  ///< Decayed by half_life.
        absl::Time counted = absl::InfinitePast();
        bool is_ejected = false;
        absl::Time ejected_until;
        int ejections = 0; ///< Recent ejections; doubles the duration each.
        absl::Time healthy_since;
        int probes_succeeded = 0;
        bool is_probing = false;
        absl::Time probe_started;
    };

    void count(member& subject, health_signal signal, absl::Time now) const;
    bool on_probe_result(member& subject, health_signal signal, absl::Time now);
    bool should_eject(const std::string& id, const member& subject) const;
    double others_success(const std::string& id) const;
    bool is_unlikely_run(int failures, double success_rate) const;
    bool has_room() const;
    void eject(member& subject, absl::Time now) const;
    void forgive(member& subject, absl::Time now) const;
    void reinstate_surplus();

    ejector_policy m_policy;
    absl::flat_hash_map<std::string, member> m_members;
    std::size_t m_ejected = 0;
};

} // namespace amaranthladder
