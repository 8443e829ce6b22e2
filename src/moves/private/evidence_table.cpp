#include "moves/private/evidence_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace amaranthladder {

namespace {

// Routes beyond the bound share this row; it is not a valid route name.
const std::string other_routes = "*";

double grown(std::uint64_t now, std::uint64_t before) {
    return now > before ? static_cast<double>(now - before) : 0;
}

std::vector<std::uint32_t> grown(const std::vector<std::uint32_t>& now, const std::vector<std::uint32_t>& before) {
    std::vector<std::uint32_t> difference = now;
    for (std::size_t index = 0; index < std::min(now.size(), before.size()); ++index) {
        difference[index] -= std::min(now[index], before[index]);
    }
    return difference;
}

} // namespace

evidence_table::evidence_table(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy)
    : m_daemon_id(std::move(daemon_id)), m_incarnation(incarnation), m_policy(policy) {}

void evidence_table::set_present(move_side side, bool is_present) {
    const auto known = m_is_present.find(side);
    if (known == m_is_present.end() && !is_present) {
        return;
    }
    if (known != m_is_present.end() && known->second == is_present) {
        return;
    }
    m_is_present[side] = is_present;
    own(side, "");
    for (auto& [key, row] : m_own) {
        if (key.first == side) {
            row.total.is_present = is_present;
            row.is_changed = true;
        }
    }
}

void evidence_table::count(move_side side, const std::string& route, call_outcome outcome, absl::Duration latency) {
    own_row& row = own(side, route);
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
    const auto index = static_cast<std::size_t>(move_evidence::latency_class(latency));
    for (std::vector<std::uint32_t>* counts : {&row.total.latency, &row.pending.latency}) {
        if (counts->size() <= index) {
            counts->resize(index + 1);
        }
        if ((*counts)[index] < std::numeric_limits<std::uint32_t>::max()) {
            (*counts)[index] += 1;
        }
    }
}

std::vector<evidence_delta> evidence_table::take_own(absl::Time now) {
    std::vector<evidence_delta> deltas;
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

bool evidence_table::merge(const move_evidence& row, absl::Time now, evidence_delta& delta) {
    if (row.contributor == m_daemon_id) {
        return false;
    }
    if (!m_contributors.contains(row.contributor) && m_contributors.size() >= m_policy.max_contributors) {
        prune(now);
        if (m_contributors.size() >= m_policy.max_contributors) {
            return false;
        }
    }
    contributor& from = m_contributors[row.contributor];
    const auto key = std::pair(row.side, row.route);
    const auto held = from.rows.find(key);
    if (held == from.rows.end() && from.rows.size() >= 2 * (m_policy.max_routes + 2)) {
        return false;
    }
    const bool is_known = held != from.rows.end() && held->second.incarnation == row.incarnation;
    if (held != from.rows.end() &&
        std::pair(row.incarnation, row.sequence) <= std::pair(held->second.incarnation, held->second.sequence)) {
        return false;
    }
    const move_evidence before = is_known ? held->second : move_evidence{};
    // A contributor's further rows start with their first call, which came after its previous message.
    const absl::Time counted_from = is_known ? before.counted_until : from.last_counted(row.incarnation);
    from.offset = std::min(from.offset, now - row.counted_until);
    from.heard_at = now;
    delta.side = row.side;
    delta.route = row.route;
    delta.from = counted_from + from.offset;
    delta.until = std::min(now, row.counted_until + from.offset);
    delta.good = grown(row.good, before.good);
    delta.failed = grown(row.failed, before.failed);
    delta.refused = grown(row.refused, before.refused);
    delta.latency = grown(row.latency, before.latency);
    from.rows[key] = row;
    return true;
}

std::vector<move_evidence> evidence_table::take_due(bool is_urgent, bool is_asked, absl::Time now) {
    const absl::Duration interval = is_urgent || is_asked ? m_policy.urgent_interval : m_policy.publish_interval;
    std::vector<move_evidence> due;
    for (auto& [key, row] : m_own) {
        const absl::Duration age = now - row.sent_at;
        const bool is_heartbeat = row.total.is_present && age >= m_policy.heartbeat;
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

std::vector<move_evidence> evidence_table::rows() const {
    std::vector<move_evidence> result;
    for (const auto& [key, row] : m_own) {
        if (row.total.sequence > 0) {
            result.push_back(row.total);
        }
    }
    for (const auto& [id, from] : m_contributors) {
        for (const auto& [key, row] : from.rows) {
            result.push_back(row);
        }
    }
    return result;
}

bool evidence_table::contributor::is_present(move_side side) const {
    return std::ranges::any_of(rows,
                               [&](const auto& entry) { return entry.first.first == side && entry.second.is_present; });
}

absl::Time evidence_table::contributor::last_counted(std::uint64_t incarnation) const {
    absl::Time last = absl::InfinitePast();
    for (const auto& [key, row] : rows) {
        if (row.incarnation == incarnation) {
            last = std::max(last, row.counted_until);
        }
    }
    return last;
}

bool evidence_table::has_fresh(move_side side, absl::Time now) const {
    const auto own_side = m_is_present.find(side);
    if (own_side != m_is_present.end() && own_side->second) {
        return true;
    }
    return std::ranges::any_of(m_contributors, [&](const auto& entry) {
        return now - entry.second.heard_at <= m_policy.fresh_for && entry.second.is_present(side);
    });
}

bool evidence_table::has_seen(move_side side) const {
    return m_is_present.contains(side) || std::ranges::any_of(m_contributors, [&](const auto& entry) {
               return std::ranges::any_of(entry.second.rows, [&](const auto& row) { return row.first.first == side; });
           });
}

bool evidence_table::is_gone(move_side side) const {
    const auto own_side = m_is_present.find(side);
    if (own_side != m_is_present.end() && own_side->second) {
        return false;
    }
    return std::ranges::none_of(m_contributors, [&](const auto& entry) { return entry.second.is_present(side); });
}

std::size_t evidence_table::contributors(absl::Time now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_contributors, [&](const auto& entry) { return now - entry.second.heard_at <= m_policy.fresh_for; }));
}

evidence_table::own_row& evidence_table::own(move_side side, const std::string& route) {
    auto found = m_own.find({side, route});
    if (found == m_own.end()) {
        const auto used = std::ranges::count_if(m_own, [&](const auto& entry) { return entry.first.first == side; });
        const bool is_full = static_cast<std::size_t>(used) > m_policy.max_routes && !route.empty();
        const std::string& row_name = is_full || route.size() > move_evidence::max_id_length ? other_routes : route;
        found = m_own.try_emplace({side, row_name}).first;
        move_evidence& total = found->second.total;
        total.contributor = m_daemon_id;
        total.side = side;
        total.route = row_name;
        total.incarnation = m_incarnation;
    }
    return found->second;
}

void evidence_table::prune(absl::Time now) {
    std::erase_if(m_contributors,
                  [&](const auto& entry) { return now - entry.second.heard_at > 4 * m_policy.fresh_for; });
}

} // namespace amaranthladder
