#pragma once

#include "config/intended_state.h"
#include "peers/upstream_record.h"
#include "routing/attempt_outcome.h"
#include "routing/ejector.h"
#include "routing/latency_average.h"
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
    picker_policy picking;
    ejector_policy ejecting;
    warm_up_policy warming;
    latency_average_policy averaging;
    double own_weight = 3;    ///< Cost added by one of the entry's own requests per slot, as a multiple of the latency.
    double hint_weight = 0.3; ///< Cost added by one reported request per slot, as a multiple of the latency.
    double max_hint = 2;      ///< Larger reported loads count as this.
    absl::Duration hint_decay = absl::Milliseconds(500);      ///< Age at which a reported load counts 1/e.
    absl::Duration refusal_penalty = absl::Milliseconds(25);  ///< After a refusal for load.
    absl::Duration connect_penalty = absl::Milliseconds(250); ///< After a failed connection.
    absl::Duration leaving_penalty = absl::Seconds(5);        ///< After a refusal because it leaves.
    /// Part of the time left to the target that an answer of the own data centre may be expected to take.
    double local_share = 0.5;
    double local_share_download = 0.8; ///< The same for downloads, whose bytes weigh more.
    /// An owner that leaves this many requests of the entry unanswered, and answers none, for the time below is silent:
    /// its host is frozen, cut off or its connections are dead. Single requests may take that long by themselves.
    int silent_requests = 3;
    absl::Duration silent_time = absl::Milliseconds(500);
};

/// Who the entry is.
struct router_settings {
    std::string data_center;
    bool holds_new_versions =
        false; ///< Without a share or a move, only the version that was known first gets requests.
    router_policy policy = {};
};

/// What the router needs to know of a request.
struct request_facts {
    bool is_idempotent = false;
    absl::Time deadline = absl::InfiniteFuture();
    absl::Time target = absl::InfiniteFuture(); ///< Until when the answer is worth most.
    std::string service = {};                   ///< The service chosen out of a split; empty: the route's.
    std::vector<std::string> tried = {};        ///< Ids of upstreams that earlier attempts of the request went to.
};

/// What an owner reports of its upstream with each answer and refusal.
struct owner_report {
    double load = 0;             ///< Running and queued requests over slots.
    absl::Duration service_time; ///< Mean of all its requests; zero if unknown.
    absl::Duration route_time;   ///< Mean of the requests of the answered route; zero if unknown.
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

    /// @param target the route, from match.
    /// @param request the request.
    /// @param now the time.
    /// @param rng source of randomness.
    /// @return the chosen upstream, or the refusal no_upstream or deadline_expired. Call on_started if it is used.
    routing_decision choose(const route& target, const request_facts& request, absl::Time now,
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
        double hint = 0;
        absl::Time hint_time = absl::InfinitePast();
        int in_flight_at_hint = 0;
        absl::Duration service_time; ///< As the owner reported; zero if unknown.
        absl::flat_hash_map<std::string, absl::Duration> route_times;
        absl::Time penalised_until = absl::InfinitePast();
        absl::Time warming_since = absl::InfinitePast();
        absl::Time waiting_since = absl::InfiniteFuture(); ///< Since when requests wait and none was answered.
        absl::Time listed_since = absl::InfiniteFuture();
    };
    struct version_group {
        std::vector<upstream_state*> upstreams; ///< Only usable ones.
        std::unique_ptr<ejector> health;
        absl::Time known_since = absl::InfiniteFuture(); ///< When the first of its present upstreams was listed.
    };
    using service_names = absl::flat_hash_set<std::string>;
    using service_group = std::map<std::string, version_group>;
    struct weighed_version {
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
    struct typical_times {
        absl::Duration service_time;
        absl::Duration route_time;
        double local_load = 0;  ///< Of the upstreams in the entry's data centre.
        double remote_load = 0; ///< Of the others: an overload of the own data centre says nothing about them.
    };

    void take_record(const upstream_record& record, service_names& changed, absl::Time now);
    void rebuild_groups(const service_names& changed);
    void finish_group(version_group& members) const;
    std::vector<weighed_version> weighed_versions(const route& target, const request_facts& request) const;
    double configured_weight(const std::string& service, const std::string& version,
                             const service_group& versions) const;
    candidate_set candidates(const version_group& group, const route& target, const request_facts& request,
                             absl::Time now) const;
    std::vector<pick_candidate> weigh(const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                                      absl::Time now) const;
    typical_times typical_times_of(const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                                   absl::Time now) const;
    bool is_local(const upstream_state& upstream) const;
    static absl::Duration time_of_route(const upstream_state& upstream, const std::string& route_name);
    absl::Duration expected_time(const upstream_state& upstream, const std::string& route_name,
                                 const typical_times& typical, absl::Time now) const;
    absl::Duration local_limit(const route& target, const request_facts& request, absl::Time now) const;
    double trusted_hint(const upstream_state& upstream, absl::Time now) const;
    candidate_view view(const upstream_state& upstream, const pick_candidate& weighed, absl::Time now) const;
    void learn(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency, absl::Time now);
    bool is_silent(const upstream_state& upstream, absl::Time now) const;
    bool is_suspected(const upstream_state& upstream) const;
    bool is_doubtful(const upstream_state& upstream, absl::Time now) const;
    ejector* health_of(const upstream_state& upstream);

    router_settings m_settings;
    warm_up m_warm_up;
    picker m_picker;
    std::shared_ptr<const intended_state> m_state;
    route_table m_routes;
    share_overrides m_overrides;
    std::vector<endpoint> m_suspected_owners; ///< Few at any time.
    absl::flat_hash_map<std::string, std::unique_ptr<upstream_state>> m_upstreams;
    absl::flat_hash_map<std::string, service_group> m_services;
};

} // namespace amaranthladder
