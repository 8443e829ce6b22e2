#include "moves_simulation.h"

#include "common/result_code.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace amaranthladder::bench {

namespace {

const std::string service_name = "werkbank";
const absl::Time start_time = absl::FromUnixSeconds(1'800'000'000);
constexpr int route_count = 4;
constexpr absl::Duration order_margin = absl::Milliseconds(2'500); ///< As mesh_daemon's order_deadline_margin.
constexpr std::size_t order_deciders = 3;                          ///< As select_collectors.
constexpr std::size_t max_piggyback_bytes = 1'000;                 ///< Space for records in a datagram of 1,200 bytes.
constexpr double loss_rate = 0.01;
constexpr double median_latency_ms = 20;
constexpr double latency_sigma = 0.5; ///< Standard deviation of the logarithm.

std::string route_name(int route) {
    return fmt::format("route-{}", route);
}

/// The baseline that the move engine is compared with: raises the share in equal steps over 80% of the window and rolls
/// back at a fixed threshold of the new version's error rate. It sees all calls of all daemons without delay.
class baseline_controller {
public:
    void observe(const call_sample& sample, bool is_new_version) {
        if (is_new_version) {
            m_recent.push_back({sample.now, sample.outcome != call_outcome::good});
        }
    }

    void tick(absl::Time now, absl::Duration window) {
        constexpr double steps = 5;
        std::erase_if(m_recent, [&](const auto& call) { return now - call.first > absl::Seconds(10); });
        const auto bad = std::ranges::count_if(m_recent, [](const auto& call) { return call.second; });
        if (m_recent.size() >= 10 && static_cast<double>(bad) > 0.05 * static_cast<double>(m_recent.size())) {
            rolled_back_at = std::min(rolled_back_at, now);
        }
        const double passed = absl::FDivDuration(now - start_time, 0.8 * window);
        share = rolled_back_at <= now ? 0 : std::min(1.0, std::floor(passed * steps + 1) / steps);
        if (share >= 1) {
            completed_at = std::min(completed_at, now);
        }
    }

    double share = 0;
    absl::Time rolled_back_at = absl::InfiniteFuture();
    absl::Time completed_at = absl::InfiniteFuture();

private:
    std::vector<std::pair<absl::Time, bool>> m_recent;
};

struct queued_record {
    std::string bytes;
    bool is_high_priority = false; ///< Progress and urgent call counts are sent before other call counts.
    int remaining_sends = 0;
};

struct simulated_daemon {
    std::unique_ptr<move_engine> engine;
    absl::Duration clock_offset;
    std::uint64_t incarnation = 1;
    absl::Time next_probe;
    absl::Time next_repair;
    std::map<std::string, queued_record> queue;
    bool is_paused = false;
    bool is_reported_down = false;
    int partition_side = 0;
    move_verdict verdict = move_verdict::under_way;
    std::string state;
};

class simulation {
public:
    simulation(const scenario& row, const run_options& options, bool is_traced)
        : m_scenario(row), m_options(options), m_is_traced(is_traced), m_random(options.seed),
          m_move_name(row.is_order ? std::string(move_record::order_move_prefix) + service_name : "kiln"),
          m_step(std::clamp(row.window / 6'000, absl::Milliseconds(100), absl::Seconds(2))) {
        const std::size_t count = row.old_owners + row.new_owners;
        m_daemons.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            simulated_daemon& daemon = m_daemons[index];
            daemon.clock_offset = absl::Seconds((2 * uniform() - 1) * row.clock_offset_seconds);
            daemon.next_probe = start_time + absl::Seconds(uniform());
            daemon.next_repair = start_time + absl::Seconds(10 * uniform());
            start_daemon(index, start_time);
        }
    }

    run_result run() {
        const absl::Time deadline = start_time + m_scenario.window;
        const absl::Time end = deadline + absl::Minutes(45);
        int settled_steps = 0;
        for (absl::Time now = start_time; now < end && settled_steps < 20; now += m_step) {
            apply_interruptions(now);
            make_calls(now);
            tick(now);
            gossip(now);
            // A verdict that is final on all daemons must not change any more; further steps check that.
            settled_steps = is_settled(now) ? settled_steps + 1 : 0;
            m_result.control_bytes_per_daemon_second =
                m_sent_bytes / absl::ToDoubleSeconds(now + m_step - start_time) / static_cast<double>(m_daemons.size());
        }
        fill_result();
        return m_result;
    }

private:
    double uniform() {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    std::size_t random_index(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    bool is_decider(std::size_t daemon) const {
        return !m_scenario.is_order || daemon % (m_daemons.size() / order_deciders) == 0;
    }

    bool runs_new_version(std::size_t daemon) const {
        return daemon >= m_scenario.old_owners;
    }

    absl::Time local_time(const simulated_daemon& daemon, absl::Time now) const {
        return now + daemon.clock_offset;
    }

    void start_daemon(std::size_t index, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        daemon.queue.clear();
        if (m_options.controller == controller_kind::baseline) {
            return;
        }
        daemon.engine = std::make_unique<move_engine>(fmt::format("host-{}", index), daemon.incarnation,
                                                      m_options.policy, m_options.order_policy);
        daemon.engine->set_is_decider(is_decider(index));
        move declared;
        declared.name = m_move_name;
        declared.service = service_name;
        declared.from_version = m_scenario.is_order ? "" : "1";
        declared.to_version = "2";
        declared.deadline =
            start_time + m_scenario.window - (m_scenario.is_order ? order_margin : absl::ZeroDuration());
        declared.introduced_in = 7;
        daemon.engine->set_upstream(service_name, runs_new_version(index) ? "2" : "1", local_time(daemon, now));
        daemon.engine->set_moves({{m_move_name, declared}}, local_time(daemon, now));
        if (!m_scenario.is_store_down && m_stored_progress) {
            daemon.engine->merge_remote(*m_stored_progress, local_time(daemon, now));
        }
    }

    void apply_interruptions(absl::Time now) {
        for (std::size_t number = 0; number < m_scenario.interruptions.size(); ++number) {
            const interruption& fault = m_scenario.interruptions[number];
            const bool is_on =
                now >= start_time + fault.from * m_scenario.window && now < start_time + fault.to * m_scenario.window;
            const bool was_on = m_active_interruptions.contains(number);
            if (is_on == was_on) {
                continue;
            }
            is_on ? m_active_interruptions.insert(number).first
                  : m_active_interruptions.erase(m_active_interruptions.find(number));
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                if (fault.affects(index)) {
                    set_interruption(fault, index, is_on, now);
                }
            }
        }
    }

    void set_interruption(const interruption& fault, std::size_t index, bool is_on, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        switch (fault.kind) {
        case interruption::fault_kind::restart:
            if (is_on) {
                daemon.incarnation += 1;
                start_daemon(index, now);
            }
            break;
        case interruption::fault_kind::pause:
            daemon.is_paused = is_on;
            break;
        case interruption::fault_kind::partition:
            daemon.partition_side = is_on ? 1 : 0;
            break;
        case interruption::fault_kind::reported_down:
            daemon.is_reported_down = is_on;
            break;
        }
    }

    bool can_reach(std::size_t from, std::size_t to) const {
        return !m_daemons[from].is_paused && !m_daemons[to].is_paused &&
               m_daemons[from].partition_side == m_daemons[to].partition_side;
    }

    std::optional<std::size_t> pick_owner(std::size_t entry, bool to_new_version) {
        std::vector<std::size_t> usable;
        std::vector<std::size_t> reported_down;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (runs_new_version(index) == to_new_version && can_reach(entry, index)) {
                (m_daemons[index].is_reported_down ? reported_down : usable).push_back(index);
            }
        }
        const auto& candidates = usable.empty() ? reported_down : usable;
        return candidates.empty() ? std::nullopt : std::optional(candidates[random_index(candidates.size())]);
    }

    double new_version_share(std::size_t entry) const {
        if (m_options.controller == controller_kind::baseline) {
            return m_baseline.share;
        }
        return m_daemons[entry].engine->share_override().at(service_name).at("2");
    }

    void make_calls(absl::Time now) {
        std::vector<double> shares;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            shares.push_back(new_version_share(index));
            if (m_new_version_responses < 20) {
                m_result.max_unproven_share = std::max(m_result.max_unproven_share, shares.back());
            }
        }
        const double expected_calls = m_scenario.calls_per_second * absl::ToDoubleSeconds(m_step);
        const int calls = std::poisson_distribution<>(expected_calls)(m_random);
        int new_version_calls = 0;
        for (int call = 0; call < calls; ++call) {
            const std::size_t entry = random_index(m_daemons.size());
            if (m_daemons[entry].is_paused) {
                continue;
            }
            bool to_new_version = uniform() < shares[entry];
            std::optional<std::size_t> owner = pick_owner(entry, to_new_version);
            if (owner && to_new_version && m_daemons[*owner].engine &&
                m_daemons[*owner].engine->refuses(service_name, "2")) {
                // The refusal guarantees that the call has not run, so the entry may try the other version.
                to_new_version = false;
                owner = pick_owner(entry, false);
            }
            if (!owner) {
                to_new_version = !to_new_version;
                owner = pick_owner(entry, to_new_version);
            }
            if (owner) {
                new_version_calls += to_new_version ? 1 : 0;
                complete_call(*owner, to_new_version, now + uniform() * m_step);
            }
        }
        const double decay = std::exp2(-absl::ToDoubleSeconds(m_step) / m_scenario.load_half_life_seconds);
        m_recent_calls = decay * m_recent_calls + calls;
        m_recent_new_calls = decay * m_recent_new_calls + new_version_calls;
    }

    void complete_call(std::size_t owner, bool to_new_version, absl::Time when) {
        call_context context;
        context.side = to_new_version ? move_side::new_version : move_side::old_version;
        context.route = uniform() < 0.5 ? 0 : 1 + static_cast<int>(random_index(route_count - 1));
        context.elapsed_seconds = absl::ToDoubleSeconds(when - start_time);
        context.window_seconds = absl::ToDoubleSeconds(m_scenario.window);
        context.new_version_share = m_recent_calls > 0 ? m_recent_new_calls / m_recent_calls : 0;
        context.owner = owner;
        const version_behavior behavior = m_scenario.behavior(context);
        call_sample sample{service_name, to_new_version ? "2" : "1", route_name(context.route), call_outcome::good, {},
                           when};
        const double draw = uniform();
        if (draw < behavior.failure_rate) {
            sample.outcome = call_outcome::failed;
        } else if (draw < behavior.failure_rate + behavior.refusal_rate) {
            sample.outcome = call_outcome::refused;
        }
        sample.latency = absl::Milliseconds(median_latency_ms * behavior.slowness *
                                            std::exp(latency_sigma * std::normal_distribution<>()(m_random)));
        if (m_options.recorded_calls != nullptr) {
            constexpr std::array<const char*, 3> outcomes{"good", "failed", "refused"};
            *m_options.recorded_calls += fmt::format(
                "{:.3f},{},{},{},{}\n", context.elapsed_seconds, sample.version, sample.route,
                outcomes.at(static_cast<std::size_t>(sample.outcome)), absl::ToInt64Microseconds(sample.latency));
        }
        if (to_new_version) {
            m_new_version_responses += 1;
            record_fault(context, behavior, sample, when);
        }
        if (m_options.controller == controller_kind::baseline) {
            m_baseline.observe(sample, to_new_version);
            return;
        }
        sample.now = local_time(m_daemons[owner], when);
        m_daemons[owner].engine->observe(sample);
    }

    /// Records when the new version first shows a fault that the old version does not have, and the calls exposed to
    /// it.
    void record_fault(call_context context, const version_behavior& behavior, const call_sample& sample,
                      absl::Time when) {
        m_result.new_version_calls += 1;
        m_last_new_version_call = when;
        context.side = move_side::old_version;
        const version_behavior old_behavior = m_scenario.behavior(context);
        const bool is_bad =
            (behavior.failure_rate > 2 * old_behavior.failure_rate && sample.outcome == call_outcome::failed) ||
            (behavior.refusal_rate > old_behavior.refusal_rate && sample.outcome == call_outcome::refused) ||
            behavior.slowness > old_behavior.slowness;
        if (is_bad && m_result.fault_seconds < 0) {
            m_result.fault_seconds = absl::ToDoubleSeconds(when - start_time);
        }
        m_result.exposed_calls += m_result.fault_seconds >= 0 ? 1 : 0;
    }

    void tick(absl::Time now) {
        if (m_options.controller == controller_kind::baseline) {
            m_baseline.tick(now, m_scenario.window);
            return;
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            simulated_daemon& daemon = m_daemons[index];
            if (daemon.is_paused) {
                continue;
            }
            for (const move_record& record : daemon.engine->tick(local_time(daemon, now))) {
                if (m_scenario.is_order && std::holds_alternative<move_call_counts>(record.content)) {
                    send_to_deciders(index, record, now);
                    continue;
                }
                enqueue(daemon, record);
                store_progress(record);
                if (record.is_urgent() && m_options.sends_urgent_directly) {
                    send_to_all(index, record, now);
                }
            }
            record_state(index, now);
        }
    }

    void store_progress(const move_record& record) {
        if (!m_scenario.is_store_down && std::holds_alternative<move_progress>(record.content)) {
            m_stored_progress = m_stored_progress ? merge(*m_stored_progress, record) : record;
        }
    }

    void record_state(std::size_t index, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        const auto status = daemon.engine->status(m_move_name, local_time(daemon, now));
        m_result.has_reverted = m_result.has_reverted || (status->verdict < daemon.verdict && daemon.incarnation == 1);
        daemon.verdict = status->verdict;
        m_result.was_completed = m_result.was_completed || status->stage >= move_policy::completed_stage;
        const std::string state = fmt::format("{} stage {}", status->state, status->stage);
        if (m_is_traced && state != daemon.state) {
            daemon.state = state;
            m_result.trace +=
                fmt::format("{:8.1f} host-{} {} {} new {}/{}/{} old {}/{}/{}\n",
                            absl::ToDoubleSeconds(now - start_time), index, state, name(status->reason),
                            status->new_version.calls, status->new_version.failed, status->new_version.median_us,
                            status->old_version.calls, status->old_version.failed, status->old_version.median_us);
        }
    }

    void enqueue(simulated_daemon& daemon, const move_record& record) {
        const bool is_progress = std::holds_alternative<move_progress>(record.content);
        const int sends = static_cast<int>(std::ceil(std::log2(static_cast<double>(m_daemons.size()) + 1)));
        daemon.queue[record.key()] = {record.encode(), is_progress || record.is_urgent(), sends};
    }

    void send_to_all(std::size_t from, const move_record& record, absl::Time now) {
        const std::string bytes = record.encode();
        for (std::size_t to = 0; to < m_daemons.size(); ++to) {
            if (to != from) {
                deliver(from, to, {bytes}, now);
            }
        }
    }

    void send_to_deciders(std::size_t from, const move_record& record, absl::Time now) {
        for (std::size_t to = 0; to < m_daemons.size(); ++to) {
            if (to != from && is_decider(to)) {
                deliver(from, to, {record.encode()}, now);
            }
        }
    }

    void gossip(absl::Time now) {
        if (m_options.controller == controller_kind::baseline) {
            return;
        }
        for (std::size_t from = 0; from < m_daemons.size(); ++from) {
            simulated_daemon& daemon = m_daemons[from];
            if (daemon.is_paused) {
                continue;
            }
            while (daemon.next_probe <= now) {
                daemon.next_probe = std::max(daemon.next_probe + absl::Seconds(1), now - absl::Seconds(1));
                const std::size_t to = random_other_daemon(from);
                if (can_reach(from, to)) {
                    deliver(from, to, take_piggyback(daemon), now);
                    deliver(to, from, take_piggyback(m_daemons[to]), now);
                }
            }
            if (daemon.next_repair <= now) {
                daemon.next_repair = now + absl::Seconds(10);
                repair(from, random_other_daemon(from), now);
            }
        }
    }

    std::size_t random_other_daemon(std::size_t index) {
        const std::size_t other = random_index(m_daemons.size() - 1);
        return other < index ? other : other + 1;
    }

    std::vector<std::string> take_piggyback(simulated_daemon& daemon) {
        std::vector<queued_record*> order;
        for (auto& [key, record] : daemon.queue) {
            order.push_back(&record);
        }
        std::ranges::sort(order, [](const queued_record* left, const queued_record* right) {
            return std::pair(left->is_high_priority, left->remaining_sends) >
                   std::pair(right->is_high_priority, right->remaining_sends);
        });
        std::vector<std::string> taken;
        std::size_t bytes = 0;
        for (queued_record* record : order) {
            if (bytes + record->bytes.size() > max_piggyback_bytes) {
                break;
            }
            bytes += record->bytes.size();
            taken.push_back(record->bytes);
            record->remaining_sends -= 1;
        }
        std::erase_if(daemon.queue, [](const auto& entry) { return entry.second.remaining_sends <= 0; });
        return taken;
    }

    void deliver(std::size_t from, std::size_t to, const std::vector<std::string>& records, absl::Time now) {
        for (const std::string& bytes : records) {
            m_sent_bytes += static_cast<double>(bytes.size());
        }
        if (!can_reach(from, to) || uniform() < loss_rate) {
            return;
        }
        for (const std::string& bytes : records) {
            receive(m_daemons[to], move_record::decode(bytes), now);
        }
    }

    void receive(simulated_daemon& daemon, const move_record& record, absl::Time now) {
        if (daemon.engine->merge_remote(record, local_time(daemon, now)) &&
            std::holds_alternative<move_call_counts>(record.content) && !m_scenario.is_order) {
            enqueue(daemon, record); // The engine's next tick forwards progress records itself.
        }
    }

    void repair(std::size_t from, std::size_t to, absl::Time now) {
        if (!can_reach(from, to)) {
            return;
        }
        for (const move_record& record : m_daemons[to].engine->records()) {
            receive(m_daemons[from], record, now);
        }
        for (const move_record& record : m_daemons[from].engine->records()) {
            receive(m_daemons[to], record, now);
        }
    }

    bool is_settled(absl::Time now) {
        if (m_options.controller == controller_kind::baseline) {
            return now > start_time + m_scenario.window + absl::Minutes(1);
        }
        const bool has_pending_interruption =
            std::ranges::any_of(m_scenario.interruptions, [&](const interruption& fault) {
                return now < start_time + fault.to * m_scenario.window;
            });
        return !has_pending_interruption && std::ranges::all_of(m_daemons, [&](const simulated_daemon& daemon) {
            const auto status = daemon.engine->status(m_move_name, local_time(daemon, now));
            return status->is_final && status->verdict == m_daemons[0].verdict;
        });
    }

    void fill_result() {
        m_result.verdicts_agree = true;
        if (m_options.controller == controller_kind::baseline) {
            fill_baseline_result();
        } else {
            const auto status = m_daemons[0].engine->status(m_move_name, start_time);
            m_result.verdict = status->verdict;
            m_result.reason = status->reason;
            m_result.route = status->route;
            m_result.verdicts_agree = std::ranges::all_of(
                m_daemons, [&](const simulated_daemon& daemon) { return daemon.verdict == m_result.verdict; });
            if (status->verdict == move_verdict::rolled_back) {
                m_result.rollback_seconds = absl::ToDoubleSeconds(status->ended_at - start_time);
            } else if (status->ended_at != absl::InfiniteFuture()) {
                m_result.completed_seconds = absl::ToDoubleSeconds(status->ended_at - start_time);
            }
        }
        if (m_result.fault_seconds >= 0) {
            m_result.zero_share_seconds =
                absl::ToDoubleSeconds(m_last_new_version_call - start_time) - m_result.fault_seconds;
        }
    }

    void fill_baseline_result() {
        if (m_baseline.rolled_back_at != absl::InfiniteFuture()) {
            m_result.verdict = move_verdict::rolled_back;
            m_result.rollback_seconds = absl::ToDoubleSeconds(m_baseline.rolled_back_at - start_time);
        } else if (m_baseline.completed_at != absl::InfiniteFuture()) {
            m_result.completed_seconds = absl::ToDoubleSeconds(m_baseline.completed_at - start_time);
            m_result.verdict = m_baseline.completed_at <= start_time + m_scenario.window ? move_verdict::done
                                                                                         : move_verdict::done_late;
        }
    }

    const scenario& m_scenario;
    const run_options& m_options;
    bool m_is_traced;
    std::mt19937_64 m_random;
    std::string m_move_name;
    absl::Duration m_step;
    std::vector<simulated_daemon> m_daemons;
    baseline_controller m_baseline;
    std::optional<move_record> m_stored_progress;
    std::set<std::size_t> m_active_interruptions;
    run_result m_result;
    double m_sent_bytes = 0;
    double m_new_version_responses = 0;
    double m_recent_calls = 0;
    double m_recent_new_calls = 0;
    absl::Time m_last_new_version_call = start_time;
};

} // namespace

run_result run_move(const scenario& row, const run_options& options, bool is_traced) {
    return simulation(row, options, is_traced).run();
}

double exposure_bound(const scenario& row) {
    return 0.1 * row.calls_per_second * absl::ToDoubleSeconds(row.window) + 50;
}

bool has_expected_outcome(const scenario& row, const run_result& result) {
    if (row.is_order && row.expected == expected_outcome::rolled_back &&
        (result.was_completed || result.new_version_calls > exposure_bound(row))) {
        return false;
    }
    if (!result.verdicts_agree || result.has_reverted) {
        return false;
    }
    switch (row.expected) {
    case expected_outcome::rolled_back:
        return result.verdict == move_verdict::rolled_back;
    case expected_outcome::done_in_time:
        return result.verdict == move_verdict::done;
    case expected_outcome::done:
        break;
    }
    return result.verdict == move_verdict::done || result.verdict == move_verdict::done_late;
}

} // namespace amaranthladder::bench
