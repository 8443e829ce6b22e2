#pragma once

#include "common/endpoint.h"
#include "config/intended_state.h"
#include "peers/member.h"
#include "quota/quota_client.h"
#include "quota/quota_coordinator.h"
#include "quota/quota_limits.h"
#include "quota/quota_message.h"
#include "quota/quota_view.h"
#include "quota/reach_estimator.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// State of the quotas at one daemon, for status and metrics.
struct quota_report {
    quota_request_counters requests;
    quota_grant_counters grants;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::size_t members_known = 0;
    std::size_t coordinated_tenants = 0;
    double fraction = 0; ///< Of the fleet that this daemon sees.
    bool is_settled = false;
};

/// The quotas of tenants at one daemon: its part as an entry and as a coordinator, and the messages between the two.
/// Uses no clock, socket or thread.
class quota_node {
public:
    /// Time between two calls of tick().
    static constexpr absl::Duration tick_interval = absl::Milliseconds(25);

    struct outgoing {
        endpoint to;
        quota_message message;
    };

    /// @param self address for messages of peers.
    /// @param first_id random number, see quota_client.
    quota_node(const endpoint& self, const quota_limits& limits, std::uint64_t first_id);

    void set_configuration(std::shared_ptr<const intended_state> configuration, absl::Time now);

    /// @param is_joined this daemon has compared its tables with a peer, so it knows the fleet.
    void set_members(const std::vector<member>& members, bool is_joined, absl::Time now);

    /// Hands over the buckets of the tenants that this daemon coordinates, since its process will end.
    void leave(absl::Time now) {
        m_coordinator.leave(now);
    }

    /// @return true if requests of @p tenant need a token.
    bool is_limited(const std::string& tenant) const;

    quota_verdict acquire(const std::string& tenant, std::uint64_t waiter, absl::Time now);
    void cancel(const std::string& tenant, std::uint64_t waiter);
    void give_back(const std::string& tenant, absl::Time token_expires, absl::Time now);

    void receive(const quota_message& message, absl::Time now);
    void tick(absl::Time now, absl::BitGenRef random);

    /// @return the messages to send; each fits into a datagram.
    std::vector<outgoing> take_messages(absl::Time now);
    std::vector<quota_client::resolved> take_resolved();
    std::vector<quota_role_change> take_role_changes();
    std::vector<quota_none_report> take_none_reports() {
        return m_coordinator.take_none_reports();
    }

    /// @return true if tick() must be called every tick_interval, to notice in time that there is no answer.
    bool has_open_asks() const {
        return m_client.has_open_asks();
    }

    /// @return true if tick() must be called.
    bool has_quotas() const {
        return m_has_quotas;
    }

    quota_report report() const;

private:
    void handle_ask(const quota_ask& ask, const endpoint& from, absl::Time now);
    void send_probes(absl::Time now, absl::BitGenRef random);
    void probe(const endpoint& to);

    endpoint m_self;
    quota_view m_view;
    reach_estimator m_reach;
    quota_coordinator m_coordinator;
    quota_client m_client;
    std::shared_ptr<const intended_state> m_configuration;
    std::map<endpoint, quota_message> m_outgoing;
    std::uint64_t m_messages_sent = 0;
    std::uint64_t m_messages_received = 0;
    bool m_has_quotas = false;
    std::optional<absl::Time> m_joined_at;
    std::optional<absl::Time> m_last_tick;
    absl::Time m_next_probe = absl::InfinitePast();
    absl::Time m_next_rival_probe = absl::InfinitePast();
};

} // namespace amaranthladder
