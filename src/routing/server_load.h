#pragma once

#include "routing/recent_value.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// What an upstream reports of its load.
struct server_load_report {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes at this moment, relative to the usual one; above 1: slower.
    std::optional<double> work_factor = {};

    friend bool operator==(const server_load_report&, const server_load_report&) = default;
};

/// @param text `running,waiting,slots[,speed]`; the speed is in percent of the usual work time.
/// @return the report, or nothing if the text has another form or a figure that cannot be true.
std::optional<server_load_report> parse_server_load(std::string_view text);

/// Parameters of server_load; docs/design/uneven-load.md gives the reasons.
struct server_load_policy {
    absl::Duration decay = absl::Milliseconds(600);           ///< Age at which a speed has decayed to 1/e.
    absl::Duration memory = absl::Seconds(10);                ///< Time over which the usual speed is learned.
    absl::Duration max_report_age = absl::Milliseconds(1200); ///< Older reports give way to the owner's measurements.
    double own_preference = 1.1; ///< Ratio of the errors from which the owner's measurements replace the reports.
    int min_samples = 50;        ///< Responses before reports are judged.
    /// Weight of a response in the errors. Host speeds are usual most of the time, and a report that says so always is
    /// then right: with 0.05 an upstream that never reports a slow moment was believed again within 0.5 s.
    double error_weight = 0.005;
    double count_weight = 0.05;   ///< Weight of a response in the share of reports that contradict the owner's count.
    double service_weight = 0.05; ///< Weight of a response in slot_limiter's service times, which are normalised here.
    double max_excess_load = 1;   ///< Load, in requests per slot, that a report may add to what the owner counts.
};

/// The load and speed of a local upstream, from its reports or, if these stop or are false, from what its owner
/// measures.
///
/// The speed is expressed relative to the upstream's usual one: the logarithm of the work factor less its mean. A
/// constant difference between hosts is thus part of the service times, which the owner measures.
class server_load {
public:
    explicit server_load(server_load_policy policy = {});

    /// Records a response of the upstream.
    /// @param report figures in the response; nothing if there are none.
    /// @param route name of the request's route.
    /// @param work_time time from the send of the request to the header of the response.
    /// @param own_running requests that the owner has at the upstream, this one included.
    /// @param now current time.
    void observe(const std::optional<server_load_report>& report, const std::string& route, absl::Duration work_time,
                 int own_running, absl::Time now);

    /// Records the figures in the response to a health check, which says nothing of the time that work takes.
    /// @param own_running requests that the owner has at the upstream.
    void observe_health_check(const server_load_report& report, int own_running, absl::Time now);

    /// @return time that work takes now, relative to the usual one; above 1: slower. 1 if nothing is known.
    double work_factor(absl::Time now) const;

    /// @param recent a moving average of service times of all routes, which contains the recent speed.
    /// @return the service time at the usual speed.
    absl::Duration usual_service_time(absl::Duration recent) const;

    /// @overload for one route.
    absl::Duration usual_service_time(absl::Duration recent, const std::string& route) const;

    /// @param own_load running and queued requests per slot, as the owner counts them.
    /// @return the load, which is higher if the upstream itself credibly reports requests that wait or fewer slots.
    double load(double own_load, absl::Time now) const;

    /// @return true if the speed comes from the upstream's reports, false if from the owner's measurements.
    bool uses_reported_speed(absl::Time now) const;

    /// @return true if the reported numbers of requests contradict what the owner counts.
    bool is_load_false() const;

private:
    /// Work times of a route, which have no decay of their own: only their mean is used.
    struct route_times {
        recent_value log_time;    ///< Logarithm of the work time in seconds.
        double recent_factor = 1; ///< Moving average of work_factor() over the route's responses.
    };

    double measured_deviation(absl::Time now) const;
    void observe_speed(const std::optional<server_load_report>& report, route_times& times, absl::Duration work_time,
                       absl::Time now);
    void observe_counts(const server_load_report& report, int own_running, absl::Time now);

    server_load_policy m_policy;
    absl::flat_hash_map<std::string, route_times> m_routes;
    std::optional<server_load_report> m_report;
    absl::Time m_reported_at = absl::InfinitePast();
    recent_value m_reported_speed; ///< Logarithm of the reported work factor.
    double m_measured = 0;         ///< Smoothed difference of the logarithms of work times from their mean.
    absl::Time m_measured_at = absl::InfinitePast();
    double m_report_error = 0; ///< Mean error of what the reports predict for the next work time.
    double m_own_error = 0;    ///< The same for m_measured.
    int m_samples = 0;
    double m_false_share = 0; ///< Share of the recent reports that contradict the owner's count.
    double m_recent_factor = 1;
};

} // namespace amaranthladder
