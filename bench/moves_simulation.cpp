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
const std::string move_name = "kiln";
const absl::Time start_time = absl::FromUnixSeconds(1'800'000'000);
constexpr int route_count = 4;
constexpr std::size_t piggyback_bytes = 1'000; ///< Of a datagram of 1,200 bytes.
constexpr double loss_rate = 0.01;
constexpr double median_latency_ms = 20;
constexpr double latency_spread = 0.5; ///< Standard deviation of the logarithm.

std::string route_name(int route) {
    return fmt::format("route-{}", route);
}

/// The fixed schedule that the engine is compared with: equal steps over 80% of the window and a plain threshold on the
/// new version's error rate, read by one controller that knows all calls at once.
class baseline_controller {
public:
    void observe(const call_sample& sample, bool is_new) {
        if (is_new) {
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
    bool is_first_class = false; ///< Progress and urgent evidence go ahead of other evidence.
    int sends_left = 0;
};

struct simulated_daemon {
    std::unique_ptr<move_engine> engine;
    absl::Duration clock_offset;
    std::uint64_t incarnation = 1;
    absl::Time next_probe;
    absl::Time next_repair;
    std::map<std::string, queued_record> queue;
    bool is_paused = false;
    bool is_avoided = false;
    int side_of_partition = 0;
    move_verdict verdict = move_verdict::under_way;
    std::string state;
};

class simulation {
public:
    simulation(const scenario& row, const run_options& options, bool is_traced)
        : m_row(row), m_options(options), m_is_traced(is_traced), m_random(options.seed),
          m_step(std::clamp(row.window / 6'000, absl::Milliseconds(100), absl::Seconds(2))) {
        const std::size_t count = row.old_owners + row.new_owners;
        m_daemons.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            simulated_daemon& daemon = m_daemons[index];
            daemon.clock_offset = absl::Seconds((2 * uniform() - 1) * row.clock_offset_seconds);
            daemon.next_probe = start_time + absl::Seconds(uniform());
            daemon.next_repair = start_time + absl::Seconds(10 * uniform());
            start(index, start_time);
        }
    }

    run_result run() {
        const absl::Time deadline = start_time + m_row.window;
        const absl::Time end = deadline + absl::Minutes(45);
        int settled = 0;
        for (absl::Time now = start_time; now < end && settled < 20; now += m_step) {
            apply_interruptions(now);
            make_calls(now);
            tick(now);
            gossip(now);
            // A final verdict that all daemons have heard of does not change by waiting; the last steps check that.
            settled = is_settled(now) ? settled + 1 : 0;
            m_result.control_bytes_per_daemon_second =
                m_bytes / absl::ToDoubleSeconds(now + m_step - start_time) / static_cast<double>(m_daemons.size());
        }
        finish();
        return m_result;
    }

private:
    double uniform() {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    std::size_t below(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    bool is_new(std::size_t daemon) const {
        return daemon >= m_row.old_owners;
    }

    absl::Time clock(const simulated_daemon& daemon, absl::Time now) const {
        return now + daemon.clock_offset;
    }

    void start(std::size_t index, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        daemon.queue.clear();
        if (m_options.moved_by == mover::baseline) {
            return;
        }
        daemon.engine =
            std::make_unique<move_engine>(fmt::format("host-{}", index), daemon.incarnation, m_options.policy);
        move declared;
        declared.name = move_name;
        declared.service = service_name;
        declared.from_version = "1";
        declared.to_version = "2";
        declared.deadline = start_time + m_row.window;
        declared.introduced_in = 7;
        daemon.engine->set_upstream(service_name, is_new(index) ? "2" : "1", clock(daemon, now));
        daemon.engine->set_moves({{move_name, declared}}, clock(daemon, now));
        if (!m_row.is_store_down && m_stored) {
            daemon.engine->merge_remote(*m_stored, clock(daemon, now));
        }
    }

    void apply_interruptions(absl::Time now) {
        for (std::size_t number = 0; number < m_row.interruptions.size(); ++number) {
            const interruption& fault = m_row.interruptions[number];
            const bool is_on =
                now >= start_time + fault.from * m_row.window && now < start_time + fault.to * m_row.window;
            const bool was_on = m_active.contains(number);
            if (is_on == was_on) {
                continue;
            }
            is_on ? m_active.insert(number).first : m_active.erase(m_active.find(number));
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                if (fault.concerns(index)) {
                    apply(fault, index, is_on, now);
                }
            }
        }
    }

    void apply(const interruption& fault, std::size_t index, bool is_on, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        switch (fault.what) {
        case interruption::kind::restart:
            if (is_on) {
                daemon.incarnation += 1;
                start(index, now);
            }
            break;
        case interruption::kind::pause:
            daemon.is_paused = is_on;
            break;
        case interruption::kind::partition:
            daemon.side_of_partition = is_on ? 1 : 0;
            break;
        case interruption::kind::hint_down:
            daemon.is_avoided = is_on;
            break;
        }
    }

    bool can_reach(std::size_t from, std::size_t to) const {
        return !m_daemons[from].is_paused && !m_daemons[to].is_paused &&
               m_daemons[from].side_of_partition == m_daemons[to].side_of_partition;
    }

    std::optional<std::size_t> pick_owner(std::size_t entry, bool of_new) {
        std::vector<std::size_t> usable;
        std::vector<std::size_t> avoided;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (is_new(index) == of_new && can_reach(entry, index)) {
                (m_daemons[index].is_avoided ? avoided : usable).push_back(index);
            }
        }
        const auto& candidates = usable.empty() ? avoided : usable;
        return candidates.empty() ? std::nullopt : std::optional(candidates[below(candidates.size())]);
    }

    double new_share(std::size_t entry) const {
        if (m_options.moved_by == mover::baseline) {
            return m_baseline.share;
        }
        return m_daemons[entry].engine->share_override().at(service_name).at("2");
    }

    void make_calls(absl::Time now) {
        std::vector<double> shares;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            shares.push_back(new_share(index));
            if (m_new_answers < 20) {
                m_result.unproven_share = std::max(m_result.unproven_share, shares.back());
            }
        }
        const double expected = m_row.calls_per_second * absl::ToDoubleSeconds(m_step);
        const int calls = std::poisson_distribution<>(expected)(m_random);
        int new_calls = 0;
        for (int call = 0; call < calls; ++call) {
            const std::size_t entry = below(m_daemons.size());
            if (m_daemons[entry].is_paused) {
                continue;
            }
            bool of_new = uniform() < shares[entry];
            std::optional<std::size_t> owner = pick_owner(entry, of_new);
            if (owner && of_new && m_daemons[*owner].engine && m_daemons[*owner].engine->refuses(service_name, "2")) {
                // An accurate "not run": the entry tries the other version.
                of_new = false;
                owner = pick_owner(entry, false);
            }
            if (!owner) {
                of_new = !of_new;
                owner = pick_owner(entry, of_new);
            }
            if (owner) {
                new_calls += of_new ? 1 : 0;
                answer(*owner, of_new, now + uniform() * m_step);
            }
        }
        const double kept = std::exp2(-absl::ToDoubleSeconds(m_step));
        m_recent_calls = kept * m_recent_calls + calls;
        m_recent_new = kept * m_recent_new + new_calls;
    }

    void answer(std::size_t owner, bool of_new, absl::Time when) {
        call_context context;
        context.side = of_new ? move_side::new_version : move_side::old_version;
        context.route = uniform() < 0.5 ? 0 : 1 + static_cast<int>(below(route_count - 1));
        context.seconds = absl::ToDoubleSeconds(when - start_time);
        context.window = absl::ToDoubleSeconds(m_row.window);
        context.share = m_recent_calls > 0 ? m_recent_new / m_recent_calls : 0;
        context.owner = owner;
        const behaviour expected = m_row.answers(context);
        call_sample sample{service_name, of_new ? "2" : "1", route_name(context.route), call_outcome::good, {}, when};
        const double draw = uniform();
        if (draw < expected.failure_rate) {
            sample.outcome = call_outcome::failed;
        } else if (draw < expected.failure_rate + expected.refusal_rate) {
            sample.outcome = call_outcome::refused;
        }
        sample.latency = absl::Milliseconds(median_latency_ms * expected.slowness *
                                            std::exp(latency_spread * std::normal_distribution<>()(m_random)));
        if (m_options.recorded_calls != nullptr) {
            constexpr std::array<const char*, 3> outcomes{"good", "failed", "refused"};
            *m_options.recorded_calls += fmt::format(
                "{:.3f},{},{},{},{}\n", context.seconds, sample.version, sample.route,
                outcomes.at(static_cast<std::size_t>(sample.outcome)), absl::ToInt64Microseconds(sample.latency));
        }
        if (of_new) {
            m_new_answers += 1;
            note_fault(context, expected, sample, when);
        }
        if (m_options.moved_by == mover::baseline) {
            m_baseline.observe(sample, of_new);
            return;
        }
        sample.now = clock(m_daemons[owner], when);
        m_daemons[owner].engine->observe(sample);
    }

    /// Notes answers that show a fault which the old version does not have.
    void note_fault(call_context context, const behaviour& expected, const call_sample& sample, absl::Time when) {
        m_result.new_calls += 1;
        m_last_new_call = when;
        context.side = move_side::old_version;
        const behaviour of_old = m_row.answers(context);
        const bool is_bad =
            (expected.failure_rate > 2 * of_old.failure_rate && sample.outcome == call_outcome::failed) ||
            (expected.refusal_rate > of_old.refusal_rate && sample.outcome == call_outcome::refused) ||
            expected.slowness > of_old.slowness;
        if (is_bad && m_result.fault_seconds < 0) {
            m_result.fault_seconds = absl::ToDoubleSeconds(when - start_time);
        }
        m_result.exposed_calls += m_result.fault_seconds >= 0 ? 1 : 0;
    }

    void tick(absl::Time now) {
        if (m_options.moved_by == mover::baseline) {
            m_baseline.tick(now, m_row.window);
            return;
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            simulated_daemon& daemon = m_daemons[index];
            if (daemon.is_paused) {
                continue;
            }
            for (const move_record& record : daemon.engine->tick(clock(daemon, now))) {
                enqueue(daemon, record);
                store(record);
                if (record.is_urgent() && m_options.sends_urgent_directly) {
                    send_to_all(index, record, now);
                }
            }
            note_state(index, now);
        }
    }

    void store(const move_record& record) {
        if (!m_row.is_store_down && std::holds_alternative<move_progress>(record.content)) {
            m_stored = m_stored ? merge(*m_stored, record) : record;
        }
    }

    void note_state(std::size_t index, absl::Time now) {
        simulated_daemon& daemon = m_daemons[index];
        const auto status = daemon.engine->status(move_name, clock(daemon, now));
        m_result.has_reverted = m_result.has_reverted || (status->verdict < daemon.verdict && daemon.incarnation == 1);
        daemon.verdict = status->verdict;
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

    void gossip(absl::Time now) {
        if (m_options.moved_by == mover::baseline) {
            return;
        }
        for (std::size_t from = 0; from < m_daemons.size(); ++from) {
            simulated_daemon& daemon = m_daemons[from];
            if (daemon.is_paused) {
                continue;
            }
            while (daemon.next_probe <= now) {
                daemon.next_probe = std::max(daemon.next_probe + absl::Seconds(1), now - absl::Seconds(1));
                const std::size_t to = other_than(from);
                if (can_reach(from, to)) {
                    deliver(from, to, take_piggyback(daemon), now);
                    deliver(to, from, take_piggyback(m_daemons[to]), now);
                }
            }
            if (daemon.next_repair <= now) {
                daemon.next_repair = now + absl::Seconds(10);
                repair(from, other_than(from), now);
            }
        }
    }

    std::size_t other_than(std::size_t index) {
        const std::size_t other = below(m_daemons.size() - 1);
        return other < index ? other : other + 1;
    }

    std::vector<std::string> take_piggyback(simulated_daemon& daemon) {
        std::vector<queued_record*> order;
        for (auto& [key, record] : daemon.queue) {
            order.push_back(&record);
        }
        std::ranges::sort(order, [](const queued_record* left, const queued_record* right) {
            return std::pair(left->is_first_class, left->sends_left) >
                   std::pair(right->is_first_class, right->sends_left);
        });
        std::vector<std::string> taken;
        std::size_t bytes = 0;
        for (queued_record* record : order) {
            if (bytes + record->bytes.size() > piggyback_bytes) {
                break;
            }
            bytes += record->bytes.size();
            taken.push_back(record->bytes);
            record->sends_left -= 1;
        }
        std::erase_if(daemon.queue, [](const auto& entry) { return entry.second.sends_left <= 0; });
        return taken;
    }

    void deliver(std::size_t from, std::size_t to, const std::vector<std::string>& records, absl::Time now) {
        for (const std::string& bytes : records) {
            m_bytes += static_cast<double>(bytes.size());
        }
        if (!can_reach(from, to) || uniform() < loss_rate) {
            return;
        }
        for (const std::string& bytes : records) {
            receive(m_daemons[to], move_record::decode(bytes), now);
        }
    }

    void receive(simulated_daemon& daemon, const move_record& record, absl::Time now) {
        if (daemon.engine->merge_remote(record, clock(daemon, now)) &&
            std::holds_alternative<move_call_counts>(record.content)) {
            enqueue(daemon, record); // Progress is sent on by the engine's next tick.
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
        if (m_options.moved_by == mover::baseline) {
            return now > start_time + m_row.window + absl::Minutes(1);
        }
        const bool has_late_interruption = std::ranges::any_of(
            m_row.interruptions, [&](const interruption& fault) { return now < start_time + fault.to * m_row.window; });
        return !has_late_interruption && std::ranges::all_of(m_daemons, [&](const simulated_daemon& daemon) {
            const auto status = daemon.engine->status(move_name, clock(daemon, now));
            return status->is_final && status->verdict == m_daemons[0].verdict;
        });
    }

    void finish() {
        m_result.is_agreed = true;
        if (m_options.moved_by == mover::baseline) {
            finish_baseline();
        } else {
            const auto status = m_daemons[0].engine->status(move_name, start_time);
            m_result.verdict = status->verdict;
            m_result.reason = status->reason;
            m_result.route = status->route;
            m_result.is_agreed = std::ranges::all_of(
                m_daemons, [&](const simulated_daemon& daemon) { return daemon.verdict == m_result.verdict; });
            if (status->verdict == move_verdict::rolled_back) {
                m_result.verdict_seconds = absl::ToDoubleSeconds(status->ended_at - start_time);
            } else if (status->ended_at != absl::InfiniteFuture()) {
                m_result.completed_seconds = absl::ToDoubleSeconds(status->ended_at - start_time);
            }
        }
        if (m_result.fault_seconds >= 0) {
            m_result.zero_seconds = absl::ToDoubleSeconds(m_last_new_call - start_time) - m_result.fault_seconds;
        }
    }

    void finish_baseline() {
        if (m_baseline.rolled_back_at != absl::InfiniteFuture()) {
            m_result.verdict = move_verdict::rolled_back;
            m_result.verdict_seconds = absl::ToDoubleSeconds(m_baseline.rolled_back_at - start_time);
        } else if (m_baseline.completed_at != absl::InfiniteFuture()) {
            m_result.completed_seconds = absl::ToDoubleSeconds(m_baseline.completed_at - start_time);
            m_result.verdict =
                m_baseline.completed_at <= start_time + m_row.window ? move_verdict::done : move_verdict::done_late;
        }
    }

    const scenario& m_row;
    const run_options& m_options;
    bool m_is_traced;
    std::mt19937_64 m_random;
    absl::Duration m_step;
    std::vector<simulated_daemon> m_daemons;
    baseline_controller m_baseline;
    std::optional<move_record> m_stored;
    std::set<std::size_t> m_active;
    run_result m_result;
    double m_bytes = 0;
    double m_new_answers = 0;
    double m_recent_calls = 0;
    double m_recent_new = 0;
    absl::Time m_last_new_call = start_time;
};

} // namespace

run_result run_move(const scenario& row, const run_options& options, bool is_traced) {
    return simulation(row, options, is_traced).run();
}

bool is_as_expected(const scenario& row, const run_result& result) {
    if (!result.is_agreed || result.has_reverted) {
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
