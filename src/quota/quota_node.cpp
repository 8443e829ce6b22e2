#include "quota/quota_node.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace amaranthladder {

namespace {

/// Longest time from joining the mesh until this daemon grants tokens. A fleet that starts at once knows all members
/// after 1.3 s at 100 daemons (docs/CAPACITY.md, S2); before that, each daemon could take itself for the coordinator.
constexpr absl::Duration settle_time = absl::Seconds(2);
/// The same if it has learned of no other member for stable_time: gossip then has reached it, several rounds ago.
constexpr absl::Duration min_settle_time = absl::Seconds(1);
constexpr absl::Duration stable_time = absl::Milliseconds(700);
/// A longer time between two ticks is a pause, in which others may have taken over: a member is suspected after 1 s.
constexpr absl::Duration max_tick_gap = absl::Seconds(1);
/// A longer time between two ticks is a stall: answers may wait unread behind this tick. quota_gate ticks each 100 ms.
constexpr absl::Duration stall_threshold = absl::Milliseconds(150);
/// Recent contacts with different daemons that the reach estimate needs.
constexpr std::size_t wanted_samples = 6;
constexpr absl::Duration probe_interval = absl::Milliseconds(150);
constexpr absl::Duration rival_probe_interval = absl::Milliseconds(250);
/// Items of each kind in a message. With tenant names of 64 bytes they fit into a datagram of 900 bytes.
constexpr std::size_t max_message_items = 8;

/// Appends @p message, divided into messages of at most max_message_items.
void append(std::vector<quota_node::outgoing>& result, const endpoint& to, quota_message message) {
    const auto size = [&message] { return message.asks.size() + message.transfers.size(); };
    while (size() > max_message_items || message.answers.size() > max_message_items) {
        quota_message part{message.from, {}, {}};
        const auto move_items = [](auto& from, auto& into) {
            const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), max_message_items));
            into.assign(std::make_move_iterator(from.begin()), std::make_move_iterator(from.begin() + count));
            from.erase(from.begin(), from.begin() + count);
        };
        if (message.asks.empty()) {
            move_items(message.transfers, part.transfers);
        }
        move_items(message.asks, part.asks);
        move_items(message.answers, part.answers);
        result.push_back({to, std::move(part)});
    }
    if (!message.is_empty()) {
        result.push_back({to, std::move(message)});
    }
}

} // namespace

quota_node::quota_node(const endpoint& self, const quota_limits& limits, std::uint64_t first_id)
    : m_self(self), m_view(self), m_coordinator(limits, m_view, m_reach, ~first_id),
      m_client(m_view, m_reach, first_id) {}

void quota_node::set_configuration(std::shared_ptr<const intended_state> configuration, absl::Time now) {
    if (m_configuration != nullptr) {
        for (const auto& [name, before] : m_configuration->tenants) {
            const auto found = configuration->tenants.find(name);
            if (found == configuration->tenants.end() || found->second.rate_per_second < before.rate_per_second ||
                found->second.burst < before.burst) {
                m_client.drop_tokens(name, now);
            }
        }
    }
    m_configuration = std::move(configuration);
    m_coordinator.set_configuration(m_configuration);
    m_has_quotas =
        std::ranges::any_of(m_configuration->tenants, [](const auto& entry) { return entry.second.has_quota(); });
}

void quota_node::set_members(const std::vector<member>& members, bool is_joined, absl::Time now) {
    m_view.update(members, now);
    if (is_joined && !m_joined_at) {
        m_joined_at = now;
        m_coordinator.join(now);
    }
}

bool quota_node::is_limited(const std::string& tenant) const {
    if (!m_has_quotas || tenant.empty()) {
        return false;
    }
    const auto found = m_configuration->tenants.find(tenant);
    return found != m_configuration->tenants.end() && found->second.has_quota();
}

quota_verdict quota_node::acquire(const std::string& tenant, std::uint64_t waiter, absl::Time now) {
    return m_client.acquire(tenant, waiter, now);
}

void quota_node::cancel(const std::string& tenant, std::uint64_t waiter) {
    m_client.cancel(tenant, waiter);
}

void quota_node::give_back(const std::string& tenant, absl::Time token_expires, absl::Time now) {
    m_client.give_back(tenant, token_expires, now);
}

void quota_node::receive(const quota_message& message, absl::Time now) {
    ++m_messages_received;
    for (const quota_ask& ask : message.asks) {
        handle_ask(ask, message.from, now);
    }
    for (const quota_transfer& transfer : message.transfers) {
        m_coordinator.receive(transfer, message.from, now);
    }
    if (!message.answers.empty()) {
        m_reach.on_answer(message.from, now);
    }
    for (const quota_answer& answer : message.answers) {
        m_client.receive(answer, now);
    }
}

void quota_node::tick(absl::Time now, absl::BitGenRef random) {
    if (m_last_tick && now - *m_last_tick > max_tick_gap) {
        m_coordinator.on_pause(now);
    } else if (m_last_tick && now - *m_last_tick > stall_threshold) {
        m_reach.on_stall(now - *m_last_tick);
    }
    m_last_tick = now;
    if (m_joined_at && now - *m_joined_at >= min_settle_time &&
        (now - *m_joined_at >= settle_time || now - m_view.last_new() >= stable_time)) {
        m_coordinator.settle(now);
    }
    m_reach.expire(now);
    if (m_coordinator.is_in_use(now)) {
        send_probes(now, random);
    }
    m_coordinator.tick(now);
    m_client.tick(now);
}

std::vector<quota_node::outgoing> quota_node::take_messages(absl::Time now) {
    // Asks to this daemon are answered here. The answers may cause further asks, to the second-ranked daemon.
    for (std::vector<quota_client::outgoing_ask> asks = m_client.take_asks(); !asks.empty();
         asks = m_client.take_asks()) {
        for (quota_client::outgoing_ask& out : asks) {
            if (out.to == m_self) {
                m_client.receive(m_coordinator.answer(out.ask, m_self, now), now);
            } else {
                m_outgoing[out.to].asks.push_back(std::move(out.ask));
            }
        }
    }
    for (const quota_coordinator::outgoing_transfer& out : m_coordinator.take_transfers()) {
        const endpoint to = out.to.address.empty() ? m_client.coordinator(out.transfer.tenant, now) : out.to;
        if (to == m_self) {
            continue;
        }
        std::vector<quota_transfer>& transfers = m_outgoing[to].transfers;
        if (std::ranges::find(transfers, out.transfer) == transfers.end()) {
            transfers.push_back(out.transfer);
        }
    }
    std::vector<outgoing> result;
    result.reserve(m_outgoing.size());
    for (auto& [to, message] : m_outgoing) {
        message.from = m_self;
        if (!message.asks.empty()) {
            m_reach.on_sent(to, now);
        }
        append(result, to, std::move(message));
    }
    m_outgoing.clear();
    m_messages_sent += result.size();
    return result;
}

std::vector<quota_client::resolved> quota_node::take_resolved() {
    return m_client.take_resolved();
}

std::vector<quota_role_change> quota_node::take_role_changes() {
    return m_coordinator.take_role_changes();
}

quota_report quota_node::report() const {
    quota_report result;
    result.requests = m_client.counters();
    result.grants = m_coordinator.counters();
    result.messages_sent = m_messages_sent;
    result.messages_received = m_messages_received;
    result.members_known = m_view.size();
    result.coordinated_tenants = m_coordinator.coordinated();
    result.fraction = m_coordinator.fraction();
    result.is_settled = m_coordinator.is_settled();
    return result;
}

void quota_node::handle_ask(const quota_ask& ask, const endpoint& from, absl::Time now) {
    m_outgoing[from].answers.push_back(m_coordinator.answer(ask, from, now));
}

void quota_node::send_probes(absl::Time now, absl::BitGenRef random) {
    const auto counts = [this](const endpoint& member) { return m_view.is_alive(member); };
    if (now >= m_next_probe && m_reach.samples(now, counts) < wanted_samples) {
        m_next_probe = now + probe_interval;
        if (const endpoint* const other = m_view.random_other(random)) {
            probe(*other);
        }
    }
    if (now >= m_next_rival_probe) {
        m_next_rival_probe = now + rival_probe_interval;
        for (const endpoint& rival : m_coordinator.rivals_to_probe(now)) {
            probe(rival);
        }
    }
}

void quota_node::probe(const endpoint& to) {
    m_outgoing[to].asks.push_back({0, "", 0, 0});
}

} // namespace amaranthladder
