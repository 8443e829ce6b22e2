#include "daemon/mesh_daemon.h"

#include "common/error.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/active_configuration.h"
#include "daemon/announced_upstreams.h"
#include "daemon/cold_state_checks.h"
#include "daemon/collector_selector.h"
#include "daemon/component_settings.h"
#include "daemon/control_server.h"
#include "daemon/evacuation_service.h"
#include "daemon/follower_selector.h"
#include "daemon/move_service.h"
#include "daemon/opaque_record_rules.h"
#include "daemon/order_service.h"
#include "daemon/quota_service.h"
#include "daemon/report_collector.h"
#include "daemon/status_text.h"
#include "daemon/store_follower.h"
#include "daemon/upstream_departure.h"
#include "daemon/watcher_lease_record.h"
#include "http/request_proxy.h"
#include "peers/peer_server.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthladder {

namespace {

/// Period of the control loop, which expires announcements, advances moves and updates the router.
constexpr absl::Duration control_interval = absl::Milliseconds(50);
/// Time from announcing that this daemon's upstreams are leaving until the data path stops accepting requests. Gossip
/// reaches all daemons in about this time; until then they still send requests here.
constexpr absl::Duration leave_propagation_time = absl::Seconds(3);

/// Time before an order's deadline that is reserved for the last requests of the old version and for the report.
constexpr absl::Duration order_deadline_margin = absl::Milliseconds(2500);
/// Time from the start of a drain until the platform has redirected the callers: it checks readiness once a second and
/// redirects after two failed checks.
constexpr absl::Duration readiness_propagation_time = absl::Milliseconds(2200);
/// Time for which a draining daemon still offers its upstream to other daemons. Without it, the upstream's slots would
/// be unused until the callers have been redirected. The rest of readiness_propagation_time is for the last requests.
constexpr absl::Duration owner_drain_delay = absl::Milliseconds(1700);

} // namespace

class mesh_daemon::implementation {
public:
    implementation(const daemon_settings& settings, std::optional<platform_interface> platform)
        : m_settings(settings), m_platform(std::move(platform)), m_log(make_log_options(settings)),
          m_started_at(m_clock.now()),
          m_announced_upstreams(settings.daemon.data_center, settings.requests.announcement_timeout),
          m_report_collector(settings.daemon.worker, m_started_at),
          m_follower_selector(settings.listen.peers, settings.daemon.data_center,
                              m_platform ? m_platform->limits.store_reads_per_second : 0,
                              m_platform ? m_platform->limits.max_convergence_time : absl::ZeroDuration()),
          m_orders(order_deadline_margin), m_moves(settings.daemon.worker, m_clock),
          m_configuration([this](const std::shared_ptr<const snapshot>& applied) { on_applied(applied); }),
          m_proxy(make_proxy_options(settings, m_platform ? &*m_platform : nullptr),
                  make_router_settings(settings, m_platform.has_value()), make_retry_budget(settings), m_clock, m_log,
                  make_upstream_observer()),
          m_peers(make_peer_settings(settings, m_proxy.owner_address()), make_opaque_rules(m_clock),
                  make_peer_callbacks()),
          m_evacuations(make_evacuation_callbacks(), m_log),
          m_quotas(m_platform ? m_platform->limits.quota : quota_limits(), m_proxy, m_peers, m_log) {
        m_peers.start();
        if (m_platform) {
            m_peers.add_contacts(m_platform->seeds);
            serve_platform();
            m_cold_checks.emplace(
                m_platform->query_upstream_id,
                [this](const std::string& id, const health_signals& signals, absl::Time asked_at) {
                    m_proxy.report_health_check(id, signals, asked_at);
                },
                m_clock, m_log);
            m_store_client = m_platform->connect_store(make_intent_store_callbacks(), m_clock, m_log);
        } else {
            const std::string holder = fmt::format("{}-{}", settings.daemon.worker, absl::ToUnixMillis(m_started_at));
            m_store_client =
                std::make_unique<store_follower>(settings.store, settings.daemon, holder,
                                                 make_store_follower_callbacks(), m_configuration, m_clock, m_log);
        }
        m_control_server = std::make_unique<control_server>(settings.listen.control, make_control_handlers());
        m_control_thread = std::thread([this] { run_control_loop(); });
        m_log.info(fmt::format("daemon-started mesh={} worker={} data_center={} requests={} control={} peers={}",
                               settings.daemon.mesh, settings.daemon.worker, settings.daemon.data_center,
                               to_string(m_proxy.address()), to_string(m_control_server->address()),
                               to_string(m_peers.address())));
    }

    ~implementation() {
        m_is_stopped = true;
        m_control_server.reset();
        m_control_thread.join();
        m_store_client.reset();
        m_peers.stop();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    daemon_addresses addresses() const {
        return {m_proxy.address(), m_control_server->address(), m_peers.address()};
    }

    void run() {
        m_proxy.run();
    }

    void stop() {
        m_proxy.stop();
    }

    void drain() {
        if (m_is_draining.exchange(true)) {
            return;
        }
        m_log.info("drain-started");
        const absl::MutexLock lock(&m_mutex);
        if (m_platform) {
            m_leave_at = m_clock.now() + owner_drain_delay;
            m_proxy.drain(readiness_propagation_time);
        } else {
            m_drain_at = m_clock.now() +
                         (m_announced_upstreams.upstreams().empty() ? absl::ZeroDuration() : leave_propagation_time);
            announce_leave();
        }
    }

    void log_reload() {
        m_log.info("settings-changed effect=next-start");
    }

private:
    /// Announces to the other daemons that the upstreams beside this one are leaving.
    void announce_leave() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_announced_upstreams.set_all_leaving();
        for (const std::string& id : m_announced_upstreams.ids()) {
            publish_upstream(id);
        }
    }

    upstream_observer make_upstream_observer() {
        return {[this](const upstream_call_result& call) { m_moves.observe(call); },
                [this](const std::string& id) { handle_leaving(id); },
                [this](const std::string& id, const endpoint& address) {
                    if (m_cold_checks) {
                        m_cold_checks->start(id, address);
                    }
                }};
    }

    peer_callbacks make_peer_callbacks() {
        peer_callbacks callbacks;
        callbacks.snapshot_bytes = [this](const configuration_digest& held) {
            return m_configuration.update_since(held);
        };
        callbacks.apply_snapshot = [this](const std::string& bytes) {
            if (m_configuration.current() == nullptr) {
                apply_known_restrictions();
            }
            return m_configuration.apply_update(bytes);
        };
        callbacks.on_change = [this](const node_output& changes) { on_peer_change(changes); };
        callbacks.on_failure = [this](const std::string& task, const std::string& reason) {
            log_failure("peers-" + task, reason);
        };
        return callbacks;
    }

    evacuation_callbacks make_evacuation_callbacks() {
        evacuation_callbacks callbacks;
        callbacks.send = [this](const opaque_record& record) { m_peers.put_opaque(record); };
        callbacks.apply = [this](const std::set<std::string>& names) { m_proxy.set_evacuated_data_centers(names); };
        callbacks.host_count = [this](const std::string& data_center) {
            const std::vector<member> members = m_peers.members();
            return static_cast<std::size_t>(std::ranges::count(members, data_center, &member::data_center));
        };
        return callbacks;
    }

    control_handlers make_control_handlers() {
        control_handlers handlers;
        handlers.announce = [this](const upstream_announcement& announcement) { handle_announcement(announcement); };
        handlers.status = [this] { return status_json(status()); };
        handlers.metrics = [this] { return metrics_text(status()); };
        handlers.explain_request = [this](const std::string& request) { return explain_request(request); };
        handlers.explain_route = [this](const std::string& route_name) { return explain_route(route_name); };
        handlers.explain_move = [this](const std::string& move_name) { return explain_move(move_name); };
        return handlers;
    }

    store_follower_callbacks make_store_follower_callbacks() {
        store_follower_callbacks callbacks;
        callbacks.is_watcher_lease_taken = [this](int lease_number) {
            return is_watcher_lease_taken(watcher_lease_record_key(m_settings.daemon.data_center, lease_number),
                                          m_peers.opaque_records(), m_peers.members(), m_peers.address());
        };
        callbacks.candidate_count = [this] {
            int count = 0;
            for (const auto& peer : m_peers.members(member_state::alive)) {
                count += peer.data_center == m_settings.daemon.data_center ? 1 : 0;
            }
            return count;
        };
        callbacks.has_peers = [this] { return m_peers.members(member_state::alive).size() > 1; };
        callbacks.new_month_records = [this] { return new_month_records(); };
        callbacks.announce_watcher_lease = [this](int lease_number, bool is_held) {
            const watcher_lease_record changed{static_cast<std::uint64_t>(absl::ToUnixMillis(m_clock.now())),
                                               is_held ? std::optional(m_peers.address()) : std::nullopt};
            m_peers.put_opaque(
                {watcher_lease_record_key(m_settings.daemon.data_center, lease_number), changed.encode()});
        };
        return callbacks;
    }

    intent_store_callbacks make_intent_store_callbacks() {
        intent_store_callbacks callbacks;
        callbacks.self = m_peers.address();
        callbacks.apply = [this](const std::shared_ptr<const snapshot>& offered) {
            if (m_configuration.apply(offered) != pull_outcome::applied) {
                const auto refusal = m_configuration.last_refusal();
                m_log.error(fmt::format("configuration-refused version={} reason=\"{}\"", offered->version(),
                                        refusal ? refusal->detail : ""));
            }
        };
        callbacks.accept_order = [this](const move_order& order) { accept_order(order); };
        callbacks.accept_evacuation = [this](const std::string& data_center, const evacuation_record& read) {
            m_evacuations.accept(data_center, read);
        };
        callbacks.accept_evacuation_list = [this](const std::set<std::string>& data_centers, revision as_of) {
            m_evacuations.accept_list(data_centers, as_of);
        };
        callbacks.due_reports = [this] { return m_orders.due_reports(m_clock.now()); };
        callbacks.on_report_written = [this](const move_order& order) { m_orders.on_report_written(order); };
        callbacks.on_store_restored = [this] { m_orders.on_reports_lost(address_rank(), m_clock.now()); };
        callbacks.add_contacts = [this](const std::vector<endpoint>& contacts) { m_peers.add_contacts(contacts); };
        callbacks.has_peers = [this] { return m_peers.members(member_state::alive).size() > 1; };
        callbacks.may_delay_watch = [this] { return may_delay_watch(); };
        callbacks.must_follow_store = [this] { return must_follow_store(); };
        callbacks.set_follows_store = [this](bool follows) { m_peers.set_follows_store(follows); };
        callbacks.announce_era = [this](std::uint64_t era) {
            m_peers.put_opaque({std::string(store_era_key), std::to_string(era)});
        };
        callbacks.heard_era = [this] { return m_heard_era.load(); };
        callbacks.saved_upstream = [this] { return saved_upstream(); };
        callbacks.restore_upstream = [this](const std::string& saved) { restore_upstream(saved); };
        return callbacks;
    }

    /// @return true if this daemon must follow the store itself.
    bool must_follow_store() {
        const auto configuration = m_configuration.current();
        const std::uint64_t held = configuration ? configuration->version() : 0;
        const std::uint64_t heard = m_peers.newest_heard_version();
        const absl::Duration silence = m_peers.time_since_follower_contact();
        const absl::MutexLock lock(&m_mutex);
        m_follower_selector.record_versions(held, heard, m_clock.now());
        const follow_reason reason = m_follower_selector.reason(silence, m_clock.now());
        if (reason != m_follow_reason) {
            m_log.info(fmt::format("store-follow follows={} reason={} followers={} silence_ms={} held={} heard={}",
                                   reason != follow_reason::others_follow, name(reason),
                                   m_follower_selector.followers().size(),
                                   absl::ToInt64Milliseconds(std::min(silence, absl::Hours(1))), held, heard));
            m_follow_reason = reason;
        }
        return reason != follow_reason::others_follow;
    }

    /// @return true if enough other daemons watch the store without a delay after a change.
    bool may_delay_watch() {
        const int rank = address_rank();
        const absl::MutexLock lock(&m_mutex);
        return m_follower_selector.may_delay_watch(rank);
    }

    /// Updates the selection of the daemons that follow the store from the alive members.
    void update_follower_selection(const std::vector<member>& alive_members) {
        std::vector<endpoint> followers;
        {
            const absl::MutexLock lock(&m_mutex);
            if (!m_follower_selector.update_members(alive_members)) {
                return;
            }
            followers = m_follower_selector.followers();
        }
        m_peers.set_store_followers(std::move(followers));
    }

    /// @return for the next run of this daemon: the announcement of the upstream beside it, or the departure of the one
    ///         that left last; empty if there is neither.
    std::string saved_upstream() {
        const absl::MutexLock lock(&m_mutex);
        if (m_announced_upstreams.upstreams().size() == 1) {
            const announced_upstreams::upstream& known = m_announced_upstreams.upstreams().begin()->second;
            if (!known.announcement.is_leaving && !known.has_said_leaving) {
                return to_json(known.announcement);
            }
        }
        const std::optional<upstream_departure> departure = m_announced_upstreams.departure(m_last_departed);
        return departure ? fmt::format("{}{} {}", departure_key_prefix, m_last_departed, departure->encode()) : "";
    }

    /// Restores what the previous run of this daemon saved.
    void restore_upstream(const std::string& saved) {
        try {
            if (saved.starts_with(departure_key_prefix)) {
                restore_departure(std::string_view(saved).substr(departure_key_prefix.size()));
            } else {
                restore_announcement(saved);
            }
        } catch (const error& problem) {
            m_log.warning(
                fmt::format("upstream-note-refused code={} reason=\"{}\"", name(problem.code()), problem.what()));
        }
    }

    /// Restores the departure of an upstream, which no other daemon may remember: they may have been restarted as well.
    /// @param saved the upstream's id and the departure.
    void restore_departure(std::string_view saved) {
        const std::size_t separator = std::min(saved.find(' '), saved.size());
        const std::string id(saved.substr(0, separator));
        const upstream_departure departure =
            upstream_departure::decode(saved.substr(std::min(separator + 1, saved.size())));
        m_log.info(fmt::format("departure-recalled upstream={} kind={}", id, name(departure.kind)));
        handle_departure(id, departure);
        const absl::MutexLock lock(&m_mutex);
        publish_departure(id);
    }

    /// Restores an upstream, if its address still answers with the same id. This avoids waiting for its next
    /// announcement.
    void restore_announcement(const std::string& saved) {
        const upstream_announcement saved_announcement = parse_announcement(saved);
        const absl::Time asked_at = m_clock.now();
        const upstream_identity answered = m_platform->query_upstream_id(saved_announcement.address);
        const bool is_same = answered.id == saved_announcement.id;
        m_log.info(fmt::format("upstream-recalled upstream={} is_used={} answered={} status={} failure={} after_ms={}",
                               saved_announcement.id, is_same, answered.id, answered.status, name(answered.failure),
                               absl::ToInt64Milliseconds(m_clock.now() - asked_at)));
        if (is_same) {
            health_signals signals = answered.signals;
            if (!process_announcement(saved_announcement)) {
                signals.remaining_cold.reset(); // A heartbeat may have said something newer; none says a limit.
            }
            m_proxy.report_health_check(saved_announcement.id, signals, asked_at);
        }
    }

    void serve_platform() {
        const auto answer = [this](const control_request& request) {
            control_reply reply = m_platform->answer(request, m_control_actions);
            if (reply.status >= 400 && !request.body.empty()) {
                m_log.warning(fmt::format("announcement-refused target={} status={} reason={}", request.target,
                                          reply.status, reply.body));
            }
            return reply;
        };
        m_control_actions.is_ready = [this] { return !m_is_draining && m_configuration.current() != nullptr; };
        m_control_actions.announce = [this](const upstream_announcement& announcement) {
            handle_announcement(announcement);
        };
        m_control_actions.withdraw = [this](const std::string& id) { handle_withdrawal(id); };
        for (const endpoint& address : {m_settings.listen.readiness, m_settings.listen.announcements}) {
            if (!address.address.empty()) {
                m_proxy.serve_control(address, answer);
            }
        }
    }

    /// Merges an order from the store or from a peer, and sends the result to the peers if it changed.
    void accept_order(const move_order& order) {
        const std::optional<move_order> changed = m_orders.merge(order);
        if (!changed) {
            log_unchanged_order(order);
            return;
        }
        m_log.info(fmt::format("order service={} to={} introduced_in={} deadline_in_ms={} reported={}",
                               changed->service, changed->to_version, revision_text(changed->introduced_in),
                               absl::ToInt64Milliseconds(changed->deadline - m_clock.now()), name(changed->reported)));
        m_peers.put_opaque({std::string(order_key_prefix) + changed->service, changed->encode()});
        update_moves();
    }

    /// Logs an order that was ignored because another one is held. Peers repeat the orders that they hold.
    void log_unchanged_order(const move_order& order) {
        const std::optional<move_order> held = m_orders.find(order.service);
        if (held && held->to_version != order.to_version) {
            m_log.info(fmt::format("order-ignored service={} to={} introduced_in={} held_to={} held_introduced_in={} "
                                   "held_reported={}",
                                   order.service, order.to_version, revision_text(order.introduced_in),
                                   held->to_version, revision_text(held->introduced_in), name(held->reported)));
        }
    }

    void update_moves() {
        std::map<std::string, move> moves = m_orders.moves();
        if (const auto configuration = m_configuration.current()) {
            moves.insert(configuration->state().moves.begin(), configuration->state().moves.end());
        }
        m_moves.set_moves(moves);
    }

    void handle_withdrawal(const std::string& id) {
        const absl::MutexLock lock(&m_mutex);
        if (m_announced_upstreams.withdraw(id, m_clock.now())) {
            remove_upstream(id, upstream_removal::withdrawn);
        }
        publish_departure(id);
    }

    /// Tells the other daemons what is known of the leaving of an upstream, so that they tell this one after a restart.
    void publish_departure(const std::string& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        const std::optional<upstream_departure> departure = m_announced_upstreams.departure(id);
        if (departure) {
            m_last_departed = id;
        }
        if (departure && m_peers.put_opaque({std::string(departure_key_prefix) + id, departure->encode()})) {
            m_log.info(fmt::format("departure upstream={} kind={} sequence={} started_ms={}", id, name(departure->kind),
                                   departure->sequence, absl::ToUnixMillis(departure->started_at)));
        }
    }

    void handle_departure(const std::string& id, const upstream_departure& heard) {
        const absl::MutexLock lock(&m_mutex);
        switch (m_announced_upstreams.hear_departure(id, heard, m_clock.now())) {
        case announced_upstreams::departure_effect::removed:
            remove_upstream(id, upstream_removal::departed);
            break;
        case announced_upstreams::departure_effect::record_changed:
            publish_upstream(id);
            break;
        case announced_upstreams::departure_effect::none:
            break;
        }
        m_are_upstreams_changed = true;
    }

    /// Removes an upstream beside this daemon from the mesh and the data path.
    void remove_upstream(const std::string& id, upstream_removal reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_peers.withdraw_upstream(id);
        stop_serving(id, reason);
        m_log.warning(fmt::format("upstream-gone upstream={} reason={}", id, name(reason)));
    }

    /// Removes an upstream beside this daemon from the data path.
    void stop_serving(const std::string& id, upstream_removal reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_proxy.remove_local_upstream(id, reason);
        m_refused_upstreams.erase(id);
        m_superseded_upstreams.erase(id);
        m_are_upstreams_changed = true;
    }

    std::vector<month_record> new_month_records() {
        const std::uint64_t bytes = control_bytes(m_peers.counters());
        const std::vector<move_status> moves = m_moves.statuses();
        const absl::MutexLock lock(&m_mutex);
        return m_report_collector.collect(moves, bytes, m_clock.now());
    }

    void on_applied(const std::shared_ptr<const snapshot>& applied) {
        // Aliasing pointer: keeps the snapshot alive.
        m_proxy.set_configuration({applied, &applied->state()});
        update_moves();
        m_peers.set_configuration({applied->version(), applied->hash()});
        const absl::Time now = m_clock.now();
        // Configurations of a platform carry no publication time.
        const bool has_publish_time = applied->publish_time() != absl::UnixEpoch();
        m_log.info(fmt::format("configuration-applied version={} hash={} publish_id={} after_ms={}", applied->version(),
                               applied->hash().substr(0, 16), applied->publish_id(),
                               has_publish_time ? absl::StrCat(absl::ToInt64Milliseconds(now - applied->publish_time()))
                                                : "unknown"));
        const absl::MutexLock lock(&m_mutex);
        m_applied_at = now;
        if (has_publish_time) {
            m_report_collector.record_convergence(now - applied->publish_time());
        }
        m_are_upstreams_changed = true;
    }

    void on_peer_change(const node_output& changes) {
        for (const auto* records : {&changes.opaque, &changes.reports}) {
            for (const opaque_record& record : *records) {
                handle_peer_record(record);
            }
        }
        for (const auto& peer : changes.members) {
            m_log.info(fmt::format("member address={} data_center={} state={}", to_string(peer.address),
                                   peer.data_center, name(peer.state)));
        }
        for (const auto& upstream : changes.upstreams) {
            m_log.info(fmt::format("upstream id={} service={} version={} owner={} leaving={} withdrawn={}", upstream.id,
                                   upstream.service, upstream.version, to_string(upstream.owner), upstream.is_leaving,
                                   upstream.is_withdrawn));
        }
        if (!changes.upstreams.empty() || !changes.members.empty()) {
            const absl::MutexLock lock(&m_mutex);
            m_are_upstreams_changed = true;
            for (const auto& upstream : changes.upstreams) {
                if (!upstream.is_withdrawn && upstream.owner != m_proxy.owner_address() &&
                    m_announced_upstreams.upstreams().contains(upstream.id) && !m_peers.is_own_upstream(upstream.id)) {
                    forget_upstream(upstream.id, fmt::format("announced at {}", to_string(upstream.owner)));
                }
            }
        }
    }

    /// Applies the records that forbid requests and that came before the first configuration. They may not have been
    /// reported by on_peer_change yet.
    void apply_known_restrictions() {
        for (const opaque_record& record : m_peers.opaque_records()) {
            if (record.key.starts_with(evacuation_key_prefix) || record.key.starts_with(departure_key_prefix)) {
                handle_peer_record(record);
            }
        }
    }

    void handle_peer_record(const opaque_record& record) {
        if (record.key.starts_with(watcher_lease_record_prefix) || m_quotas.handle_record(record)) {
            return;
        }
        try {
            if (record.key == store_era_key) {
                m_heard_era = parse_era(record.bytes);
                return;
            }
            if (record.key.starts_with(evacuation_key_prefix)) {
                m_evacuations.merge_remote(record);
                return;
            }
            if (record.key.starts_with(departure_key_prefix)) {
                handle_departure(record.key.substr(departure_key_prefix.size()),
                                 upstream_departure::decode(record.bytes));
                return;
            }
            if (record.key.starts_with(order_key_prefix)) {
                accept_order(move_order::decode(record.bytes));
                return;
            }
            if (record.key.starts_with(idle_record_prefix)) {
                const move_order order = move_order::decode(record.bytes);
                m_orders.mark_idle(order.service, order.introduced_in, record.key.substr(record.key.rfind('/') + 1));
                return;
            }
            m_moves.merge_remote(move_record::decode(record.bytes));
        } catch (const error& problem) {
            m_log.warning(fmt::format("move-record-refused key={} reason=\"{}\"", record.key, problem.what()));
        }
    }

    void handle_announcement(const upstream_announcement& announcement) {
        if (process_announcement(announcement)) {
            m_proxy.report_heartbeat(announcement.id, announcement.remaining_warm_up);
        }
    }

    /// @return true if the announcement is newer than what was known.
    bool process_announcement(const upstream_announcement& announcement) {
        const absl::MutexLock lock(&m_mutex);
        const announced_upstreams::change changed = m_announced_upstreams.announce(announcement, m_clock.now());
        if (changed.is_ignored) {
            const std::optional<upstream_departure> departure = m_announced_upstreams.departure(announcement.id);
            m_log.info(fmt::format("announcement-ignored upstream={} sequence={} started_ms={} leaving={} departure={}",
                                   announcement.id, announcement.sequence, absl::ToUnixMillis(announcement.started_at),
                                   announcement.is_leaving, departure ? name(departure->kind) : "none"));
            return false;
        }
        for (const std::string& id : changed.replaced_ids) {
            remove_upstream(id, upstream_removal::replaced);
            publish_departure(id);
        }
        if (announcement.is_leaving) {
            publish_departure(announcement.id);
        }
        if (changed.is_record_changed) {
            if (!publish_upstream(announcement.id)) {
                throw error(result_code::announcement_conflict,
                            fmt::format("upstream {} is announced by another daemon", announcement.id));
            }
            m_moves.set_upstream(announcement.service, announcement.version);
        }
        return !changed.is_repeated;
    }

    /// Tells the other daemons that an upstream beside this one has said in a response that it leaves.
    void handle_leaving(const std::string& id) {
        const absl::MutexLock lock(&m_mutex);
        if (m_announced_upstreams.set_said_leaving(id, m_clock.now())) {
            publish_upstream(id);
        }
        publish_departure(id);
    }

    /// Publishes an upstream beside this daemon to the data path and to the other daemons.
    /// @return false if another living daemon has announced the same id; the upstream is then forgotten here.
    bool publish_upstream(const std::string& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        upstream_record record = m_announced_upstreams.record(id);
        record.is_leaving = record.is_leaving || m_superseded_upstreams.contains(id);
        upstream_record published;
        try {
            published = m_peers.announce_upstream(record);
        } catch (const error& problem) {
            forget_upstream(id, problem.what());
            return false;
        }
        m_proxy.set_local_upstream(published, queue_limit(published.service));
        m_log.info(fmt::format("placement upstream={} service={} version={} address={} slots={} leaving={}", id,
                               published.service, published.version, to_string(published.address), published.slots,
                               published.is_leaving));
        m_are_upstreams_changed = true;
        return true;
    }

    /// Stops serving an upstream whose id belongs to another daemon, without a word to the others.
    void forget_upstream(const std::string& id, std::string_view reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_announced_upstreams.forget(id);
        stop_serving(id, upstream_removal::replaced);
        m_log.warning(fmt::format("upstream-conflict upstream={} reason=\"{}\"", id, reason));
    }

    int queue_limit(const std::string& service_name) const {
        const auto configuration = m_configuration.current();
        if (configuration) {
            const auto found = configuration->state().services.find(service_name);
            if (found != configuration->state().services.end()) {
                return found->second.queue_limit;
            }
        }
        return m_settings.requests.queue_limit;
    }

    /// Logs an unexpected exception that has ended a task, but not its thread.
    void log_failure(const std::string& part, const std::string& reason) {
        m_log.error(fmt::format("task-failed part={} reason=\"{}\"", part, reason));
    }

    void run_control_loop() {
        while (!m_is_stopped) {
            try {
                tick();
            } catch (const std::exception& problem) {
                log_failure("control-loop", problem.what());
            }
            std::this_thread::sleep_for(absl::ToChronoMilliseconds(control_interval));
        }
    }

    void tick() {
        expire_announcements();
        leave_if_due();
        distribute(m_moves.tick());
        auto overrides = m_moves.share_override();
        for (const auto& [service, shares] : m_orders.final_shares()) {
            overrides[service] = shares;
        }
        if (overrides != m_share_overrides) {
            m_share_overrides = overrides;
            m_proxy.set_share_overrides(std::move(overrides));
        }
        refuse_rolled_back_versions();
        if (m_platform) {
            update_orders();
        }
        bool are_upstreams_changed = false;
        bool is_drain_due = false;
        {
            const absl::MutexLock lock(&m_mutex);
            std::swap(are_upstreams_changed, m_are_upstreams_changed);
            is_drain_due = m_drain_at && m_clock.now() >= *m_drain_at;
            if (is_drain_due) {
                m_drain_at.reset();
            }
        }
        m_quotas.update(are_upstreams_changed);
        if (are_upstreams_changed) {
            m_proxy.set_upstreams(usable_upstreams());
            std::vector<endpoint> suspected;
            for (const member& peer : m_peers.members(member_state::suspected)) {
                suspected.push_back(peer.http_address);
            }
            m_proxy.set_suspected_owners(std::move(suspected));
            const std::vector<member> alive_members = m_peers.members(member_state::alive);
            update_collectors(alive_members);
            if (m_platform) {
                update_follower_selection(alive_members);
            }
        }
        if (is_drain_due) {
            m_proxy.drain();
        }
    }

    /// Sends the progress of moves to all daemons, and call counts to those that decide.
    void distribute(const std::vector<move_record>& changed) {
        std::vector<opaque_record> call_counts;
        for (const move_record& record : changed) {
            if (std::holds_alternative<move_progress>(record.content)) {
                m_peers.put_opaque({record.key(), record.encode()});
            } else {
                call_counts.push_back({record.key(), record.encode()});
            }
        }
        if (!call_counts.empty()) {
            m_peers.send_reports(m_collectors, call_counts);
        }
    }

    /// Selects the daemons that receive call counts and decide on moves from the alive members.
    void update_collectors(const std::vector<member>& alive_members) {
        std::vector<endpoint> collectors = select_collectors(alive_members);
        if (collectors == m_collectors) {
            return;
        }
        m_collectors = std::move(collectors);
        if (m_collectors.empty()) {
            return;
        }
        const bool is_decider = std::ranges::find(m_collectors, m_peers.address()) != m_collectors.end();
        m_log.info(fmt::format("collectors count={} first={} decides={}", m_collectors.size(),
                               to_string(m_collectors.front()), is_decider));
        m_moves.set_is_decider(is_decider);
    }

    void update_orders() {
        if (m_orders.is_empty()) {
            return;
        }
        if (m_orders.has_pending_order()) {
            update_order_progress();
        }
        supersede_old_versions();
    }

    /// Updates pending orders with the state of their moves.
    void update_order_progress() {
        std::set<endpoint> alive_owners;
        for (const member& peer : m_peers.members(member_state::alive)) {
            alive_owners.insert(peer.http_address);
        }
        std::vector<upstream_record> upstreams = m_peers.upstreams();
        std::erase_if(upstreams, [&](const upstream_record& upstream) {
            return upstream.is_withdrawn || !alive_owners.contains(upstream.owner);
        });
        m_orders.update_progress(m_moves.statuses(), upstreams, address_rank(), m_clock.now());
    }

    /// @return the number of alive daemons with a lower address than this one.
    int address_rank() const {
        return static_cast<int>(std::ranges::count_if(m_peers.members(member_state::alive), [&](const member& peer) {
            return peer.address < m_peers.address();
        }));
    }

    /// Marks upstreams of replaced versions as leaving, and checks whether they are idle.
    void supersede_old_versions() {
        const absl::MutexLock lock(&m_mutex);
        for (const std::string& id : m_announced_upstreams.ids()) {
            const upstream_announcement announcement = m_announced_upstreams.upstreams().at(id).announcement;
            const auto order = m_orders.superseding_order(announcement.service, announcement.version);
            if (order.has_value() != m_superseded_upstreams.contains(id)) {
                m_log.info(fmt::format("placement upstream={} version={} superseded={}", id, announcement.version,
                                       order.has_value()));
                if (order) {
                    m_superseded_upstreams.insert(id);
                } else {
                    m_superseded_upstreams.erase(id);
                }
                if (!publish_upstream(id)) {
                    continue;
                }
            }
            if (order) {
                m_proxy.query_load(id, [this, id = id, order = *order](int load) { handle_load(id, order, load); });
            }
        }
    }

    /// Announces a superseded upstream as idle when its load is 0. Called on the event loop's thread.
    void handle_load(const std::string& id, const move_order& order, int load) {
        if (load == 0 && m_orders.mark_idle(order.service, order.introduced_in, id)) {
            m_log.info(fmt::format("upstream-idle upstream={} order={}", id, revision_text(order.introduced_in)));
            m_peers.put_opaque({idle_record_key(order, id), order.encode()});
        }
    }

    /// Refuses requests for a rolled back version beside this daemon; entry daemons may not know of the rollback yet.
    void refuse_rolled_back_versions() {
        const absl::MutexLock lock(&m_mutex);
        for (const auto& [id, known] : m_announced_upstreams.upstreams()) {
            const std::string& service = known.announcement.service;
            const bool is_refused = m_moves.refuses(service, known.announcement.version) &&
                                    has_other_version(service, known.announcement.version);
            if (is_refused != m_refused_upstreams.contains(id)) {
                m_proxy.set_version_refused(id, is_refused);
                m_log.warning(fmt::format("placement upstream={} version={} taken_back={}", id,
                                          known.announcement.version, is_refused));
                if (is_refused) {
                    m_refused_upstreams.insert(id);
                } else {
                    m_refused_upstreams.erase(id);
                }
            }
        }
    }

    bool has_other_version(const std::string& service, const std::string& version) const {
        for (const auto& upstream : m_peers.usable_upstreams(service)) {
            if (upstream.version != version) {
                return true;
            }
        }
        return false;
    }

    void leave_if_due() {
        const absl::MutexLock lock(&m_mutex);
        if (m_leave_at && m_clock.now() >= *m_leave_at) {
            m_leave_at.reset();
            announce_leave();
        }
    }

    void expire_announcements() {
        const absl::MutexLock lock(&m_mutex);
        for (const auto& id : m_announced_upstreams.expire(m_clock.now())) {
            remove_upstream(id, upstream_removal::silent);
        }
    }

    std::vector<upstream_record> usable_upstreams() const {
        std::vector<upstream_record> usable;
        const auto configuration = m_configuration.current();
        if (!configuration) {
            return usable;
        }
        for (const auto& [service_name, declared] : configuration->state().services) {
            auto found = m_peers.usable_upstreams(service_name);
            std::move(found.begin(), found.end(), std::back_inserter(usable));
        }
        // An owner that has started again may announce an upstream until it is told of its departure.
        const absl::MutexLock lock(&m_mutex);
        std::erase_if(usable, [this](const upstream_record& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return m_announced_upstreams.has_departed(record);
        });
        return usable;
    }

    daemon_status status() const {
        daemon_status result;
        result.identity = m_settings.daemon;
        result.now = m_clock.now();
        result.started_at = m_started_at;
        result.is_draining = m_is_draining;
        result.configuration = m_configuration.current();
        result.refusal = m_configuration.last_refusal();
        result.newest_heard_version = m_peers.newest_heard_version();
        result.store = m_store_client->status();
        result.members = m_peers.members();
        result.is_joined = m_peers.is_joined();
        result.traffic = m_peers.counters();
        result.upstreams_known = usable_upstreams().size();
        result.moves = m_moves.statuses();
        result.requests = m_proxy.counters();
        result.evacuated_data_centers = m_evacuations.evacuated();
        result.quotas = m_proxy.quotas();
        result.dropped_log_lines = m_log.dropped_lines();
        const absl::MutexLock lock(&m_mutex);
        result.configuration_applied_at = m_applied_at;
        result.local_upstreams = m_announced_upstreams.upstreams();
        return result;
    }

    std::string explain_request(const std::string& request) {
        const auto separator = request.find(' ');
        if (separator == std::string::npos) {
            throw error(result_code::request_malformed, "the request must be METHOD PATH");
        }
        return decision_json(request, m_proxy.explain(request.substr(0, separator), request.substr(separator + 1)));
    }

    std::string explain_route(const std::string& route_name) const {
        const auto configuration = m_configuration.current();
        if (!configuration) {
            throw error(result_code::no_route, "no configuration has been applied yet");
        }
        return route_json(*configuration, route_name);
    }

    std::string explain_move(const std::string& move_name) const {
        const auto found = m_moves.status(move_name);
        if (!found) {
            throw error(result_code::move_unknown, move_name);
        }
        return move_json(*found);
    }

    const daemon_settings m_settings;
    std::optional<platform_interface> m_platform;
    control_actions m_control_actions;
    event_log m_log;
    steady_clock m_clock;
    absl::Time m_started_at;
    std::atomic<bool> m_is_draining = false;
    std::atomic<bool> m_is_stopped = false;
    std::atomic<std::uint64_t> m_heard_era = 0; ///< Newest era of the store that another daemon has told.

    mutable absl::Mutex m_mutex;
    announced_upstreams m_announced_upstreams ABSL_GUARDED_BY(m_mutex);
    report_collector m_report_collector ABSL_GUARDED_BY(m_mutex);
    std::string m_last_departed ABSL_GUARDED_BY(m_mutex); ///< Id of the upstream beside this daemon that left last.
    bool m_are_upstreams_changed ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_applied_at ABSL_GUARDED_BY(m_mutex);
    std::set<std::string> m_refused_upstreams ABSL_GUARDED_BY(m_mutex); ///< Ids whose version was rolled back.
    std::optional<absl::Time> m_drain_at ABSL_GUARDED_BY(m_mutex);      ///< When the data path starts to drain.
    std::optional<absl::Time> m_leave_at ABSL_GUARDED_BY(m_mutex);      ///< When upstreams are announced as leaving.

    follower_selector m_follower_selector ABSL_GUARDED_BY(m_mutex);
    follow_reason m_follow_reason ABSL_GUARDED_BY(m_mutex) = follow_reason::small_fleet;
    std::set<std::string> m_superseded_upstreams ABSL_GUARDED_BY(m_mutex); ///< Ids; an order replaced their version.

    order_service m_orders;
    move_service m_moves;
    share_overrides m_share_overrides;  ///< Used on the control loop's thread only.
    std::vector<endpoint> m_collectors; ///< The same; peer addresses of the daemons that receive call counts.
    active_configuration m_configuration;
    request_proxy m_proxy;
    peer_server m_peers;
    evacuation_service m_evacuations;
    std::optional<cold_state_checks> m_cold_checks; ///< Only with a platform.
    quota_service m_quotas;
    std::unique_ptr<store_client> m_store_client;
    std::unique_ptr<control_server> m_control_server;
    std::thread m_control_thread;
};

mesh_daemon::mesh_daemon(const daemon_settings& settings, std::optional<platform_interface> platform)
    : m_implementation(std::make_unique<implementation>(settings, std::move(platform))) {}

mesh_daemon::~mesh_daemon() = default;

daemon_addresses mesh_daemon::addresses() const {
    return m_implementation->addresses();
}

void mesh_daemon::run() {
    m_implementation->run();
}

void mesh_daemon::log_reload() {
    m_implementation->log_reload();
}

void mesh_daemon::drain() {
    m_implementation->drain();
}

void mesh_daemon::stop() {
    m_implementation->stop();
}

} // namespace amaranthladder
