#include "tests/fakes/quota_fleet.h"

#include "common/token_bucket.h"
#include "quota/quota_limits.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace amaranthladder {

namespace {

constexpr absl::Duration step = absl::Milliseconds(5);
constexpr absl::Duration view_interval = absl::Milliseconds(100);
constexpr absl::Duration slice = absl::Milliseconds(100);
/// Suspicion of SWIM with 89 members: 4 * log10(98) seconds.
constexpr absl::Duration suspicion_time = absl::Seconds(8);
constexpr absl::Duration join_time = absl::Milliseconds(1300);
/// Time for which a daemon that leaves still runs after its drain has started, as in mesh_daemon.
constexpr absl::Duration drain_time = absl::Milliseconds(1700);
/// Time after which callers no longer use an entry that drains.
constexpr absl::Duration redirect_time = absl::Seconds(1);
/// Longest time until a daemon learns that another one has joined or left.
constexpr absl::Duration gossip_time = absl::Seconds(1);
const absl::Time epoch = absl::UnixEpoch() + absl::Hours(1);

} // namespace

class quota_fleet::implementation {
public:
    explicit implementation(const options& chosen) : m_options(chosen), m_random(chosen.seed) {
        double sum = 0;
        for (std::size_t index = 0; index < chosen.tenants; ++index) {
            m_demand.push_back(std::pow(static_cast<double>(index + 1), -chosen.zipf_exponent));
            sum += m_demand.back();
        }
        for (double& demand : m_demand) {
            demand *= chosen.requests_per_second / sum;
            m_limits.push_back(demand * chosen.limit_factor);
        }
        m_factors.assign(chosen.tenants, 1);
        m_tallies.resize(chosen.tenants);
        m_runs.resize(chosen.tenants);
        m_configuration = make_configuration(1);
        m_group.assign(chosen.daemons + chosen.spares, 0);
        m_daemons.resize(chosen.daemons + chosen.spares);
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            m_daemons[index].address = {fmt::format("10.0.{}.{}", index / 200, 1 + (index % 200)), 7000};
            m_index[m_daemons[index].address] = index;
            m_daemons[index].is_spare = index >= chosen.daemons;
            m_daemons[index].seen.assign(m_daemons.size(), {});
        }
        for (std::size_t index = 0; index < chosen.daemons; ++index) {
            start(index);
        }
        reset_ideal();
    }

    void run_for(absl::Duration time) {
        const absl::Time end = m_now + time;
        while (m_now < end) {
            m_now += step;
            apply_configurations();
            if (m_now >= m_next_view) {
                m_next_view = m_now + view_interval;
                update_views();
            }
            while (!m_queue.empty() && m_queue.top().at <= m_now) {
                const delivery next = m_queue.top();
                m_queue.pop();
                deliver(next);
            }
            stall();
            send_requests();
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                daemon& each = m_daemons[index];
                if (each.node && each.left_at <= m_now) {
                    kill(index);
                }
                if (each.node && is_running(each) && m_now >= each.next_tick) {
                    each.next_tick = m_now + quota_node::tick_interval;
                    each.node->tick(m_now, m_random);
                    flush(index);
                }
            }
        }
    }

    void start(std::size_t index) {
        daemon& started = m_daemons[index];
        started.node = std::make_unique<quota_node>(started.address, quota_limits(), m_random());
        started.node->set_configuration(m_configuration, m_now);
        started.started_at = m_now;
        started.was_started = true;
        started.next_tick = m_now;
        started.joins_at = m_now + uniform(absl::Milliseconds(200), join_time);
        for (seen_member& member : started.seen) {
            member = {};
        }
    }

    void replace(std::size_t index) {
        start(m_options.daemons + m_replaced++);
        m_daemons[index].redirected_at = m_now + redirect_time;
        m_daemons[index].left_at = m_now + drain_time;
        if (m_daemons[index].node) {
            m_daemons[index].node->leave(m_now);
            flush(index);
        }
    }

    void kill(std::size_t index) {
        for (const held_request& held : m_daemons[index].held) {
            --m_tallies[held.tenant].requests;
            m_tallies[held.tenant].within -= held.is_within ? 1 : 0;
        }
        m_daemons[index].held.clear();
        m_daemons[index].node.reset();
        for (auto& [id, request] : m_waiting) {
            request.is_gone = request.is_gone || request.entry == index;
        }
    }

    void apply_limits(double factor, absl::Duration delay) {
        m_pending = make_configuration(factor);
        for (daemon& each : m_daemons) {
            each.configured_at = m_now + uniform(absl::ZeroDuration(), delay);
        }
        m_new_limits_at = m_now + delay;
        m_next_configuration = m_pending;
    }

    std::shared_ptr<const intended_state> make_configuration(double factor) {
        auto state = std::make_shared<intended_state>();
        m_limit_factor = factor;
        for (std::size_t index = 0; index < m_limits.size(); ++index) {
            tenant limited;
            limited.name = tenant_name(index);
            limited.rate_per_second = m_limits[index] * factor;
            limited.burst = limited.rate_per_second;
            state->tenants[limited.name] = limited;
        }
        return state;
    }

    static std::string tenant_name(std::size_t index) {
        return fmt::format("tenant-{}", index);
    }

    void reset_ideal() {
        m_ideal.clear();
        for (const double limit : m_limits) {
            const double rate = limit * m_limit_factor;
            m_ideal.emplace_back(std::max(1.0, rate), absl::Seconds(1 / rate), m_now);
        }
        m_tallies.assign(m_tallies.size(), {});
        m_counted_since = m_now;
        m_counted_messages = m_messages;
    }

    tally sum(bool with_hot_tenants) const {
        tally sum;
        for (std::size_t index = 0; index < m_tallies.size(); ++index) {
            const tally& one = m_tallies[index];
            if (!with_hot_tenants && m_factors[index] > 1) {
                continue;
            }
            sum.requests += one.requests;
            sum.within += one.within;
            sum.wrongly_refused += one.wrongly_refused;
            sum.run += one.run;
            sum.refused_over += one.refused_over;
            sum.refused_unknown += one.refused_unknown;
            sum.late += one.late;
        }
        return sum;
    }

    absl::Duration uniform(absl::Duration low, absl::Duration high) {
        return low + (high - low) * std::uniform_real_distribution<>(0, 1)(m_random);
    }

    bool chance(double share) {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    bool may_pass(std::size_t from, std::size_t to) const {
        return m_group[from] == m_group[to] || (m_is_one_way && m_group[to] == 1);
    }

    bool is_mutual(std::size_t one, std::size_t other) const {
        return may_pass(one, other) && may_pass(other, one) && m_daemons[other].node != nullptr &&
               m_now >= m_daemons[other].paused_until;
    }

    struct held_request {
        std::size_t tenant = 0;
        bool is_within = false;
        absl::Time since;
    };

    struct delivery {
        absl::Time at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<const quota_message> message;

        bool operator<(const delivery& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    struct seen_member {
        bool is_known = false;
        std::optional<absl::Time> suspected_at;
        std::optional<absl::Time> alive_at;
        std::optional<absl::Time> known_at;
        std::optional<absl::Time> left_at;
        member_state state = member_state::alive;
    };

    struct daemon {
        endpoint address;
        std::unique_ptr<quota_node> node;
        absl::Time started_at;
        absl::Time joins_at;
        absl::Time next_tick;
        absl::Time paused_until = absl::InfinitePast();
        absl::Time stalled_until = absl::InfinitePast();
        absl::Time next_stall = absl::InfinitePast();
        absl::Time redirected_at = absl::InfiniteFuture();
        absl::Time left_at = absl::InfiniteFuture();
        bool was_started = false;
        bool is_spare = false;          ///< Joins the running fleet.
        std::vector<held_request> held; ///< Requests that came during a stall.
        absl::Time configured_at = absl::InfiniteFuture();
        std::vector<seen_member> seen;
    };

    struct waiting_request {
        std::size_t tenant = 0;
        std::size_t entry = 0;
        bool is_within = false;
        bool is_gone = false;
        absl::Time since;
    };

    bool is_running(const daemon& each) const {
        return m_now >= each.paused_until && m_now >= each.stalled_until;
    }

    /// Stalls daemons at random, as the scheduler does with those that have a tenth of a core.
    void stall() {
        if (m_options.stalls_per_second <= 0) {
            return;
        }
        std::exponential_distribution<> wait_s(m_options.stalls_per_second);
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            daemon& each = m_daemons[index];
            if (!each.node || m_now < each.stalled_until) {
                continue;
            }
            for (const held_request& held : std::exchange(each.held, {})) {
                acquire(held, index);
            }
            if (m_now < each.next_stall) {
                continue;
            }
            if (each.next_stall != absl::InfinitePast()) {
                each.stalled_until = m_now + (chance(0.02) ? uniform(absl::Milliseconds(100), absl::Milliseconds(300))
                                                           : uniform(absl::ZeroDuration(), absl::Milliseconds(100)));
            }
            each.next_stall = std::max(m_now, each.stalled_until) + absl::Seconds(wait_s(m_random));
        }
    }

    void apply_configurations() {
        for (daemon& each : m_daemons) {
            if (m_now >= each.configured_at) {
                each.configured_at = absl::InfiniteFuture();
                if (each.node) {
                    each.node->set_configuration(m_next_configuration, m_now);
                }
            }
        }
        if (m_now >= m_new_limits_at) {
            m_new_limits_at = absl::InfiniteFuture();
            m_configuration = m_next_configuration;
            reset_ideal();
        }
    }

    /// The daemons that can reach each other probe one member a second each, and tell each other of a suspicion.
    void update_views() {
        std::map<std::pair<int, std::size_t>, double> side_size;
        for (std::size_t viewer = 0; viewer < m_daemons.size(); ++viewer) {
            side_size[{m_group[viewer], 0}] += m_daemons[viewer].node ? 1 : 0;
        }
        for (std::size_t viewer = 0; viewer < m_daemons.size(); ++viewer) {
            daemon& each = m_daemons[viewer];
            if (!each.node || m_now < each.paused_until) {
                continue;
            }
            const bool is_joined = m_now >= each.joins_at;
            std::vector<member> members;
            for (std::size_t other = 0; other < m_daemons.size(); ++other) {
                if (other == viewer) {
                    continue;
                }
                seen_member& seen = each.seen[other];
                if (!m_daemons[other].was_started || is_left(seen, m_daemons[other])) {
                    if (seen.state == member_state::left) {
                        members.push_back({m_daemons[other].address, {}, "", seen.state, 0});
                    }
                    continue;
                }
                const bool is_reached = is_mutual(viewer, other);
                if (!seen.is_known && m_daemons[other].is_spare && is_joined &&
                    m_daemons[other].started_at > each.joins_at) {
                    seen.known_at =
                        seen.known_at.value_or(m_daemons[other].joins_at + uniform(absl::ZeroDuration(), gossip_time));
                    if (m_now < *seen.known_at) {
                        continue;
                    }
                }
                if (!seen.is_known) {
                    seen.is_known = is_joined && (is_reached || m_now - each.joins_at > absl::Milliseconds(200));
                    if (!seen.is_known) {
                        continue;
                    }
                }
                if (is_reached) {
                    seen.suspected_at.reset();
                    if (seen.state != member_state::alive) {
                        seen.alive_at =
                            seen.alive_at.value_or(m_now + uniform(absl::Milliseconds(200), absl::Milliseconds(2500)));
                        if (m_now >= *seen.alive_at) {
                            seen.state = member_state::alive;
                            seen.alive_at.reset();
                        }
                    }
                } else {
                    seen.alive_at.reset();
                    if (!seen.suspected_at) {
                        const double probers = std::max(1.0, side_size[{m_group[viewer], 0}]);
                        const double mean_s = static_cast<double>(m_daemons.size()) / probers;
                        // The same for all daemons of a side, up to the gossip.
                        std::minstd_rand shared(static_cast<unsigned>((other * 31) + (m_cut_number * 7919) +
                                                                      static_cast<std::size_t>(m_group[viewer])));
                        shared.discard(3);
                        const double wait_s = std::exponential_distribution<>(1 / mean_s)(shared);
                        seen.suspected_at =
                            m_now + absl::Seconds(1 + wait_s) + uniform(absl::ZeroDuration(), absl::Seconds(1));
                    }
                    if (m_now >= *seen.suspected_at + suspicion_time) {
                        seen.state = member_state::dead;
                    } else if (m_now >= *seen.suspected_at && seen.state == member_state::alive) {
                        seen.state = member_state::suspected;
                    }
                }
                members.push_back({m_daemons[other].address, {}, "", seen.state, 0});
            }
            each.node->set_members(members, is_joined, m_now);
        }
    }

    /// @return true if the viewer knows that @p other has left.
    bool is_left(seen_member& seen, const daemon& other) {
        if (other.left_at > m_now) {
            return false;
        }
        seen.left_at = seen.left_at.value_or(other.left_at + uniform(absl::ZeroDuration(), gossip_time));
        if (m_now >= *seen.left_at) {
            seen.state = member_state::left;
        }
        return seen.state == member_state::left;
    }

    bool has_callers(const daemon& each) const {
        return each.was_started && m_now < each.redirected_at && (!each.is_spare || m_now >= each.joins_at);
    }

    void send_requests() {
        for (std::size_t index = 0; index < m_demand.size(); ++index) {
            const double mean = m_demand[index] * m_factors[index] * absl::ToDoubleSeconds(step);
            for (int left = std::poisson_distribution<>(mean)(m_random); left > 0; --left) {
                std::size_t entry = m_random() % m_daemons.size();
                while (!has_callers(m_daemons[entry])) {
                    entry = m_random() % m_daemons.size();
                }
                if (m_daemons[entry].node && m_now >= m_daemons[entry].paused_until) {
                    send_request(index, entry);
                }
            }
        }
    }

    void send_request(std::size_t tenant, std::size_t entry) {
        ++m_tallies[tenant].requests;
        const held_request made{tenant, m_ideal[tenant].try_take(m_now), m_now};
        m_tallies[tenant].within += made.is_within ? 1 : 0;
        if (m_now < m_daemons[entry].stalled_until) {
            m_daemons[entry].held.push_back(made);
        } else {
            acquire(made, entry);
        }
    }

    void acquire(const held_request& made, std::size_t entry) {
        const std::uint64_t id = ++m_last_request;
        const quota_verdict verdict = m_daemons[entry].node->acquire(tenant_name(made.tenant), id, m_now);
        const waiting_request request{made.tenant, entry, made.is_within, false, made.since};
        if (verdict.result == quota_verdict::kind::wait) {
            m_waiting[id] = request;
        } else {
            count(request, verdict);
        }
        flush(entry);
    }

    void count(const waiting_request& request, const quota_verdict& verdict) {
        tally& counted = m_tallies[request.tenant];
        if (verdict.result == quota_verdict::kind::run) {
            ++counted.run;
            counted.late += m_now - request.since > absl::Milliseconds(125) ? 1 : 0;
            ++m_runs[request.tenant][static_cast<std::int64_t>((m_now - epoch) / slice)];
            return;
        }
        ++(verdict.result == quota_verdict::kind::refused_over ? counted.refused_over : counted.refused_unknown);
        counted.wrongly_refused += request.is_within ? 1 : 0;
    }

    void flush(std::size_t index) {
        daemon& each = m_daemons[index];
        for (quota_node::outgoing& out : each.node->take_messages(m_now)) {
            send(index, m_index.at(out.to), out.message);
        }
        for (const quota_client::resolved& resolved : each.node->take_resolved()) {
            const auto found = m_waiting.find(resolved.waiter);
            if (found != m_waiting.end()) {
                count(found->second, resolved.verdict);
                m_waiting.erase(found);
            }
        }
    }

    void send(std::size_t from, std::size_t to, const quota_message& message) {
        ++m_messages;
        // The record's key and the list around it take about this many bytes in the datagram.
        const std::string bytes = message.encode();
        m_bytes += bytes.size();
        if (!may_pass(from, to) || chance(m_options.loss)) {
            return;
        }
        const auto shared = std::make_shared<const quota_message>(quota_message::decode(bytes));
        absl::Duration delay = uniform(absl::Microseconds(300), absl::Milliseconds(3));
        if (chance(m_options.slow)) {
            delay += uniform(absl::ZeroDuration(), absl::Milliseconds(150));
        }
        m_queue.push({m_now + delay, ++m_order, from, to, shared});
        if (chance(m_options.repetition)) {
            m_queue.push(
                {m_now + delay + uniform(absl::ZeroDuration(), absl::Seconds(2)), ++m_order, from, to, shared});
        }
    }

    void deliver(const delivery& next) {
        daemon& receiver = m_daemons[next.to];
        if (!receiver.node) {
            return;
        }
        if (!is_running(receiver)) {
            delivery later = next;
            later.at = std::max(receiver.paused_until, receiver.stalled_until) + step;
            m_queue.push(later);
            return;
        }
        receiver.node->receive(*next.message, m_now);
        flush(next.to);
    }

    options m_options;
    std::mt19937_64 m_random;
    absl::Time m_now = epoch;
    absl::Time m_next_view = epoch;
    std::vector<double> m_demand;
    std::vector<double> m_factors;
    std::vector<double> m_limits;
    std::vector<token_bucket> m_ideal;
    std::vector<tally> m_tallies;
    std::vector<std::map<std::int64_t, int>> m_runs; ///< By slice of time.
    std::vector<daemon> m_daemons;
    std::map<endpoint, std::size_t> m_index;
    std::vector<int> m_group;
    bool m_is_one_way = false;
    std::size_t m_cut_number = 0;
    std::priority_queue<delivery> m_queue;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_counted_messages = 0; ///< m_messages at m_counted_since.
    absl::Time m_counted_since = epoch;
    std::size_t m_replaced = 0;
    std::uint64_t m_bytes = 0;
    double m_limit_factor = 1;
    std::shared_ptr<const intended_state> m_configuration;
    std::shared_ptr<const intended_state> m_pending;
    std::shared_ptr<const intended_state> m_next_configuration;
    absl::Time m_new_limits_at = absl::InfiniteFuture();
};

quota_fleet::quota_fleet(const options& chosen) : m_implementation(std::make_unique<implementation>(chosen)) {}

quota_fleet::~quota_fleet() = default;

void quota_fleet::run_for(absl::Duration time) {
    m_implementation->run_for(time);
}

void quota_fleet::set_demand(std::size_t tenant, double factor) {
    m_implementation->m_factors[tenant] = factor;
}

void quota_fleet::set_limits(double factor, absl::Duration delay) {
    m_implementation->apply_limits(factor, delay);
}

void quota_fleet::cut(const std::vector<std::size_t>& group, bool is_one_way) {
    std::ranges::fill(m_implementation->m_group, 0);
    for (const std::size_t index : group) {
        m_implementation->m_group[index] = 1;
    }
    m_implementation->m_is_one_way = is_one_way;
    ++m_implementation->m_cut_number;
}

void quota_fleet::heal() {
    std::ranges::fill(m_implementation->m_group, 0);
}

void quota_fleet::kill(std::size_t daemon) {
    m_implementation->kill(daemon);
}

void quota_fleet::start(std::size_t daemon) {
    m_implementation->start(daemon);
}

void quota_fleet::replace(std::size_t daemon) {
    m_implementation->replace(daemon);
}

void quota_fleet::pause(std::size_t daemon, absl::Duration time) {
    m_implementation->m_daemons[daemon].paused_until = m_implementation->m_now + time;
}

std::size_t quota_fleet::coordinator(std::size_t tenant) const {
    quota_view view(m_implementation->m_daemons[0].address);
    std::vector<member> members;
    for (const auto& each : m_implementation->m_daemons) {
        if (!each.was_started || each.left_at <= m_implementation->m_now) {
            continue;
        }
        members.push_back({each.address, {}, "", member_state::alive, 0});
    }
    view.update(members, m_implementation->m_now);
    return m_implementation->m_index.at(*view.candidates(implementation::tenant_name(tenant)).coordinator);
}

void quota_fleet::clear_tallies() {
    m_implementation->reset_ideal();
}

quota_fleet::tally quota_fleet::total() const {
    return m_implementation->sum(true);
}

quota_fleet::tally quota_fleet::of_allowed_tenants() const {
    return m_implementation->sum(false);
}

quota_fleet::tally quota_fleet::of_tenant(std::size_t tenant) const {
    return m_implementation->m_tallies[tenant];
}

double quota_fleet::worst_window(absl::Time since) const {
    const quota_limits limits;
    // One slice more than the window, since the runs within a slice are not told apart.
    const auto slices = static_cast<std::int64_t>(limits.window / slice) + 1;
    const auto first = since == absl::InfinitePast() ? 0 : static_cast<std::int64_t>((since - epoch) / slice);
    double worst = 0;
    for (std::size_t index = 0; index < m_implementation->m_runs.size(); ++index) {
        const double rate = m_implementation->m_limits[index] * m_implementation->m_limit_factor;
        const double bound =
            ((rate * absl::ToDoubleSeconds(limits.window)) + rate) * (1 + limits.overage) + limits.slack;
        const auto& runs = m_implementation->m_runs[index];
        for (auto start = runs.lower_bound(first); start != runs.end(); ++start) {
            double count = 0;
            for (auto each = start; each != runs.end() && each->first < start->first + slices; ++each) {
                count += each->second;
            }
            worst = std::max(worst, count / bound);
        }
    }
    return worst;
}

std::uint64_t quota_fleet::messages() const {
    return m_implementation->m_messages;
}

double quota_fleet::messages_per_daemon() const {
    const implementation& fleet = *m_implementation;
    return static_cast<double>(fleet.m_messages - fleet.m_counted_messages) /
           absl::ToDoubleSeconds(fleet.m_now - fleet.m_counted_since) / static_cast<double>(fleet.m_options.daemons);
}

std::uint64_t quota_fleet::message_bytes() const {
    return m_implementation->m_bytes;
}

absl::Time quota_fleet::now() const {
    return m_implementation->m_now;
}

} // namespace amaranthladder
