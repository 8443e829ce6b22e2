#pragma once

#include "config/intended_state.h"
#include "peers/upstream_record.h"
#include "routing/attempt_outcome.h"
#include "routing/completion_estimate.h"
#include "routing/data_center_choice.h"
#include "routing/latency_average.h"
#include "routing/outlier_ejector.h"
#include "routing/picker.h"
#include "routing/recent_value.h"
#include "routing/route_table.h"
#include "routing/routing_decision.h"
#include "routing/transfer_size.h"
#include "routing/warm_up.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Shares set by moves, by service and version, as relative weights of at least 0. The share of the empty version is
/// divided among the versions without one.
using share_overrides = std::map<std::string, std::map<std::string, double>>;

/// Parameters of router; docs/routing.md gives the reasons.
struct router_policy {
    picker_policy picker;
    data_center_policy data_centers;
    outlier_ejector_policy ejection;
    warm_up_policy warm_up;
    latency_average_policy latency;
    completion_policy completion;
    /// Of the time by which responses came later than expected. It follows faults that no report shows, such as a full
    /// link or an owner that lies, and is forgotten soon, since most of it is noise of single requests.
    latency_average_policy excess = {.weight_up = 0.1, .weight_down = 0.05, .idle_decay = absl::Seconds(1.5)};
    double max_excess =
        4; ///< Cap on one sample of it, in expected times: 0.03 of the requests take seven times the work.
    /// Age of the last report from which the others' means are taken into account; computing them takes longer than the
    /// rest of a choice, and they change the estimate by less than 2% below it.
    absl::Duration fresh_report_age = absl::Milliseconds(250);
    absl::Duration report_memory = absl::Seconds(5);      ///< Time over which means of reported figures are formed.
    absl::Duration speed_decay = absl::Milliseconds(600); ///< Age at which a reported speed has decayed to 1/e.
    absl::Duration link_decay = absl::Milliseconds(500);  ///< The same for the utilisation of a link.
    /// Cost added at a load of one request of this entry per slot, as a multiple of the latency.
    double own_load_weight = 3;
    /// Cost added at a reported load of one request per slot, as a multiple of the latency.
    double reported_load_weight = 0.3;
    double max_reported_load = 2; ///< Cap on the load that on_finished receives, in requests per slot.
    absl::Duration reported_load_decay = absl::Milliseconds(500); ///< Age at which a reported load has decayed to 1/e.
    absl::Duration refusal_penalty = absl::Milliseconds(25);      ///< Time to avoid an upstream after refused_load.
    absl::Duration connect_penalty = absl::Milliseconds(250);     ///< The same after connect_failed.
    absl::Duration leaving_penalty = absl::Seconds(5);            ///< The same after refused_leaving.
    /// An owner is unresponsive if at least this many requests of the entry wait there and none was answered for
    /// unresponsive_after: its host hangs or is cut off, or its connections are dead. A single slow request may take as
    /// long.
    int unresponsive_requests = 3;
    absl::Duration unresponsive_after = absl::Milliseconds(500);
};

/// Settings of the entry's router.
struct router_settings {
    std::string data_center; ///< Data centre of the entry.
    /// Without a share or a move, only the version that was listed first gets requests.
    bool holds_back_new_versions = false;
    router_policy policy = {};
};

/// Properties of a request that routing depends on.
struct routing_request {
    bool is_idempotent = false;
    absl::Time deadline = absl::InfiniteFuture();
    absl::Time target_time = absl::InfiniteFuture(); ///< When the target latency ends.
    std::string service = {};                      ///< Service chosen for a route that has several; empty: the route's.
    std::vector<std::string> tried_upstreams = {}; ///< Ids of the upstreams of earlier attempts.
};

/// Load and service times of an upstream, which its owner reports with each response and refusal.
struct owner_report {
    double load = 0;                             ///< Running and queued requests per slot.
    absl::Duration service_time;                 ///< Mean over all requests at the usual speed; zero if unknown.
    absl::Duration route_service_time;           ///< Mean over the requests of one route; zero if unknown.
    std::optional<double> rate_limit = {};       ///< Requests per second that the upstream has asked for.
    bool is_leaving = false;                     ///< The upstream has said in a response that it leaves.
    std::optional<absl::Duration> wait = {};     ///< Expected wait of a new request with the same priority for a slot.
    double work_factor = 1;                      ///< Time that work takes now, relative to the service times above.
    std::optional<double> link_utilisation = {}; ///< Of the link of the upstream's host; nothing: unknown or not used.
    double link_mbps = 0;                        ///< Speed of that link, if link_utilisation is known.
};

/// Chooses the version and the upstream for each request of an entry.
///
/// Only upstreams of the list from the last set_upstreams that are neither leaving nor withdrawn are chosen.
class router {
public:
    explicit router(router_settings settings);

    /// Replaces the routes and the configured shares.
    void set_configuration(std::shared_ptr<const intended_state> state);

    /// Replaces the list of upstreams. Upstreams that are new or have a new incarnation are ramped up if the service
    /// already had upstreams.
    void set_upstreams(const std::vector<upstream_record>& records, absl::Time now);

    /// Replaces the shares set by moves, which take precedence over the configured ones.
    void set_share_overrides(share_overrides overrides);

    /// Replaces the set of evacuated data centres, whose upstreams are never chosen. Those of data centres that are no
    /// longer evacuated are ramped up.
    void set_evacuated_data_centers(std::set<std::string> names, absl::Time now);

    /// @copydoc route_table::match
    route_match match(std::string_view host, std::string_view method, std::string_view target) const;

    /// Chooses an upstream. Call on_started when the request is sent to it.
    /// @param matched_route route of the request, from match.
    /// @param request properties of the request.
    /// @param now current time.
    /// @param rng source of randomness.
    /// @return the chosen upstream, or the refusal no_upstream, deadline_expired, or data_center_evacuated if the
    /// service
    ///         has upstreams only in evacuated data centres.
    routing_decision choose(const route& matched_route, const routing_request& request, absl::Time now,
                            absl::BitGenRef rng) const;

    /// Records that a request is sent to an upstream. Each call must be followed by one of on_finished.
    void on_started(const std::string& upstream_id, absl::Time now);

    /// Records the end of an attempt.
    /// @param upstream_id id from the decision.
    /// @param outcome outcome of the attempt.
    /// @param latency time from on_started to the first byte of the response, or to the failure.
    /// @param load load that the owner reported with the response, in requests per slot.
    /// @param now current time.
    /// @param expected latency that the decision expected, candidate_info::expected; zero if unknown.
    void on_finished(const std::string& upstream_id, attempt_outcome outcome, absl::Duration latency,
                     std::optional<double> load, absl::Time now, absl::Duration expected = absl::ZeroDuration());

    /// Records the sizes of the bodies of a request and its response.
    /// @param route name of the route.
    void on_transfer(const std::string& route, double request_bytes, double response_bytes);

    /// Replaces the addresses of owners that peers suspect to have failed. Their upstreams are used only if there is no
    /// other.
    void set_suspected_owners(std::vector<endpoint> owners);

    /// @return true if the owner of an upstream is unresponsive to this entry and also suspected by peers. The second
    ///         condition is needed because a slow upstream can keep requests waiting as long, and requests that it runs
    ///         must not be aborted.
    bool is_unreachable(const std::string& upstream_id, absl::Time now) const;

    /// Records a report of an owner.
    /// @param upstream_id id of the upstream.
    /// @param route name of the route of the request that the report came with.
    /// @param report load and service times.
    /// @param now current time.
    void on_report(const std::string& upstream_id, const std::string& route, const owner_report& report,
                   absl::Time now);

    /// Records that an upstream has said in a response that it leaves. It is not chosen again, whatever its record says
    /// and also after its owner has restarted, until a record of a new start of the upstream arrives.
    /// @param upstream_id id from the decision.
    /// @param now current time.
    /// @return true if this was not known.
    bool on_leaving(const std::string& upstream_id, absl::Time now);

    /// @return number of requests of this entry at an upstream.
    int in_flight(const std::string& upstream_id) const;

private:
    struct upstream_state {
        explicit upstream_state(const router_policy& policy);

        upstream_record record;
        bool is_listed = false;
        bool was_listed = false; ///< Listed before; valid only during set_upstreams.
        int in_flight = 0;
        latency_average latency;
        double reported_load = 0; ///< From on_finished, in use until an owner has reported service times.
        absl::Time reported_at = absl::InfinitePast();
        recent_value load;             ///< From the owner.
        recent_value log_work_factor;  ///< The same, as a logarithm.
        recent_value link_utilisation; ///< The same.
        double link_mbps = 0;          ///< The same; 0: unknown or not used.
        latency_average excess;        ///< Time by which responses came later than expected.
        int in_flight_at_report = 0;
        absl::Duration service_time;      ///< From the owner; zero if unknown.
        std::optional<double> rate_limit; ///< From the owner, in requests per second.
        absl::flat_hash_map<std::string, absl::Duration> route_service_times;
        absl::Time penalised_until = absl::InfinitePast();
        absl::Time warm_up_started = absl::InfinitePast();
        absl::Time unanswered_since = absl::InfiniteFuture(); ///< Since when requests wait without any response.
        absl::Time listed_since = absl::InfiniteFuture();
    };
    struct version_group {
        std::vector<upstream_state*> upstreams; ///< Only usable ones.
        std::unique_ptr<outlier_ejector> ejector;
        absl::Time known_since = absl::InfiniteFuture(); ///< When the first of the present upstreams was listed.
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
        choice_reason reason; ///< none: the picker decides.
    };

    /// Means over the reports of all owners; zero without any report. They stand in for upstreams without a report, of
    /// which there are many in a large fleet, since an entry has used only a few.
    struct report_averages {
        absl::Duration service_time;
        absl::Duration route_service_time;
        double link_utilisation = 0;
        double link_mbps = 0;
        double local_load = 0; ///< Of upstreams in the entry's data centre.
        /// Of the other upstreams. Kept apart, since overload in one data centre says nothing about the others.
        double remote_load = 0;
    };

    /// An upstream that has said that it leaves.
    struct leaving_upstream {
        upstream_record record;
        absl::Time said_at;
    };

    bool is_usable(const upstream_record& record) const;
    bool is_leaving(const upstream_record& record) const;
    void apply_record(const upstream_record& record, service_names& changed, absl::Time now);
    void rebuild_groups(const service_names& changed);
    void finalize_group(version_group& members) const;
    std::vector<weighted_version> weighted_versions(const route& matched_route, const routing_request& request) const;
    double configured_weight(const std::string& service, const std::string& version,
                             const version_groups& versions) const;
    candidate_set candidates(const version_group& group, const route& matched_route, const routing_request& request,
                             absl::Time now) const;
    std::vector<pick_candidate> make_pick_candidates(const std::vector<upstream_state*>& upstreams,
                                                     absl::Time now) const;
    /// Fills in the costs of one candidate.
    /// @param averages means over @p upstreams, computed when they are first needed.
    void estimate_cost(pick_candidate& candidate, const upstream_state& upstream,
                       const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                       std::optional<report_averages>& averages, absl::Time now) const;
    /// @return the latency of the fastest upstream, for one without a sample.
    static absl::Duration lowest_latency(const std::vector<upstream_state*>& upstreams, absl::Time now);
    report_averages average_reports(const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                                    absl::Time now) const;
    bool is_local(const upstream_state& upstream) const;
    /// @return the number of slots that an upstream can keep busy, which its rate limit may reduce.
    static double usable_slots(const upstream_state& upstream);
    static absl::Duration service_time_of(const upstream_state& upstream, const std::string& route_name);
    /// @return the expected completion at an upstream; all parts are zero if no owner has reported service times.
    completion_estimate expected_completion(const upstream_state& upstream, const std::string& route_name,
                                            const report_averages& averages, absl::Time now) const;
    double expected_load(const upstream_state& upstream, const report_averages& averages, absl::Time now) const;
    data_center_question question_of(const route& matched_route, const routing_request& request, absl::Time now) const;
    double decayed_load(const upstream_state& upstream, absl::Time now) const;
    candidate_info candidate_info_of(const upstream_state& upstream, const pick_candidate& candidate,
                                     absl::Time now) const;
    double mean_transfer_bytes(const std::string& route_name) const;
    void record_outcome(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency, absl::Time now);
    void record_excess(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency,
                       absl::Duration expected, absl::Time now) const;
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
    std::set<std::string> m_evacuated; ///< Evacuated data centres.
    /// Services with upstreams that serve requests except for an evacuation.
    service_names m_evacuated_services;
    std::vector<endpoint> m_suspected_owners; ///< Small, so a linear search is enough.
    absl::flat_hash_map<std::string, std::unique_ptr<upstream_state>> m_upstreams;
    absl::flat_hash_map<std::string, version_groups> m_services;
    absl::flat_hash_map<std::string, leaving_upstream> m_leaving;     ///< By id.
    absl::flat_hash_map<std::string, transfer_size> m_transfer_sizes; ///< By route.
};

} // namespace amaranthladder
