#include "http/private/quota_gate.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <utility>

namespace amaranthladder {

namespace {

/// Time between two ticks while no ask is open; the reach of other daemons is measured over a second.
constexpr absl::Duration idle_interval = absl::Milliseconds(100);
/// Log lines about quotas: a tenant far over its quota is refused hundreds of times a second.
constexpr double log_burst = 20;
constexpr absl::Duration log_interval = absl::Milliseconds(100);

std::string_view reason(quota_verdict::kind kind) {
    return kind == quota_verdict::kind::refused_over ? "over-quota" : "unknown";
}

} // namespace

quota_gate::quota_gate(asio::io_context& context, const steady_clock& clock, event_log& log, absl::BitGen& random)
    : m_context(context), m_clock(clock), m_log(log), m_random(random),
      m_log_budget(log_burst, log_interval, clock.now()) {}

void quota_gate::start(quota_transport transport) {
    m_transport = std::move(transport);
    m_node.emplace(m_transport.self, m_transport.limits, absl::Uniform<std::uint64_t>(m_random));
    if (m_configuration != nullptr) {
        m_node->set_configuration(m_configuration, m_clock.now());
    }
    start_if_needed();
}

void quota_gate::set_configuration(std::shared_ptr<const intended_state> configuration) {
    m_configuration = std::move(configuration);
    if (m_node) {
        m_node->set_configuration(m_configuration, m_clock.now());
        flush();
        start_if_needed();
    }
}

void quota_gate::set_members(const std::vector<member>& members, bool is_joined) {
    if (m_node) {
        m_node->set_members(members, is_joined, m_clock.now());
    }
}

void quota_gate::receive(const quota_message& message) {
    if (m_node) {
        m_node->receive(message, m_clock.now());
        flush();
    }
}

void quota_gate::leave() {
    if (m_node) {
        m_node->leave(m_clock.now());
        flush();
    }
}

asio::awaitable<quota_verdict> quota_gate::acquire(std::string tenant, std::uint64_t waiter, absl::Time deadline) {
    quota_verdict verdict = m_node->acquire(tenant, waiter, m_clock.now());
    if (verdict.result == quota_verdict::kind::wait) {
        asio::steady_timer timer(m_context, asio::steady_timer::time_point::max());
        if (deadline != absl::InfiniteFuture()) {
            timer.expires_after(absl::ToChronoNanoseconds(deadline - m_clock.now()));
        }
        m_waiters[waiter].timer = &timer;
        const absl::Cleanup forget = [this, waiter] { m_waiters.erase(waiter); };
        flush();
        if (m_timer != nullptr) {
            m_timer->cancel();
        }
        while (!m_waiters[waiter].verdict) {
            co_await timer.async_wait(as_result);
            if (m_clock.now() >= deadline) {
                cancel(tenant, waiter);
            }
        }
        verdict = *m_waiters[waiter].verdict;
    } else {
        flush();
    }
    if (verdict.result != quota_verdict::kind::run) {
        log_refusal(tenant, verdict);
    }
    co_return verdict;
}

void quota_gate::cancel(const std::string& tenant, std::uint64_t waiter) {
    m_node->cancel(tenant, waiter);
    wake(waiter, {quota_verdict::kind::refused_unknown, m_clock.now(), absl::ZeroDuration()});
}

void quota_gate::give_back(const std::string& tenant, absl::Time token_expires) {
    m_node->give_back(tenant, token_expires, m_clock.now());
    flush();
}

asio::awaitable<void> quota_gate::run() {
    asio::steady_timer timer(m_context);
    m_timer = &timer;
    const absl::Cleanup forget = [this] { m_timer = nullptr; };
    while (m_node->has_quotas()) {
        timer.expires_after(
            absl::ToChronoNanoseconds(m_node->has_open_asks() ? quota_node::tick_interval : idle_interval));
        co_await timer.async_wait(as_result);
        m_node->tick(m_clock.now(), m_random);
        flush();
        for (const quota_role_change& change : m_node->take_role_changes()) {
            if (m_log_budget.try_take(m_clock.now())) {
                m_log.info(fmt::format("quota-coordinator tenant={} is_coordinator={} fraction={:.2f}", change.tenant,
                                       change.is_coordinator, change.fraction));
            }
        }
        log_none_reports();
    }
    m_is_running = false;
}

void quota_gate::start_if_needed() {
    if (m_node->has_quotas() && !std::exchange(m_is_running, true)) {
        asio::co_spawn(m_context, run(), asio::detached);
    }
}

void quota_gate::flush() {
    for (const quota_node::outgoing& out : m_node->take_messages(m_clock.now())) {
        m_transport.send(out.to, out.message);
    }
    for (const quota_client::resolved& resolved : m_node->take_resolved()) {
        wake(resolved.waiter, resolved.verdict);
    }
}

void quota_gate::wake(std::uint64_t waiter, const quota_verdict& verdict) {
    const auto found = m_waiters.find(waiter);
    if (found != m_waiters.end() && !found->second.verdict) {
        found->second.verdict = verdict;
        found->second.timer->cancel();
    }
}

void quota_gate::log_none_reports() {
    for (const quota_none_report& report : m_node->take_none_reports()) {
        if (m_log_budget.try_take(m_clock.now())) {
            m_log.info(fmt::format("quota-none tenant={} rate={:.1f} fraction={:.2f} served={:.2f} "
                                   "entries_elsewhere={} tokens={:.1f} wanted={}",
                                   report.tenant, report.rate, report.fraction, report.served, report.entries,
                                   report.tokens, report.wanted));
        }
    }
}

void quota_gate::log_refusal(const std::string& tenant, const quota_verdict& verdict) {
    if (!m_log_budget.try_take(m_clock.now())) {
        ++m_unlogged;
        return;
    }
    m_log.info(fmt::format("quota-refusal tenant={} reason={} retry_after_ms={} unlogged_before={}", tenant,
                           reason(verdict.result), absl::ToInt64Milliseconds(verdict.retry_after),
                           std::exchange(m_unlogged, 0)));
}

} // namespace amaranthladder
