#pragma once

#include "config/intended_state.h"
#include "quota/quota_node.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace amaranthladder {

/// A fleet of quota nodes in virtual time: a message queue with delay, loss and repetition, partitions that may work in
/// one direction only, and views of the members that lag as those of SWIM do.
class quota_fleet {
public:
    struct options {
        std::size_t daemons = 89;
        std::size_t tenants = 87;
        double requests_per_second = 1825;
        double zipf_exponent = 1.2;
        double limit_factor = 1.6; ///< Limit relative to the usual demand; the burst is one second of it.
        double loss = 0;
        double repetition = 0;
        double slow = 0;              ///< Share of messages that take up to 150 ms longer.
        double stalls_per_second = 0; ///< Of each daemon: up to 100 ms, one in fifty up to 300 ms.
        std::size_t spares = 0;       ///< Daemons that join later by replace().
        std::uint64_t seed = 1;
    };

    /// Requests of a tenant.
    struct tally {
        std::uint64_t requests = 0;
        std::uint64_t within = 0;          ///< Within rate and burst, as counted by one exact bucket.
        std::uint64_t wrongly_refused = 0; ///< Refused although within.
        std::uint64_t run = 0;
        std::uint64_t refused_over = 0;
        std::uint64_t refused_unknown = 0;
        std::uint64_t late = 0; ///< Run more than 125 ms after the request.
    };

    explicit quota_fleet(const options& chosen);
    ~quota_fleet();
    quota_fleet(const quota_fleet&) = delete;
    quota_fleet& operator=(const quota_fleet&) = delete;

    void run_for(absl::Duration time);

    /// Multiplies the demand of a tenant.
    void set_demand(std::size_t tenant, double factor);
    /// Multiplies the limits of all tenants. Each daemon learns of it after up to @p delay.
    void set_limits(double factor, absl::Duration delay);
    /// Cuts the daemons in @p group off from the others.
    /// @param is_one_way messages into the group still arrive.
    void cut(const std::vector<std::size_t>& group, bool is_one_way = false);
    void heal();
    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    /// Starts the next spare daemon and lets @p daemon leave as planned: it drains, announces that it has left, and
    /// ends.
    void replace(std::size_t daemon);
    /// Stops a process for a while; what is sent to it waits.
    void pause(std::size_t daemon, absl::Duration time);
    /// @return the daemon that the first daemon takes for the coordinator of a tenant.
    std::size_t coordinator(std::size_t tenant) const;

    /// Forgets what was counted for wrongly_refused so far.
    void clear_tallies();
    tally total() const;
    /// @return the sum over the tenants at their usual demand.
    tally of_allowed_tenants() const;
    tally of_tenant(std::size_t tenant) const;
    /// @return the largest number of requests that ran in any window, relative to the bound.
    /// @param since start of the first window.
    double worst_window(absl::Time since = absl::InfinitePast()) const;
    /// @return messages a second and daemon since clear_tallies().
    double messages_per_daemon() const;
    std::uint64_t messages() const;
    std::uint64_t message_bytes() const;
    absl::Time now() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @return the indexes from @p first to the one before @p last.
inline std::vector<std::size_t> range(std::size_t first, std::size_t last) {
    std::vector<std::size_t> result(last - first);
    std::iota(result.begin(), result.end(), first);
    return result;
}

/// @return options with these shares of lost, repeated and slow messages.
inline quota_fleet::options with(double loss, double repetition, double slow) {
    quota_fleet::options result;
    result.loss = loss;
    result.repetition = repetition;
    result.slow = slow;
    return result;
}

} // namespace amaranthladder
