#pragma once

#include "common/asio_types.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "common/token_bucket.h"
#include "http/quota_transport.h"
#include "quota/quota_node.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/random/random.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Lets requests of tenants with a quota wait for their tokens. Used on the event loop's thread only.
class quota_gate {
public:
    /// All arguments outlive this object.
    quota_gate(asio::io_context& context, const steady_clock& clock, event_log& log, absl::BitGen& random);
    ~quota_gate() = default;
    quota_gate(const quota_gate&) = delete;
    quota_gate& operator=(const quota_gate&) = delete;

    /// Starts the exchange with other daemons. Without it no request is limited.
    void start(quota_transport transport);

    void set_configuration(std::shared_ptr<const intended_state> configuration);
    void set_members(const std::vector<member>& members, bool is_joined);
    void receive(const quota_message& message);

    /// Hands over the tenants that this daemon coordinates, since it drains.
    void leave();

    /// @return true if requests of @p tenant need a token.
    bool is_limited(const std::string& tenant) const {
        return m_node && m_node->is_limited(tenant);
    }

    /// Waits for a token for some 0.3 s at most.
    /// @param waiter identifies the request.
    /// @param deadline end of the wait at the latest.
    asio::awaitable<quota_verdict> acquire(std::string tenant, std::uint64_t waiter,
                                           absl::Time deadline = absl::InfiniteFuture());

    /// Ends the wait of a request whose caller has left.
    void cancel(const std::string& tenant, std::uint64_t waiter);

    /// Returns the token of a request that was refused without having run.
    void give_back(const std::string& tenant, absl::Time token_expires);

    quota_report report() const {
        return m_node ? m_node->report() : quota_report();
    }

private:
    struct waiter_state {
        asio::steady_timer* timer = nullptr;
        std::optional<quota_verdict> verdict;
    };

    asio::awaitable<void> run();
    void start_if_needed();
    void flush();
    void wake(std::uint64_t waiter, const quota_verdict& verdict);
    void log_none_reports();
    void log_refusal(const std::string& tenant, const quota_verdict& verdict);

    asio::io_context& m_context;
    const steady_clock& m_clock;
    event_log& m_log;
    absl::BitGen& m_random;
    quota_transport m_transport;
    std::optional<quota_node> m_node;
    std::shared_ptr<const intended_state> m_configuration;
    std::map<std::uint64_t, waiter_state> m_waiters;
    asio::steady_timer* m_timer = nullptr; ///< Of run(); destroyed with the event loop, before this object.
    token_bucket m_log_budget;
    std::uint64_t m_unlogged = 0; ///< Lines left out since the last one.
    bool m_is_running = false;
};

} // namespace amaranthladder
