#include "moves/private/call_count_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace amaranthladder {

namespace {

// Routes beyond move_policy::max_routes share this row. It is not a valid route name.
const std::string other_routes = "*";

double increase(std::uint64_t now, std::uint64_t before) {
    return now > before ? static_cast<double>(now - before) : 0;
}

std::vector<std::uint32_t> increase(const std::vector<std::uint32_t>& now, const std::vector<std::uint32_t>& before) {
    std::vector<std::uint32_t> difference = now;
    for (std::size_t index = 0; index < std::min(now.size(), before.size()); ++index) {
        difference[index] -= std::min(now[index], before[index]);
    }
    return difference;
}

} // namespace

call_count_table::call_count_table(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy)
    : m_daemon_id(std::move(daemon_id)), m_incarnation(incarnation), m_policy(policy) {}

void call_count_table::set_has_upstream(move_side side, bool has_upstream) {
    const auto known = m_has_upstream.find(side);
    if (known == m_has_upstream.end() && !has_upstream) {
        return;
    }
    if (known != m_has_upstream.end() && known->second == has_upstream) {
        return;
    }
    m_has_upstream[side] = has_upstream;
    own_row_for(side, "");
    for (auto& [key, row] : m_own) {
        if (key.first == side) {
            row.total.has_upstream = has_upstream;
            row.is_changed = true;
        }
    }
}

void call_count_table::count(move_side side, const std::string& route, call_outcome outcome, absl::Duration latency) {
    own_row& row = own_row_for(side, route);
    row.is_changed = true;
    switch (outcome) {
    case call_outcome::failed:
        row.total.failed += 1;
        row.pending.failed += 1;
        return;
    case call_outcome::refused:
        row.total.refused += 1;
        row.pending.refused += 1;
        return;
    case call_outcome::good:
        break;
    }
    row.total.good += 1;
    row.pending.good += 1;
    const auto index = static_cast<std::size_t>(move_call_counts::latency_bucket(latency));
    for (std::vector<std::uint32_t>* counts : {&row.total.latency, &row.pending.latency}) {
        if (counts->size() <= index) {
            counts->resize(index + 1);
        }
        if ((*counts)[index] < std::numeric_limits<std::uint32_t>::max()) {
            (*counts)[index] += 1;
        }
    }
}

std::vector<call_count_delta> call_count_table::take_own_deltas(absl::Time now) {
    std::vector<call_count_delta> deltas;
    for (auto& [key, row] : m_own) {
        if (row.pending.calls() <= 0) {
            continue;
        }
        row.pending.side = key.first;
        row.pending.route = key.second;
        row.pending.from = m_taken_at;
        row.pending.until = now;
        deltas.push_back(std::exchange(row.pending, {}));
    }
    m_taken_at = now;
    return deltas;
}

bool call_count_table::merge(const move_call_counts& row, absl::Time now, call_count_delta& delta) {
    if (row.contributor == m_daemon_id) {
        return false;
    }
    if (!m_contributors.contains(row.contributor) && m_contributors.size() >= m_policy.max_contributors) {
        prune(now);
        if (m_contributors.size() >= m_policy.max_contributors) {
            return false;
        }
    }
    contributor& sender = m_contributors[row.contributor];
    const auto key = std::pair(row.side, row.route);
    const auto held = sender.rows.find(key);
    if (held == sender.rows.end() && sender.rows.size() >= 2 * (m_policy.max_routes + 2)) {
        return false;
    }
    const bool is_known = held != sender.rows.end() && held->second.incarnation == row.incarnation;
    if (held != sender.rows.end() &&
        std::pair(row.incarnation, row.sequence) <= std::pair(held->second.incarnation, held->second.sequence)) {
        return false;
    }
    const move_call_counts before = is_known ? held->second : move_call_counts{};
    // A new row of a known contributor starts with its first call, which came after the contributor's previous message.
    const absl::Time counted_from = is_known ? before.counted_until : sender.last_counted(row.incarnation);
    sender.clock_offset = std::min(sender.clock_offset, now - row.counted_until);
    sender.received_at = now;
    delta.side = row.side;
    delta.route = row.route;
    delta.from = counted_from + sender.clock_offset;
    delta.until = std::min(now, row.counted_until + sender.clock_offset);
    delta.good = increase(row.good, before.good);
    delta.failed = increase(row.failed, before.failed);
    delta.refused = increase(row.refused, before.refused);
    delta.latency = increase(row.latency, before.latency);
    sender.rows[key] = row;
    return true;
}

std::vector<move_call_counts> call_count_table::take_due(bool is_urgent, bool is_peer_urgent, absl::Time now) {
    const absl::Duration interval = is_urgent || is_peer_urgent ? m_policy.urgent_interval : m_policy.publish_interval;
    std::vector<move_call_counts> due;
    for (auto& [key, row] : m_own) {
        const absl::Duration age = now - row.sent_at;
        const bool is_heartbeat = row.total.has_upstream && age >= m_policy.heartbeat_interval;
        if (age < interval || (!row.is_changed && !is_heartbeat)) {
            continue;
        }
        row.total.sequence = ++m_sequence;
        row.total.counted_until = now;
        row.total.is_urgent = is_urgent && row.is_changed;
        row.is_changed = false;
        row.sent_at = now;
        due.push_back(row.total);
    }
    return due;
}

std::vector<move_call_counts> call_count_table::rows() const {
    std::vector<move_call_counts> result;
    for (const auto& [key, row] : m_own) {
        if (row.total.sequence > 0) {
            result.push_back(row.total);
        }
    }
    for (const auto& [id, sender] : m_contributors) {
        for (const auto& [key, row] : sender.rows) {
            result.push_back(row);
        }
    }
    return result;
}

bool call_count_table::contributor::has_upstream(move_side side) const {
    return std::ranges::any_of(
        rows, [&](const auto& entry) { return entry.first.first == side && entry.second.has_upstream; });
}

absl::Time call_count_table::contributor::last_counted(std::uint64_t incarnation) const {
    absl::Time last = absl::InfinitePast();
    for (const auto& [key, row] : rows) {
        if (row.incarnation == incarnation) {
            last = std::max(last, row.counted_until);
        }
    }
    return last;
}

bool call_count_table::has_recent_upstream(move_side side, absl::Time now) const {
    const auto own_side = m_has_upstream.find(side);
    if (own_side != m_has_upstream.end() && own_side->second) {
        return true;
    }
    return std::ranges::any_of(m_contributors, [&](const auto& entry) {
        return now - entry.second.received_at <= m_policy.contributor_timeout && entry.second.has_upstream(side);
    });
}

bool call_count_table::has_seen(move_side side) const {
    return m_has_upstream.contains(side) || std::ranges::any_of(m_contributors, [&](const auto& entry) {
               return std::ranges::any_of(entry.second.rows, [&](const auto& row) { return row.first.first == side; });
           });
}

bool call_count_table::has_no_upstream(move_side side) const {
    const auto own_side = m_has_upstream.find(side);
    if (own_side != m_has_upstream.end() && own_side->second) {
        return false;
    }
    return std::ranges::none_of(m_contributors, [&](const auto& entry) { return entry.second.has_upstream(side); });
}

std::size_t call_count_table::contributors(absl::Time now) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_contributors, [&](const auto& entry) {
        return now - entry.second.received_at <= m_policy.contributor_timeout;
    }));
}

call_count_table::own_row& call_count_table::own_row_for(move_side side, const std::string& route) {
    auto found = m_own.find({side, route});
    if (found == m_own.end()) {
        const auto used = std::ranges::count_if(m_own, [&](const auto& entry) { return entry.first.first == side; });
        const bool is_full = static_cast<std::size_t>(used) > m_policy.max_routes && !route.empty();
        const std::string& row_name = is_full || route.size() > move_call_counts::max_id_length ? other_routes : route;
        found = m_own.try_emplace({side, row_name}).first;
        move_call_counts& total = found->second.total;
        total.contributor = m_daemon_id;
        total.side = side;
        total.route = row_name;
        total.incarnation = m_incarnation;
    }
    return found->second;
}

void call_count_table::prune(absl::Time now) {
    std::erase_if(m_contributors,
                  [&](const auto& entry) { return now - entry.second.received_at > 4 * m_policy.contributor_timeout; });
}

} // namespace amaranthladder
