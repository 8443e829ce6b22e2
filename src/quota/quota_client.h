#pragma once

#include "common/endpoint.h"
#include "quota/quota_limits.h"
#include "quota/quota_message.h"
#include "quota/quota_view.h"
#include "quota/reach_estimator.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace amaranthladder {

/// What a request of a tenant with a quota may do.
struct quota_verdict {
    enum class kind {
        run,             ///< The request has a token, valid until token_expires.
        wait,            ///< A daemon is being asked; quota_client::take_resolved() returns the verdict later.
        refused_over,    ///< The quota is used up; retry after retry_after.
        refused_unknown, ///< No daemon that keeps the tenant's bucket has answered.
    };

    kind result = kind::run;
    absl::Time token_expires;
    absl::Duration retry_after;
};

/// Counters of an entry's requests.
struct quota_request_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused_over = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t asks = 0;
    std::uint64_t fallback_asks = 0; ///< To the second-ranked daemon.
    std::uint64_t waited = 0;        ///< Requests that had to wait for an answer.
    std::uint64_t expired = 0;       ///< Tokens that no request used in time.
};

/// The entry's side: the stock of tokens of each tenant, its recent demand and the asks without an answer.
class quota_client {
public:
    struct outgoing_ask {
        endpoint to;
        quota_ask ask;
    };

    struct resolved {
        std::uint64_t waiter = 0;
        quota_verdict verdict;
    };

    /// @param view and @param reach outlive this object.
    /// @param first_id start of the numbers of asks; random, so that answers to an earlier process do not match.
    quota_client(const quota_view& view, const reach_estimator& reach, std::uint64_t first_id);

    /// Requests a token.
    /// @param waiter identifies the request if it has to wait.
    quota_verdict acquire(const std::string& tenant, std::uint64_t waiter, absl::Time now);

    /// The request has ended while it waited.
    void cancel(const std::string& tenant, std::uint64_t waiter);

    /// Returns the token of a request that was refused without having run.
    void give_back(const std::string& tenant, absl::Time token_expires, absl::Time now);

    void receive(const quota_answer& answer, absl::Time now);

    /// @return the daemon that this entry takes for the coordinator of a tenant.
    endpoint coordinator(const std::string& tenant, absl::Time now) const;

    /// Repeats unanswered asks, asks the second-ranked daemon where the coordinator is silent, and refuses requests
    /// that have waited too long.
    void tick(absl::Time now);

    /// Drops the tokens of a tenant whose limit was lowered or removed.
    void drop_tokens(const std::string& tenant, absl::Time now);

    std::vector<outgoing_ask> take_asks() {
        return std::exchange(m_outgoing, {});
    }

    std::vector<resolved> take_resolved() {
        return std::exchange(m_resolved, {});
    }

    const quota_request_counters& counters() const {
        return m_counters;
    }

    bool has_open_asks() const {
        return !m_asks.empty() || !m_retries.empty();
    }

private:
    struct tokens {
        std::uint32_t count = 0;
        absl::Time expires;
    };

    struct waiting {
        std::uint64_t id = 0;
        absl::Duration since; ///< In time that this process has run.
    };

    struct tenant_state {
        std::deque<tokens> stock; ///< By expiry.
        std::deque<waiting> waiters;
        double demand = 0; ///< Requests a second.
        absl::Time demand_updated = absl::InfinitePast();
        std::uint32_t asked = 0; ///< Tokens asked for without an answer yet.
        absl::Time refused_until = absl::InfinitePast();
        absl::Time retry_at = absl::InfinitePast();
        absl::Time avoids_coordinator_until = absl::InfinitePast();
        absl::Time checks_coordinator_until = absl::InfinitePast();
        std::optional<endpoint> moved_to; ///< The daemon that keeps the bucket, as told by another one.
        absl::Time moved_until = absl::InfinitePast();
        std::optional<endpoint> fallback; ///< The daemon asked until then, so that only one counts this entry.
    };

    struct open_ask {
        std::string tenant;
        endpoint to;
        absl::Time sent;
        absl::Duration started; ///< In time that this process has run.
        std::uint32_t wanted = 0;
        std::uint32_t fallback_ms = 0;
        int moves = 0; ///< Answers quota_status::moved that led to this ask.
        bool is_fallback = false;
        bool is_repeated = false;
        bool is_overdue = false; ///< Its time is over, but the tokens of a late answer can still be used.
    };

    static void update_demand(tenant_state& state, absl::Time now);
    static std::uint32_t batch(const tenant_state& state);
    std::uint32_t usable_tokens(tenant_state& state, absl::Time now);
    void ask_if_needed(const std::string& tenant, tenant_state& state, absl::Time now);
    void ask(const std::string& tenant, tenant_state& state, std::uint32_t wanted, bool is_fallback, absl::Time now,
             int moves = 0);
    void follow(const open_ask& ended, const endpoint& to, absl::Time now);
    void retry_later(const std::string& tenant, absl::Time now);
    void run_retries(absl::Time now);
    void advance(absl::Time now);
    void choose_fallback(const std::string& tenant, tenant_state& state, const std::optional<endpoint>& second,
                         absl::Time now);
    void handle_no_answer(const open_ask& overdue, absl::Time now);
    void serve_waiters(tenant_state& state, absl::Time now);
    void refuse_overdue_waiters(tenant_state& state, absl::Time now);
    void repeat(std::uint64_t id, open_ask& open, absl::Time now);
    void refuse_waiters(tenant_state& state, quota_verdict::kind reason, absl::Time now);
    quota_verdict make_refusal(const tenant_state& state, quota_verdict::kind reason, absl::Time now);
    static void close(tenant_state& state, const open_ask& ended);

    const quota_view& m_view;
    const reach_estimator& m_reach;
    std::uint64_t m_next_id;
    absl::flat_hash_map<std::string, tenant_state> m_tenants;
    absl::flat_hash_map<std::uint64_t, open_ask> m_asks;
    std::map<std::string, absl::Time> m_retries; ///< Tenants for which no daemon could decide, and when to ask again.
    absl::Duration m_run_time;                   ///< Time that this process has run, without its stalls.
    absl::Time m_last_event = absl::InfinitePast();
    std::vector<outgoing_ask> m_outgoing;
    std::vector<resolved> m_resolved;
    quota_request_counters m_counters;
};

} // namespace amaranthladder
