#include "peers/peer_server.h"

#include "common/error.h"
#include "common/steady_clock.h"
#include "peers/private/peer_rpc.h"
#include "peers/private/udp_socket.h"

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <exception>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

namespace amaranthladder {

namespace {

constexpr absl::Duration tick_interval = absl::Milliseconds(50);
constexpr int max_datagrams_per_tick = 256; // Keeps ticks running under a flood of datagrams.
/// Attempts to find a port that is free for both UDP and TCP; sufficient while half of all ports are taken for one of
/// them.
constexpr int max_bind_attempts = 32;

} // namespace

/// Only the UDP thread calls tick() and receive() of the node, so changes are reported in the order in which they
/// happened. Other threads modify the node under the mutex and wake the UDP thread.
class peer_server::implementation {
public:
    implementation(const peer_settings& settings, opaque_rules rules, peer_callbacks callbacks)
        : m_socket(settings.address), m_settings(with_address(settings, m_socket.address())),
          m_callbacks(std::move(callbacks)), m_node(m_settings, std::move(rules), m_clock.now()),
          m_rpc(m_settings, handlers(), traffic_callback()) {}

    ~implementation() {
        stop(false);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start() {
        m_rpc.start();
        m_is_running = true;
        m_udp_thread = std::thread([this] { run_udp_loop(); });
        for (int worker = 0; worker < m_settings.concurrent_pulls + 1; ++worker) {
            m_workers.emplace_back([this] { run_worker(); });
        }
    }

    void stop(bool is_leaving) {
        if (!m_is_running.exchange(false)) {
            return;
        }
        m_socket.wake();
        m_udp_thread.join();
        {
            const absl::MutexLock lock(&m_task_mutex);
            m_is_stopping = true;
        }
        m_rpc.stop();
        for (std::thread& worker : m_workers) {
            worker.join();
        }
        if (is_leaving) {
            const absl::MutexLock lock(&m_mutex);
            m_node.leave(m_clock.now());
            send(m_node.tick(m_clock.now(), m_random));
        }
    }

    const endpoint& address() const {
        return m_settings.address;
    }

    /// Calls @p change(node, time) and wakes the UDP thread to send the resulting datagrams.
    template <typename Change> auto change(Change&& change) {
        const absl::MutexLock lock(&m_mutex);
        m_socket.wake();
        return change(m_node, m_clock.now());
    }

    template <typename Query> auto query(Query&& query) const {
        const absl::MutexLock lock(&m_mutex);
        return query(m_node);
    }

    absl::Duration time_since_follower_contact() const {
        return query([this](const peer_node& node) { return m_clock.now() - node.last_follower_contact(); });
    }

    peer_counters counters() const {
        peer_counters out;
        {
            const absl::MutexLock lock(&m_counter_mutex);
            out = m_counters;
        }
        out.drops = query([](const peer_node& node) { return node.drops(); });
        return out;
    }

private:
    using peer_task = std::variant<pull_task, repair_task>;

    static peer_settings with_address(peer_settings settings, const endpoint& address) {
        settings.address = address;
        return settings;
    }

    rpc_handlers handlers() {
        rpc_handlers out;
        out.pull = [this](const configuration_digest& base) { return m_callbacks.snapshot_bytes(base); };
        out.compare = [this](const repair_offer& offered) {
            return query([&](const peer_node& node) { return node.compare(offered); });
        };
        out.exchange = [this](const repair_exchange& request) {
            return change([&](peer_node& node, absl::Time now) { return node.exchange(request, now); });
        };
        return out;
    }

    rpc_traffic_callback traffic_callback() {
        return [this](rpc_kind kind, std::size_t sent, std::size_t received) {
            const absl::MutexLock lock(&m_counter_mutex);
            count(kind == rpc_kind::pull ? m_counters.pulls : m_counters.repairs, sent, received);
        };
    }

    static void count(traffic_counter& counter, std::size_t sent, std::size_t received) {
        counter.sent_messages += sent != 0 ? 1 : 0;
        counter.sent_bytes += sent;
        counter.received_messages += received != 0 ? 1 : 0;
        counter.received_bytes += received;
    }

    void run_udp_loop() {
        while (m_is_running) {
            m_socket.wait(tick_interval);
            int turn = 0;
            while (turn < max_datagrams_per_tick && run_guarded("datagram", [this] { return receive_next(); })) {
                ++turn;
            }
            run_guarded("tick", [this] {
                process_output(tick());
                return true;
            });
        }
    }

    /// Runs @p task; an exception that nothing else handles is reported and does not end the thread.
    /// @return the result of @p task; true after an exception.
    template <typename Task> bool run_guarded(const char* name, Task&& task) {
        try {
            return task();
        } catch (const std::exception& problem) {
            if (m_callbacks.on_failure) {
                m_callbacks.on_failure(name, problem.what());
            }
            return true;
        }
    }

    /// @return false if no datagram was waiting.
    bool receive_next() {
        const std::optional<std::string> bytes = m_socket.receive();
        if (!bytes) {
            return false;
        }
        const node_output output = receive(*bytes);
        if (output.received) {
            const absl::MutexLock lock(&m_counter_mutex);
            count(m_counters.datagrams[static_cast<std::size_t>(*output.received)], 0, bytes->size());
        }
        process_output(output);
        return true;
    }

    node_output receive(const std::string& bytes) {
        const absl::MutexLock lock(&m_mutex);
        return m_node.receive(bytes, m_clock.now(), m_random);
    }

    node_output tick() {
        const absl::MutexLock lock(&m_mutex);
        return m_node.tick(m_clock.now(), m_random);
    }

    void process_output(const node_output& output) {
        send(output);
        if (!output.pulls.empty() || !output.repairs.empty()) {
            const absl::MutexLock lock(&m_task_mutex);
            m_tasks.insert(m_tasks.end(), output.pulls.begin(), output.pulls.end());
            m_tasks.insert(m_tasks.end(), output.repairs.begin(), output.repairs.end());
        }
        const bool is_changed =
            !output.members.empty() || !output.upstreams.empty() || !output.opaque.empty() || !output.reports.empty();
        if (is_changed && m_callbacks.on_change) {
            m_callbacks.on_change(output);
        }
    }

    void send(const node_output& output) {
        for (const outgoing_datagram& datagram : output.datagrams) {
            if (m_socket.send(datagram.to, datagram.bytes)) {
                const absl::MutexLock lock(&m_counter_mutex);
                count(m_counters.datagrams[static_cast<std::size_t>(datagram.kind)], datagram.bytes.size(), 0);
            }
        }
    }

    void run_worker() {
        while (const std::optional<peer_task> next = next_task()) {
            run_guarded("exchange", [&] {
                if (const auto* const pulled = std::get_if<pull_task>(&*next)) {
                    pull(*pulled);
                } else {
                    repair(std::get<repair_task>(*next));
                }
                return true;
            });
        }
    }

    std::optional<peer_task> next_task() {
        const auto is_ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_task_mutex) {
            return m_is_stopping || !m_tasks.empty();
        };
        const absl::MutexLock lock(&m_task_mutex, absl::Condition(&is_ready));
        if (m_is_stopping) {
            return std::nullopt;
        }
        peer_task next = std::move(m_tasks.front());
        m_tasks.pop_front();
        return next;
    }

    void pull(const pull_task& task) {
        const pull_outcome outcome = try_pull(task);
        if (outcome != pull_outcome::applied) {
            const absl::MutexLock lock(&m_counter_mutex);
            ++m_counters.failed_pulls;
        }
        change([&](peer_node& node, absl::Time now) { node.finish_pull(task, outcome, now, m_random); });
    }

    pull_outcome try_pull(const pull_task& task) {
        std::string bytes;
        try {
            bytes = rpc_client(m_settings, task.peer, rpc_kind::pull, traffic_callback()).pull(task.base);
        } catch (const std::exception&) {
            return pull_outcome::unreachable;
        }
        if (bytes.empty()) {
            return pull_outcome::unreachable;
        }
        if (task.base.version == 0) {
            exchange_opaque_records(task.peer);
        }
        try {
            return m_callbacks.apply_snapshot(bytes);
        } catch (const std::exception&) {
            return pull_outcome::bad_content;
        }
    }

    /// Gets the records that a peer knows beside its configuration, so that a daemon that has just started does not
    /// apply its first configuration without them. A failure costs at most the time-outs of the calls.
    void exchange_opaque_records(const endpoint& peer) {
        repair_task task;
        task.peer = peer;
        task.is_differing[static_cast<std::size_t>(table_id::opaque)] = true;
        try_repair(task);
    }

    void repair(const repair_task& task) {
        const bool is_ok = try_repair(task);
        change([&](peer_node& node, absl::Time now) { node.finish_repair(task, is_ok, now, m_random); });
    }

    /// @return false if the peer is out of reach or has sent something malformed; the counter shows it, another repair
    ///         follows.
    bool try_repair(const repair_task& task) {
        try {
            run_repair(task);
            return true;
        } catch (const std::exception&) {
            const absl::MutexLock lock(&m_counter_mutex);
            ++m_counters.failed_repairs;
            return false;
        }
    }

    void run_repair(const repair_task& task) {
        rpc_client client(m_settings, task.peer, rpc_kind::repair, traffic_callback());
        const repair_difference difference =
            client.compare(query([&](const peer_node& node) { return node.make_offer(task); }));
        repair_exchange request =
            change([&](peer_node& node, absl::Time now) { return node.plan_exchange(difference, now); });
        while (!request.wanted.empty() || !request.records.empty()) {
            const repair_records answer = client.exchange(request);
            change([&](peer_node& node, absl::Time now) { return node.merge_records(answer.records, now); });
            if (answer.answered == 0 || answer.answered > request.wanted.size()) {
                return;
            }
            request.records.clear();
            request.wanted.erase(request.wanted.begin(),
                                 request.wanted.begin() + static_cast<std::ptrdiff_t>(answer.answered));
        }
    }

    steady_clock m_clock;
    udp_socket m_socket;
    peer_settings m_settings;
    peer_callbacks m_callbacks;
    mutable absl::Mutex m_mutex;
    absl::BitGen m_random ABSL_GUARDED_BY(m_mutex);
    peer_node m_node ABSL_GUARDED_BY(m_mutex);
    mutable absl::Mutex m_counter_mutex;
    peer_counters m_counters ABSL_GUARDED_BY(m_counter_mutex);
    absl::Mutex m_task_mutex;
    std::deque<peer_task> m_tasks ABSL_GUARDED_BY(m_task_mutex);
    bool m_is_stopping ABSL_GUARDED_BY(m_task_mutex) = false;
    std::atomic<bool> m_is_running = false;
    std::thread m_udp_thread;
    std::vector<std::thread> m_workers;
    rpc_server m_rpc;
};

peer_server::peer_server(const peer_settings& settings, const opaque_rules& rules, const peer_callbacks& callbacks) {
    for (int tries = 1; m_implementation == nullptr; ++tries) {
        try {
            m_implementation = std::make_unique<implementation>(settings, rules, callbacks);
        } catch (const error&) {
            // Port 0 selects a free UDP port, but another program may use the same TCP port.
            if (settings.address.port != 0 || tries >= max_bind_attempts) {
                throw;
            }
        }
    }
}

peer_server::~peer_server() = default;

void peer_server::start() {
    m_implementation->start();
}

void peer_server::stop() {
    m_implementation->stop(true);
}

endpoint peer_server::address() const {
    return m_implementation->address();
}

upstream_record peer_server::announce_upstream(const upstream_record& record) {
    return m_implementation->change(
        [&](peer_node& node, absl::Time now) { return node.announce_upstream(record, now); });
}

void peer_server::withdraw_upstream(const std::string& id) {
    m_implementation->change([&](peer_node& node, absl::Time now) { node.withdraw_upstream(id, now); });
}

bool peer_server::put_opaque(const opaque_record& record) {
    return m_implementation->change([&](peer_node& node, absl::Time now) { return node.put_opaque(record, now); });
}

void peer_server::send_reports(const std::vector<endpoint>& to, const std::vector<opaque_record>& records) {
    m_implementation->change([&](peer_node& node, absl::Time now) { node.send_reports(to, records, now); });
}

void peer_server::add_contacts(const std::vector<endpoint>& contacts) {
    m_implementation->change([&](peer_node& node, absl::Time now) { node.add_contacts(contacts, now); });
}

void peer_server::set_configuration(const configuration_digest& current) {
    m_implementation->change([&](peer_node& node, absl::Time /*now*/) { node.set_configuration(current); });
}

void peer_server::set_follows_store(bool follows) {
    m_implementation->change([&](peer_node& node, absl::Time /*now*/) { node.set_follows_store(follows); });
}

void peer_server::set_store_followers(std::vector<endpoint> followers) {
    m_implementation->change(
        [&](peer_node& node, absl::Time /*now*/) { node.set_store_followers(std::move(followers)); });
}

std::vector<upstream_record> peer_server::usable_upstreams(const std::string& service) const {
    return m_implementation->query([&](const peer_node& node) { return node.usable_upstreams(service); });
}

bool peer_server::is_own_upstream(const std::string& id) const {
    return m_implementation->query([&](const peer_node& node) { return node.is_own_upstream(id); });
}

std::vector<upstream_record> peer_server::upstreams() const {
    return m_implementation->query([](const peer_node& node) { return node.upstreams(); });
}

std::vector<opaque_record> peer_server::opaque_records() const {
    return m_implementation->query([](const peer_node& node) { return node.opaque_records(); });
}

std::vector<member> peer_server::members() const {
    return m_implementation->query([](const peer_node& node) { return node.members(); });
}

std::vector<member> peer_server::members(member_state state) const {
    return m_implementation->query([&](const peer_node& node) { return node.members(state); });
}

std::uint64_t peer_server::newest_heard_version() const {
    return m_implementation->query([](const peer_node& node) { return node.newest_heard_version(); });
}

absl::Duration peer_server::time_since_follower_contact() const {
    return m_implementation->time_since_follower_contact();
}

bool peer_server::is_joined() const {
    return m_implementation->query([](const peer_node& node) { return node.is_joined(); });
}

peer_counters peer_server::counters() const {
    return m_implementation->counters();
}

} // namespace amaranthladder
