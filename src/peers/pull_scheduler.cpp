#include "peers/pull_scheduler.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace amaranthladder {

namespace {

constexpr std::size_t max_candidates = 16;

} // namespace

pull_scheduler::pull_scheduler(const peer_settings& settings)
    : m_settings(settings), m_backoff(settings.pull_backoff_initial) {}

void pull_scheduler::receive_digest(const endpoint& peer, const configuration_digest& digest, bool is_near,
                                    absl::Time now, absl::BitGenRef random) {
    m_newest_heard = std::max(m_newest_heard, digest.version);
    if (digest.version <= m_current.version || digest.version == m_rejected || digest.version < m_wanted) {
        return;
    }
    if (digest.version > m_wanted) {
        m_wanted = digest.version;
        m_candidates.clear();
        m_next_pull = std::max(m_next_pull, now + absl::Uniform(random, 0.0, 1.0) * m_settings.pull_jitter);
    }
    const bool is_known = std::ranges::find(m_candidates, peer, &candidate::peer) != m_candidates.end();
    if (!is_known && m_candidates.size() < max_candidates) {
        m_candidates.push_back({peer, is_near});
    }
}

bool pull_scheduler::is_pull_allowed(absl::Time now) const {
    if (m_wanted <= m_current.version || m_candidates.empty() || now < m_next_pull) {
        return false;
    }
    if (m_running.size() >= static_cast<std::size_t>(m_settings.concurrent_pulls)) {
        return false;
    }
    return std::ranges::all_of(m_running, [&](const running_pull& pull) {
        return pull.task.expected_version < m_wanted || pull.started + m_settings.pull_hedge_delay <= now;
    });
}

std::vector<pull_task> pull_scheduler::tick(absl::Time now, absl::BitGenRef random) {
    if (!is_pull_allowed(now)) {
        return {};
    }
    std::shuffle(m_candidates.begin(), m_candidates.end(), random);
    std::stable_partition(m_candidates.begin(), m_candidates.end(), [](const candidate& peer) { return peer.is_near; });
    const auto is_idle = [&](const candidate& peer) {
        return std::ranges::none_of(m_running, [&](const running_pull& pull) { return pull.task.peer == peer.peer; });
    };
    const auto chosen = std::ranges::find_if(m_candidates, is_idle);
    if (chosen == m_candidates.end()) {
        return {};
    }
    const pull_task task{chosen->peer, m_current, m_wanted};
    m_running.push_back({task, now});
    return {task};
}

void pull_scheduler::finish(const pull_task& task, pull_outcome outcome, absl::Time now, absl::BitGenRef random) {
    std::erase_if(m_running, [&](const running_pull& pull) { return pull.task == task; });
    // A pull that left the current version unchanged counts as failed; otherwise it would be repeated at once.
    if (outcome == pull_outcome::applied && m_current.version > task.base.version) {
        m_backoff = m_settings.pull_backoff_initial;
        return;
    }
    if (outcome == pull_outcome::rejected) {
        m_rejected = std::max(m_rejected, task.expected_version);
    }
    std::erase_if(m_candidates,
                  [&](const candidate& peer) { return outcome == pull_outcome::rejected || peer.peer == task.peer; });
    if (m_candidates.empty()) {
        // Versions between the current and the wanted one may be pulled again.
        m_wanted = m_current.version;
    }
    if (outcome == pull_outcome::unreachable && !m_candidates.empty()) {
        // Only the failed peer has to wait. With the growing backoff between different peers as well, four were asked
        // in the 2.5 s in which a configuration must be in force.
        m_next_pull = now + absl::Uniform(random, 0.5, 1.5) * m_settings.pull_backoff_initial;
        return;
    }
    m_next_pull = now + absl::Uniform(random, 0.5, 1.5) * m_backoff;
    m_backoff = std::min(2 * m_backoff, m_settings.pull_backoff_max);
}

bool pull_scheduler::set_current(const configuration_digest& current) {
    if (current.version <= m_current.version) {
        return false;
    }
    m_current = current;
    m_newest_heard = std::max(m_newest_heard, current.version);
    if (m_wanted <= m_current.version) {
        m_wanted = m_current.version;
        m_candidates.clear();
    }
    return true;
}

} // namespace amaranthladder
