#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace amaranthladder {

/// A request of a caller, as far as admission control depends on it.
struct shortage_request {
    std::string service;
    std::string kind;                                         ///< Route of the request.
    int priority = 0;                                         ///< 0 is the most urgent.
    absl::Duration time_to_target = absl::InfiniteDuration(); ///< Until the target latency ends.
    absl::Duration time_left = absl::InfiniteDuration();      ///< Until the caller gives up.
    bool has_returned = false;                                ///< It was refused before, and its caller returned.
    bool is_nested = false;                                   ///< Its failure would lose the work of its parent.
};

/// Result of service_shortage::admit.
struct shortage_decision {
    bool is_refused = false;
    double refused_share = 0;   ///< Part of such requests that is refused at once.
    absl::Duration retry_after; ///< For a refused request: when its caller may return.
};

/// Admission control of an entry: refuses at once a part of the requests that the upstreams of a service would refuse.
/// Does no I/O; time and randomness are arguments.
///
/// For each kind and priority, it compares the requests that callers made with those that upstreams ran recently.
/// A little more than the latter is admitted, so that the excess probes for capacity that returns, and the part that is
/// refused follows the shortage without switching on and off.
class service_shortage {
public:
    /// Decides about a new request of a caller. A refused one is counted here; for an admitted one, call on_served or
    /// on_refused when it ends.
    shortage_decision admit(const shortage_request& request, absl::Time now, absl::BitGenRef random);

    /// Records that an upstream ran a request.
    void on_served(const shortage_request& request, absl::Time now);

    /// Records that no upstream took a request in time, after all attempts.
    void on_refused(const shortage_request& request, absl::Time now);

    /// Records a report of an owner.
    /// @param request the request that the report came with.
    /// @param upstream id of the upstream.
    /// @param wait expected wait for a slot of a new request with the same priority.
    /// @param service_time mean service time of the kind at the upstream; zero if unknown.
    void on_report(const shortage_request& request, const std::string& upstream, absl::Duration wait,
                   absl::Duration service_time, absl::Time now);

    /// @return true if a part of such requests was refused by upstreams within the last second or two.
    bool is_short(const shortage_request& request, absl::Time now) const;

private:
    struct kind_state {
        std::string kind;
        int priority = 0;
        double offered = 0; ///< Requests that ended or were refused at once. Decays, as do the other counts.
        double served = 0;
        absl::Time updated_at;
        absl::Time refused_at = absl::InfinitePast(); ///< When upstreams last refused one.
        absl::Duration service_time;

        double unserved_share() const {
            return offered > 0 ? 1 - served / offered : 0;
        }
    };
    struct wait_report {
        std::string upstream;
        int priority = 0;
        absl::Duration wait;
        absl::Time reported_at;
        int places = 0; ///< Requests that may still be admitted because of it.
    };
    struct service_state {
        std::vector<kind_state> kinds;    ///< Few.
        std::vector<wait_report> reports; ///< The last one of each upstream.
    };

    static bool is_short(const kind_state& kind, absl::Time now);
    static kind_state& decayed(service_state& service, const shortage_request& request, absl::Time now);
    static double refused_share(const service_state& service, const kind_state& kind, absl::Time now);
    static bool use_report_in_time(service_state& service, const kind_state& kind, const shortage_request& request,
                                   absl::Time now);
    static absl::Duration retry_after(const service_state& service, const kind_state& kind,
                                      const shortage_request& request, absl::Time now, absl::BitGenRef random);

    absl::flat_hash_map<std::string, service_state> m_services;
};

} // namespace amaranthladder
