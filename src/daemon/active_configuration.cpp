#include "daemon/active_configuration.h"

#include "common/error.h"
#include "config/snapshot_delta.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

active_configuration::active_configuration(listener on_applied) : m_on_applied(std::move(on_applied)) {}

pull_outcome active_configuration::apply_update(const std::string& bytes) {
    const absl::MutexLock apply_lock(&m_apply_mutex);
    return finish_apply(m_holder.offer_update(bytes));
}

pull_outcome active_configuration::apply_encoded(std::string_view bytes, std::string_view hash) {
    const absl::MutexLock apply_lock(&m_apply_mutex);
    try {
        return finish_apply(m_holder.offer(snapshot::decode(bytes, hash)));
    } catch (const error&) {
        return pull_outcome::bad_content;
    }
}

pull_outcome active_configuration::apply(std::shared_ptr<const snapshot> offered) {
    const absl::MutexLock apply_lock(&m_apply_mutex);
    return finish_apply(m_holder.offer(std::move(offered)));
}

std::string active_configuration::update_since(const configuration_digest& held) const {
    std::string base_bytes;
    std::shared_ptr<const snapshot> target;
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_current || m_current->version() <= held.version) {
            return {};
        }
        target = m_current;
        const auto found = std::ranges::find_if(m_delta_bases, [&](const delta_base& kept) {
            return kept.version == held.version && kept.hash.starts_with(held.hash);
        });
        base_bytes = found == m_delta_bases.end() ? "" : found->bytes;
    }
    const std::shared_ptr<const snapshot> base = base_bytes.empty() ? nullptr : snapshot::decode(base_bytes);
    return snapshot_delta::encode(base.get(), *target);
}

std::shared_ptr<const snapshot> active_configuration::current() const {
    const absl::MutexLock lock(&m_mutex);
    return m_current;
}

std::optional<snapshot_refusal> active_configuration::last_refusal() const {
    const absl::MutexLock lock(&m_mutex);
    return m_refusal;
}

pull_outcome active_configuration::finish_apply(const offer_result& result) {
    const std::shared_ptr<const snapshot> in_force = m_holder.current();
    {
        const absl::MutexLock lock(&m_mutex);
        m_refusal = m_holder.last_refusal();
        if (result.outcome == offer_outcome::applied) {
            if (m_current) {
                m_delta_bases.push_back({m_current->version(), m_current->hash(), m_current->canonical_bytes()});
            }
            if (m_delta_bases.size() > max_delta_bases) {
                m_delta_bases.pop_front();
            }
            m_current = in_force;
        }
    }
    switch (result.outcome) {
    case offer_outcome::applied:
        m_on_applied(in_force);
        return pull_outcome::applied;
    case offer_outcome::not_newer:
        return pull_outcome::applied;
    case offer_outcome::needs_full_snapshot:
        return pull_outcome::bad_content;
    case offer_outcome::refused:
        break;
    }
    const bool is_damaged =
        result.code == result_code::snapshot_malformed || result.code == result_code::snapshot_hash_mismatch;
    return is_damaged ? pull_outcome::bad_content : pull_outcome::rejected;
}

} // namespace amaranthladder
