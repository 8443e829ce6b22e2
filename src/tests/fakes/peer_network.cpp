#include "tests/fakes/peer_network.h"

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>

namespace amaranthladder::fakes {

namespace {

constexpr absl::Duration tick_interval = absl::Milliseconds(100);
constexpr absl::Duration rpc_timeout = absl::Milliseconds(1000);
constexpr std::size_t socket_buffer_datagrams = 200;
constexpr std::uint16_t first_port = 1000;

opaque_rules maximum_rules() {
    opaque_rules rules;
    rules.merge = [](const std::string&, const std::string& stored, const std::string& received) {
        return std::max(stored, received);
    };
    rules.is_urgent = [](const opaque_record& record) {
        return record.key.starts_with(peer_network::urgent_key_prefix);
    };
    return rules;
}

} // namespace

peer_network::peer_network(std::size_t count, const peer_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_daemons(count) {}

endpoint peer_network::address_of(std::size_t node) {
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port + node)};
}

std::size_t peer_network::index_of(const endpoint& address) {
    return static_cast<std::size_t>(address.port - first_port);
}

peer_settings peer_network::settings_of(std::size_t node) const {
    peer_settings settings = m_settings;
    settings.mesh = "test";
    settings.address = address_of(node);
    settings.http_address = {"127.0.0.2", settings.address.port};
    settings.data_center = fmt::format("dc{}", node % 2);
    settings.seeds = {address_of(0), address_of(1)};
    return settings;
}

void peer_network::schedule(absl::Duration delay, std::function<void()> action) {
    m_queue.push({m_now + delay, m_next_number++, std::move(action)});
}

void peer_network::run_for(absl::Duration duration) {
    const absl::Time end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().time <= end) {
        const scheduled next = m_queue.top();
        m_queue.pop();
        m_now = next.time;
        ++m_events;
        next.action();
    }
    m_now = end;
}

void peer_network::start(std::size_t node) {
    daemon& started = m_daemons[node];
    const std::uint64_t run = started.run + 1;
    started = daemon();
    started.run = run;
    started.last_tick = m_now;
    started.node = std::make_unique<peer_node>(settings_of(node), maximum_rules(), m_now);
    schedule_tick(node);
}

void peer_network::kill(std::size_t node) {
    m_daemons[node].node.reset();
    m_daemons[node].socket_buffer.clear();
}

void peer_network::freeze(std::size_t node) {
    m_daemons[node].is_frozen = true;
}

void peer_network::resume(std::size_t node) {
    daemon& resumed = m_daemons[node];
    resumed.is_frozen = false;
    if (resumed.node == nullptr) {
        return;
    }
    for (absl::Time missed = resumed.last_tick; replays_missed_ticks && missed < m_now; missed += tick_interval) {
        process_output(node, resumed.node->tick(missed, m_random));
    }
    for (const std::string& bytes : std::exchange(resumed.socket_buffer, {})) {
        arrive(node, bytes);
    }
}

void peer_network::leave(std::size_t node) {
    m_daemons[node].node->leave(m_now);
    process_output(node, m_daemons[node].node->tick(m_now, m_random));
    kill(node);
}

void peer_network::partition() {
    m_is_partitioned = true;
}

void peer_network::heal() {
    m_is_partitioned = false;
}

bool peer_network::is_connected(std::size_t left, std::size_t right) const {
    return !m_is_partitioned || left % 2 == right % 2;
}

bool peer_network::can_answer(std::size_t peer, std::size_t from) const {
    return peer < size() && is_running(peer) && is_connected(peer, from);
}

absl::Duration peer_network::delay() {
    return faults.shortest_delay + absl::Uniform(m_random, 0.0, 1.0) * (faults.longest_delay - faults.shortest_delay);
}

void peer_network::schedule_tick(std::size_t node) {
    schedule(tick_interval, [this, node, run = m_daemons[node].run] {
        daemon& ticking = m_daemons[node];
        if (ticking.run != run || ticking.node == nullptr) {
            return;
        }
        if (!ticking.is_frozen) {
            ticking.last_tick = m_now;
            process_output(node, ticking.node->tick(m_now, m_random));
        }
        schedule_tick(node);
    });
}

void peer_network::process_output(std::size_t node, const node_output& output) {
    for (const outgoing_datagram& datagram : output.datagrams) {
        deliver(datagram, node);
    }
    for (const pull_task& task : output.pulls) {
        pull(node, task);
    }
    for (const repair_task& task : output.repairs) {
        repair(node, task);
    }
    for (const member& changed : output.members) {
        m_daemons[node].deaths += changed.state == member_state::dead ? 1 : 0;
    }
    check_records(node, output.upstreams);
}

void peer_network::deliver(const outgoing_datagram& datagram, std::size_t from) {
    if (datagram.bytes.size() > max_datagram_bytes) {
        m_violations.push_back(fmt::format("datagram of {} bytes", datagram.bytes.size()));
    }
    std::size_t to = index_of(datagram.to);
    if (absl::Bernoulli(m_random, faults.misdelivery)) {
        to = absl::Uniform<std::size_t>(m_random, 0, size());
    }
    const int copies = absl::Bernoulli(m_random, faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (to >= size() || !is_connected(from, to) || absl::Bernoulli(m_random, faults.loss)) {
            continue;
        }
        schedule(delay(), [this, to, bytes = datagram.bytes] { arrive(to, bytes); });
    }
}

void peer_network::arrive(std::size_t node, const std::string& bytes) {
    daemon& receiver = m_daemons[node];
    if (receiver.node == nullptr) {
        return;
    }
    if (receiver.is_frozen) {
        if (receiver.socket_buffer.size() < socket_buffer_datagrams) {
            receiver.socket_buffer.push_back(bytes);
        }
        return;
    }
    process_output(node, receiver.node->receive(bytes, m_now, m_random));
}

void peer_network::pull(std::size_t node, const pull_task& task) {
    if (task.expected_version <= m_daemons[node].version) {
        m_violations.push_back(fmt::format("daemon {} pulls version {} while version {} is current", node,
                                           task.expected_version, m_daemons[node].version));
    }
    const std::size_t peer = index_of(task.peer);
    const bool is_answered = can_answer(peer, node) && !absl::Bernoulli(m_random, faults.loss / 2);
    const std::uint64_t version = is_answered ? m_daemons[peer].version : 0;
    schedule(is_answered ? 2 * delay() : rpc_timeout, [this, node, task, version, run = m_daemons[node].run] {
        daemon& requester = m_daemons[node];
        if (requester.run != run || requester.node == nullptr) {
            return;
        }
        set_version(node, applies_any_pulled_version && version != 0 ? version : std::max(version, requester.version));
        requester.node->finish_pull(
            task, version > task.base.version ? pull_outcome::applied : pull_outcome::unreachable, m_now, m_random);
    });
}

void peer_network::set_version(std::size_t node, std::uint64_t version) {
    daemon& holder = m_daemons[node];
    if (version < holder.version) {
        m_violations.push_back(fmt::format("daemon {} reverts from version {} to {}", node, holder.version, version));
    }
    if (version != holder.version) {
        holder.version_changed_at = m_now;
    }
    holder.version = version;
    holder.node->set_configuration({version, std::to_string(version)});
}

void peer_network::repair(std::size_t node, const repair_task& task) {
    const std::size_t peer = index_of(task.peer);
    const bool is_answered = can_answer(peer, node) && !absl::Bernoulli(m_random, faults.loss / 2);
    schedule(is_answered ? 4 * delay() : rpc_timeout, [this, node, peer, task, is_answered, run = m_daemons[node].run] {
        daemon& requester = m_daemons[node];
        if (requester.run != run || requester.node == nullptr) {
            return;
        }
        const bool is_ok = is_answered && can_answer(peer, node);
        if (is_ok) {
            peer_node& responder = *m_daemons[peer].node;
            const repair_exchange request =
                requester.node->plan_exchange(responder.compare(requester.node->make_offer(task)), m_now);
            requester.node->merge_records(responder.exchange(request, m_now).records, m_now);
        }
        requester.node->finish_repair(task, is_ok, m_now, m_random);
    });
}

void peer_network::check_records(std::size_t node, const std::vector<upstream_record>& changed) {
    for (const upstream_record& record : changed) {
        auto& highest = m_daemons[node].highest[record.id];
        const std::pair order(record.incarnation, record.sequence);
        if (order < highest) {
            m_violations.push_back(fmt::format("daemon {} reverts upstream {} to an older record", node, record.id));
        }
        highest = order;
    }
}

void peer_network::publish(std::size_t node) {
    m_published_at = m_now;
    set_version(node, ++m_newest_version);
}

void peer_network::announce(std::size_t node, const std::string& version) {
    daemon& owner = m_daemons[node];
    upstream_record record;
    record.id = fmt::format("worker-{}", node);
    record.service = fmt::format("service-{}", node % 3);
    record.version = version;
    record.data_center = "dc";
    record.address = {"127.0.0.3", address_of(node).port};
    record.slots = 6;
    record.is_leaving = owner.is_leaving;
    owner.node->announce_upstream(record, m_now);
    owner.upstream_version = version;
}

void peer_network::set_leaving(std::size_t node) {
    m_daemons[node].is_leaving = true;
    announce(node, m_daemons[node].upstream_version.value_or("v1"));
}

void peer_network::withdraw(std::size_t node) {
    m_daemons[node].node->withdraw_upstream(fmt::format("worker-{}", node), m_now);
    m_daemons[node].upstream_version.reset();
}

void peer_network::put_record(std::size_t node, const opaque_record& record) {
    m_daemons[node].node->put_opaque(record, m_now);
}

double peer_network::fraction_holding(const std::string& key) const {
    double running = 0;
    double holding = 0;
    for (std::size_t node = 0; node < size(); ++node) {
        if (is_running(node)) {
            const std::vector<opaque_record> records = m_daemons[node].node->opaque_records();
            running += 1;
            holding += std::ranges::any_of(records, [&](const opaque_record& held) { return held.key == key; }) ? 1 : 0;
        }
    }
    return holding / running;
}

void peer_network::put_opaque(std::size_t node) {
    m_daemons[node].node->put_opaque({"move", fmt::format("{:08}", ++m_opaque_value)}, m_now);
}

double peer_network::fraction_using(std::size_t node) const {
    const std::string id = fmt::format("worker-{}", node);
    double running = 0;
    double listing = 0;
    for (std::size_t other = 0; other < size(); ++other) {
        if (is_running(other)) {
            const auto usable = m_daemons[other].node->usable_upstreams(fmt::format("service-{}", node % 3));
            running += 1;
            listing += std::ranges::find(usable, id, &upstream_record::id) != usable.end() ? 1 : 0;
        }
    }
    return listing / running;
}

std::vector<absl::Duration> peer_network::propagation_delays() const {
    std::vector<absl::Duration> times;
    for (const daemon& holder : m_daemons) {
        if (holder.node != nullptr && !holder.is_frozen) {
            times.push_back(holder.version == m_newest_version ? holder.version_changed_at - m_published_at
                                                               : absl::InfiniteDuration());
        }
    }
    return times;
}

std::string peer_network::disagreement() const {
    std::set<endpoint> running;
    std::map<std::string, std::string> expected;
    for (std::size_t node = 0; node < size(); ++node) {
        const daemon& owner = m_daemons[node];
        if (owner.node != nullptr) {
            running.insert(address_of(node));
            if (owner.upstream_version && !owner.is_leaving) {
                expected[fmt::format("worker-{}", node)] = *owner.upstream_version;
            }
        }
    }
    std::optional<peer_digest> digest;
    for (std::size_t node = 0; node < size(); ++node) {
        if (!is_running(node)) {
            continue;
        }
        const peer_node& checked = *m_daemons[node].node;
        std::set<endpoint> alive;
        for (const member_state state : {member_state::alive, member_state::suspected}) {
            for (const member& known : checked.members(state)) {
                alive.insert(known.address);
            }
        }
        if (alive != running) {
            return fmt::format("daemon {} lists {} daemons as alive, {} are running", node, alive.size(),
                               running.size());
        }
        std::map<std::string, std::string> usable;
        for (const char* const service : {"service-0", "service-1", "service-2"}) {
            for (const upstream_record& record : checked.usable_upstreams(service)) {
                usable[record.id] = record.version;
            }
        }
        if (usable != expected) {
            return fmt::format("daemon {} has {} usable upstreams, {} are expected, or a version differs", node,
                               usable.size(), expected.size());
        }
        if (m_daemons[node].version != m_newest_version) {
            return fmt::format("daemon {} has version {}, the newest is {}", node, m_daemons[node].version,
                               m_newest_version);
        }
        const peer_digest own = checked.digest();
        if (digest && (digest->table_roots[1] != own.table_roots[1] || digest->table_roots[2] != own.table_roots[2])) {
            return fmt::format("tables of daemon {} differ from those of the others", node);
        }
        digest = own;
    }
    return {};
}

} // namespace amaranthladder::fakes
