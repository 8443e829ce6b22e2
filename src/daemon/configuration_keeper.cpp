#include "daemon/configuration_keeper.h"

#include "common/error.h"
#include "config/snapshot_delta.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

configuration_keeper::configuration_keeper(listener on_applied) : m_on_applied(std::move(on_applied)) {}

pull_outcome configuration_keeper::offer_update(const std::string& bytes) {
    const absl::MutexLock applying(&m_apply_mutex);
    return finish(m_holder.offer_update(bytes));
}

pull_outcome configuration_keeper::offer_whole(std::string_view bytes, std::string_view hash) {
    const absl::MutexLock applying(&m_apply_mutex);
    try {
        return finish(m_holder.offer(snapshot::decode(bytes, hash)));
    } catch (const error&) {
        return pull_outcome::bad_content;
    }
}

pull_outcome configuration_keeper::offer(std::shared_ptr<const snapshot> offered) {
    const absl::MutexLock applying(&m_apply_mutex);
    return finish(m_holder.offer(std::move(offered)));
}

std::string configuration_keeper::update_since(const configuration_digest& held) const {
    std::shared_ptr<const snapshot> base;
    std::shared_ptr<const snapshot> target;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_snapshots.empty() || m_snapshots.back()->version() <= held.version) {
            return {};
        }
        target = m_snapshots.back();
        const auto found = std::ranges::find_if(m_snapshots, [&](const auto& kept) {
            return kept->version() == held.version && kept->hash().starts_with(held.hash);
        });
        base = found == m_snapshots.end() ? nullptr : *found;
    }
    return snapshot_delta::encode(base.get(), *target);
}

std::shared_ptr<const snapshot> configuration_keeper::current() const {
    const absl::MutexLock lock(&m_mutex);
    return m_snapshots.empty() ? nullptr : m_snapshots.back();
}

std::optional<snapshot_refusal> configuration_keeper::last_refusal() const {
    const absl::MutexLock lock(&m_mutex);
    return m_refusal;
}

pull_outcome configuration_keeper::finish(const offer_result& result) {
    const std::shared_ptr<const snapshot> in_force = m_holder.current();
    {
        const absl::MutexLock lock(&m_mutex);
        m_refusal = m_holder.last_refusal();
        if (result.outcome == offer_outcome::applied) {
            m_snapshots.push_back(in_force);
            if (m_snapshots.size() > kept_snapshots) {
                m_snapshots.pop_front();
            }
        }
    }
    switch (result.outcome) {
    case offer_outcome::applied:
        m_on_applied(in_force);
        return pull_outcome::applied;
    case offer_outcome::not_newer:
        return pull_outcome::applied;
    case offer_outcome::needs_whole:
        return pull_outcome::bad_content;
    case offer_outcome::refused:
        break;
    }
    const bool is_damaged =
        result.code == result_code::snapshot_malformed || result.code == result_code::snapshot_hash_mismatch;
    return is_damaged ? pull_outcome::bad_content : pull_outcome::rejected;
}

} // namespace amaranthladder
