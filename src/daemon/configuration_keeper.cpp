#include "daemon/configuration_keeper.h"

#include "common/error.h"
#include "config/snapshot_delta.h"
#include "config/validator.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

configuration_keeper::configuration_keeper(listener on_applied) : m_on_applied(std::move(on_applied)) {}

pull_outcome configuration_keeper::offer_update(const std::string& bytes) {
    const absl::MutexLock applying(&m_apply_mutex);
    try {
        const auto held = current();
        return apply(snapshot_delta::apply(held.get(), bytes));
    } catch (const error& problem) {
        return refuse(0, problem);
    }
}

pull_outcome configuration_keeper::offer_whole(std::string_view bytes, std::string_view hash) {
    const absl::MutexLock applying(&m_apply_mutex);
    try {
        return apply(snapshot::decode(bytes, hash));
    } catch (const error& problem) {
        return refuse(0, problem);
    }
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

std::optional<refused_version> configuration_keeper::last_refusal() const {
    const absl::MutexLock lock(&m_mutex);
    return m_refusal;
}

pull_outcome configuration_keeper::apply(const std::shared_ptr<const snapshot>& candidate) {
    const auto held = current();
    if (held && candidate->version() <= held->version()) {
        return pull_outcome::applied;
    }
    try {
        validator::require_valid(candidate->state());
    } catch (const error& problem) {
        refuse(candidate->version(), problem);
        return pull_outcome::rejected;
    }
    {
        const absl::MutexLock lock(&m_mutex);
        m_snapshots.push_back(candidate);
        if (m_snapshots.size() > kept_snapshots) {
            m_snapshots.pop_front();
        }
        m_refusal.reset();
    }
    m_on_applied(candidate);
    return pull_outcome::applied;
}

pull_outcome configuration_keeper::refuse(std::uint64_t version, const error& problem) {
    const absl::MutexLock lock(&m_mutex);
    m_refusal = refused_version{version, problem.code(), problem.what()};
    return pull_outcome::bad_content;
}

} // namespace amaranthladder
