#include "daemon/order_service.h"

#include "moves/move_policy.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Daemons that check whether the store has lost a report, in turn: more than one, since the first may be cut off from
/// it.
constexpr int max_lost_report_writers = 3;

} // namespace

order_service::order_service(absl::Duration margin) : m_order_table(margin) {}

std::optional<move_order> order_service::merge(const move_order& order) {
    const absl::MutexLock lock(&m_mutex);
    std::optional<move_order> changed = m_order_table.merge(order);
    if (changed && changed->is_final()) {
        m_progress.erase(changed->service);
    }
    return changed;
}

std::optional<move_order> order_service::find(const std::string& service) const {
    const absl::MutexLock lock(&m_mutex);
    const auto held = m_order_table.orders().find(service);
    return held == m_order_table.orders().end() ? std::nullopt : std::optional(held->second);
}

bool order_service::is_empty() const {
    const absl::MutexLock lock(&m_mutex);
    return m_order_table.orders().empty();
}

bool order_service::has_pending_order() const {
    const absl::MutexLock lock(&m_mutex);
    return std::ranges::any_of(m_order_table.orders(), [](const auto& entry) { return !entry.second.is_final(); });
}

std::map<std::string, move> order_service::moves() const {
    const absl::MutexLock lock(&m_mutex);
    return m_order_table.moves();
}

std::map<std::string, std::map<std::string, double>> order_service::final_shares() const {
    const absl::MutexLock lock(&m_mutex);
    return m_order_table.final_shares();
}

bool order_service::mark_idle(const std::string& service, std::uint64_t order, const std::string& upstream_id) {
    const absl::MutexLock lock(&m_mutex);
    return m_idle_upstreams[{service, order}].insert(upstream_id).second;
}

void order_service::update_progress(const std::vector<move_status>& statuses,
                                    const std::vector<upstream_record>& upstreams, int rank, absl::Time now) {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [service, order] : m_order_table.orders()) {
        if (order.is_final()) {
            continue;
        }
        const auto status = std::ranges::find_if(statuses, [&order = order](const move_status& candidate) {
            return candidate.service == order.service && candidate.identity.introduced_in == order.introduced_in;
        });
        if (status == statuses.end()) {
            continue;
        }
        progress& known = m_progress[service];
        known.state.report_rank = rank;
        known.state.is_rolled_back = status->verdict == move_verdict::rolled_back;
        // The full share is observed for faults before the completion; the old upstreams must run until then.
        const bool has_full_share = status->share >= 1 && status->stage >= move_policy::completed_stage;
        known.state.full_share_since =
            has_full_share ? std::min(known.state.full_share_since, now) : absl::InfiniteFuture();
        known.state.is_old_version_idle = has_full_share && are_old_upstreams_idle(order, upstreams);
        const order_report outcome = outcome_of(order, known.state, now);
        if (outcome != known.outcome) {
            known.outcome = outcome;
            known.state.outcome_since = now;
        }
    }
}

bool order_service::are_old_upstreams_idle(const move_order& order,
                                           const std::vector<upstream_record>& upstreams) const {
    const auto idle = m_idle_upstreams.find({order.service, order.introduced_in});
    return std::ranges::all_of(upstreams, [&](const upstream_record& upstream) {
        return upstream.service != order.service || upstream.version == order.to_version ||
               (idle != m_idle_upstreams.end() && idle->second.contains(upstream.id));
    });
}

std::optional<move_order> order_service::superseding_order(const std::string& service,
                                                           const std::string& version) const {
    const absl::MutexLock lock(&m_mutex);
    const auto order = m_order_table.orders().find(service);
    if (order == m_order_table.orders().end() || order->second.to_version == version) {
        return std::nullopt;
    }
    if (order->second.reported == order_report::completed) {
        return order->second;
    }
    const auto known = m_progress.find(service);
    const bool has_full_share =
        known != m_progress.end() && known->second.state.full_share_since < absl::InfiniteFuture();
    return has_full_share ? std::optional(order->second) : std::nullopt;
}

void order_service::on_reports_lost(int rank, absl::Time now) {
    if (rank >= max_lost_report_writers) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [service, order] : m_order_table.orders()) {
        if (order.reported != order_report::none) {
            m_lost_reports[service] = now + rank * order_policy().report_stagger;
        }
    }
}

void order_service::on_report_written(const move_order& order) {
    const absl::MutexLock lock(&m_mutex);
    m_lost_reports.erase(order.service);
}

std::vector<move_order> order_service::due_reports(absl::Time now) const {
    const absl::MutexLock lock(&m_mutex);
    std::vector<move_order> due;
    for (const auto& [service, known] : m_progress) {
        move_order order = m_order_table.orders().at(service);
        if (is_report_due(order, known.outcome, known.state, now)) {
            order.reported = known.outcome;
            due.push_back(std::move(order));
        }
    }
    for (const auto& [service, check_at] : m_lost_reports) {
        const move_order& order = m_order_table.orders().at(service);
        const bool is_due_anyway = std::ranges::find(due, service, &move_order::service) != due.end();
        if (now >= check_at && order.reported != order_report::none && !is_due_anyway) {
            due.push_back(order);
        }
    }
    return due;
}

} // namespace amaranthladder
