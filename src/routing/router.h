#pragma once

#include "config/intended_state.h"
#include "peers/upstream_record.h"
#include "routing/attempt_outcome.h"
#include "routing/latency_average.h"
#include "routing/outlier_ejector.h"
#include "routing/picker.h"
#include "routing/route_table.h"
#include "routing/routing_decision.h"
#include "routing/warm_up.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Shares that a move sets for the versions of a service, by service and version; relative weights of at least 0. The
/// empty version stands for all that are not named, together.
using share_overrides = std::map<std::string, std::map<std::string, double>>;

/// Constants of router; docs/routing.md gives the reasons.
struct router_policy {
    picker_policy picker;
    outlier_ejector_policy ejection;
    warm_up_policy warm_up;
    latency_average_policy latency;
    double own_load_weight =
        3; ///< Cost added by one of the entry's own requests per slot, as a multiple of the latency.
    double reported_load_weight = 0.3; ///< Cost added by one reported request per slot, as a multiple of the latency.
    double max_reported_load = 2;      ///< Larger reported loads count as this.
    absl::Duration reported_load_decay = absl::Milliseconds(500); ///< Age at which a reported load counts 1/e.
    absl::Duration refusal_penalty = absl::Milliseconds(25);      ///< After a refusal for load.
    absl::Duration connect_penalty = absl::Milliseconds(250);     ///< After a failed connection.
    absl::Duration leaving_penalty = absl::Seconds(5);            ///< After a refusal because it leaves.
    /// Part of the time left to the target that an answer of the own data centre may be expected to take.
    double local_latency_fraction = 0.5;
    double local_latency_fraction_download = 0.8; ///< The same for downloads, whose bytes weigh more.
    /// An owner that leaves this many requests of the entry unanswered, and answers none, for the time below is silent:
    /// its host is frozen, cut off or its connections are dead. Single requests may take that long by themselves.
    int unresponsive_requests = 3;
    absl::Duration unresponsive_after = absl::Milliseconds(500);
};

/// Who the entry is.
struct router_settings {
    std::string data_center;
    bool holds_back_new_versions =
        false; ///< Without a share or a move, only the version that was known first gets requests.
    router_policy policy = {};
};

/// What the router needs to know of a request.
struct routing_request {
    bool is_idempotent = false;
    absl::Time deadline = absl::InfiniteFuture();
    absl::Time target_time = absl::InfiniteFuture(); ///< Until when the answer is worth most.
    std::string service = {};                        ///< The service chosen out of a split; empty: the route's.
    std::vector<std::string> tried_upstreams = {};   ///< Ids of upstreams that earlier attempts of the request went to.
};

/// What an owner reports of its upstream with each answer and refusal.
struct owner_report {
    double load = 0;                   ///< Running and queued requests over slots.
    absl::Duration service_time;       ///< Mean of all its requests; zero if unknown.
    absl::Duration route_service_time; ///< Mean of the requests of the answered route; zero if unknown.
};

/// Chooses an upstream for each request at its entry.
///
/// A decision names only upstreams of the list given last that are neither leaving nor withdrawn.
class router {
public:
    explicit router(router_settings settings);

    /// Replaces routes and shares.
    void set_configuration(std::shared_ptr<const intended_state> state);

    /// Replaces the list of upstreams. Upstreams that first appear beside known ones of the same service, and those
    /// with a new incarnation, are ramped up.
    void set_upstreams(const std::vector<upstream_record>& records, absl::Time now);

    /// Replaces the shares set by moves; they take precedence over the configuration's.
    void set_share_overrides(share_overrides overrides);

    /// @copydoc route_table::match
    route_match match(std::string_view host, std::string_view method, std::string_view target) const;

    /// @param matched_route the route, from match.
    /// @param request the request.
    /// @param now the time.
    /// @param rng source of randomness.
    /// @return the chosen upstream, or the refusal no_upstream or deadline_expired. Call on_started if it is used.
    routing_decision choose(const route& matched_route, const routing_request& request, absl::Time now,
                            absl::BitGenRef rng) const;

    /// Notes that a request is being sent to an upstream. Each call is followed by one of on_finished.
    void on_started(const std::string& upstream_id, absl::Time now);

    /// Notes the end of an attempt.
    /// @param upstream_id as in the decision.
    /// @param outcome how it ended.
    /// @param latency from on_started to the first byte of the answer, or to the failure.
    /// @param load the load that the owner reported with the answer, in requests per slot.
    /// @param now the time.
    void on_finished(const std::string& upstream_id, attempt_outcome outcome, absl::Duration latency,
                     std::optional<double> load, absl::Time now);

    /// Takes the addresses of owners that are suspected to be out of reach. Their upstreams are used only if there is
    /// no other.
    void set_suspected_owners(std::vector<endpoint> owners);

    /// @return true if an upstream's owner has stopped answering this entry and is suspected by its peers. A slow
    /// upstream
    ///         alone can leave requests waiting as long, and what it runs must not be broken off.
    bool is_unreachable(const std::string& upstream_id, absl::Time now) const;

    /// Notes what an owner reported.
    /// @param route name of the route that the answered request came on.
    void on_report(const std::string& upstream_id, const std::string& route, const owner_report& report,
                   absl::Time now);

    /// @return this entry's requests at an upstream.
    int in_flight(const std::string& upstream_id) const;

private:
    struct upstream_state {
        upstream_record record;
        bool is_listed = false;
        bool was_listed = false; ///< In the list before, while set_upstreams runs.
        int in_flight = 0;
        latency_average latency;
        double reported_load = 0;
        absl::Time reported_at = absl::InfinitePast();
        int in_flight_at_report = 0;
        absl::Duration service_time; ///< As the owner reported; zero if unknown.
        absl::flat_hash_map<std::string, absl::Duration> route_service_times;
        absl::Time penalised_until = absl::InfinitePast();
        absl::Time warm_up_started = absl::InfinitePast();
        absl::Time unanswered_since = absl::InfiniteFuture(); ///< Since when requests wait and none was answered.
        absl::Time listed_since = absl::InfiniteFuture();
    };
    struct version_group {
        std::vector<upstream_state*> upstreams; ///< Only usable ones.
        std::unique_ptr<outlier_ejector> ejector;
        absl::Time known_since = absl::InfiniteFuture(); ///< When the first of its present upstreams was listed.
    };
    using service_names = absl::flat_hash_set<std::string>;
    using version_groups = std::map<std::string, version_group>;
    struct weighted_version {
        const std::string* name;
        const version_group* group;
        double weight;
    };
    struct candidate_set {
        std::vector<upstream_state*> upstreams;
        choice_reason reason; ///< none: let the picker decide.
    };

    /// Means of what the owners reported of their upstreams; zero if none has reported. An upstream without a report
    /// is taken for one of these. In a large fleet an entry has used few of the upstreams.
    struct report_averages {
        absl::Duration service_time;
        absl::Duration route_service_time;
        double local_load = 0;  ///< Of the upstreams in the entry's data centre.
        double remote_load = 0; ///< Of the others: an overload of the own data centre says nothing about them.
    };

    void apply_record(const upstream_record& record, service_names& changed, absl::Time now);
    void rebuild_groups(const service_names& changed);
    void finalize_group(version_group& members) const;
    std::vector<weighted_version> weighted_versions(const route& matched_route, const routing_request& request) const;
    double configured_weight(const std::string& service, const std::string& version,
                             const version_groups& versions) const;
    candidate_set candidates(const version_group& group, const route& matched_route, const routing_request& request,
                             absl::Time now) const;
    std::vector<pick_candidate> make_pick_candidates(const std::vector<upstream_state*>& upstreams,
                                                     const std::string& route_name, absl::Time now) const;
    report_averages average_reports(const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                                    absl::Time now) const;
    bool is_local(const upstream_state& upstream) const;
    static absl::Duration service_time_of(const upstream_state& upstream, const std::string& route_name);
    absl::Duration expected_latency(const upstream_state& upstream, const std::string& route_name,
                                    const report_averages& averages, absl::Time now) const;
    absl::Duration max_local_latency(const route& matched_route, const routing_request& request, absl::Time now) const;
    double decayed_load(const upstream_state& upstream, absl::Time now) const;
    candidate_info candidate_info_of(const upstream_state& upstream, const pick_candidate& candidate,
                                     absl::Time now) const;
    void record_outcome(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency, absl::Time now);
    bool is_unresponsive(const upstream_state& upstream, absl::Time now) const;
    bool is_suspected(const upstream_state& upstream) const;
    bool may_be_unreachable(const upstream_state& upstream, absl::Time now) const;
    outlier_ejector* ejector_of(const upstream_state& upstream);

    router_settings m_settings;
    warm_up m_warm_up;
    picker m_picker;
    std::shared_ptr<const intended_state> m_state;
    route_table m_routes;
    share_overrides m_overrides;
    std::vector<endpoint> m_suspected_owners; ///< Few at any time.
    absl::flat_hash_map<std::string, std::unique_ptr<upstream_state>> m_upstreams;
    absl::flat_hash_map<std::string, version_groups> m_services;
};

} // namespace amaranthladder
