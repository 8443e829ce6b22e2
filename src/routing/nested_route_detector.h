#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Parameters of nested_route_detector; docs/design/uneven-load.md gives the reasons.
struct nested_route_policy {
    /// Requests without a contradiction that are needed: with 0.8 of the hosts in one service, 60 requests of callers
    /// come from that service alone once in 650,000 times.
    int min_requests = 60;
    int max_requests = 1'000; ///< Cap on the requests needed after contradictions, each of which doubles their number.
    /// Time that they must span, since the requests on one connection of a caller all come through the same host.
    absl::Duration min_time = absl::Seconds(2);
    absl::Duration mixed_memory = absl::Seconds(60); ///< Time for which a route counts as one with several services.
};

/// Recognises the routes of nested calls, which upstreams make while they run a request of a caller.
///
/// Nested calls carry no mark. An upstream sends them through the daemon on its own host, so those of one route all
/// come from hosts of the service that makes them, while callers use the hosts of all services. The service of the host
/// that a request came through is known to the owner.
class nested_route_detector {
public:
    /// What is concluded when a request arrives.
    struct verdict {
        bool is_nested = false;
        bool has_changed = false; ///< The request has changed the conclusion for its route.
    };

    explicit nested_route_detector(nested_route_policy policy = {});

    /// Records a request at the owner.
    /// @param route name of its route.
    /// @param caller_service service of the host that it came through; empty: unknown.
    verdict observe(const std::string& route, const std::string& caller_service, absl::Time now);

    /// Forgets everything, after a change of the configuration: routes may have got another meaning.
    void reset();

private:
    struct route_state {
        std::string service; ///< The only one since the count was started.
        int requests = 0;
        int requests_needed = 0;
        absl::Time counted_since = absl::InfinitePast();
        absl::Time mixed_at = absl::InfinitePast(); ///< Last request from another service than the one before.
        bool is_nested = false;
    };

    bool is_any_other_mixed(const std::string& route, absl::Time now) const;

    nested_route_policy m_policy;
    absl::flat_hash_map<std::string, route_state> m_routes;
};

} // namespace amaranthladder
