#include "quota/quota_view.h"

#include "common/stable_hash.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthladder {

namespace {

/// Time for which the largest number of members counts, so that a daemon that forgets the others grants no more.
constexpr absl::Duration size_memory = absl::Minutes(10);

/// Time in which a daemon that starts learns of those that run already: 1.3 s at 100 daemons (docs/CAPACITY.md, S2).
constexpr absl::Duration learn_time = absl::Seconds(2);

/// Rank of a member for a tenant: the highest one wins.
std::uint64_t score(std::uint64_t member_hash, std::uint64_t tenant_hash) {
    std::uint64_t hash = member_hash ^ (tenant_hash * 0x9e3779b97f4a7c15ULL);
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

quota_view::quota_view(const endpoint& self)
    : m_self(self), m_self_hash(stable_hash(to_string(self))), m_members{{self, m_self_hash, member_state::alive}} {}

void quota_view::update(const std::vector<member>& members, absl::Time now) {
    std::vector<ranked> changed{{m_self, m_self_hash, member_state::alive, absl::InfinitePast()}};
    std::set<endpoint> lost;
    std::set<endpoint> dead;
    std::size_t alive = 1;
    // Members that this daemon learns of when it starts may have run for long.
    const bool may_join = m_first_update && now - *m_first_update > learn_time;
    for (const member& known : members) {
        const auto found = m_known.find(known.address);
        if (known.address == m_self) {
            continue;
        }
        if (known.state == member_state::left) {
            if (found != m_known.end()) {
                // It no longer grants, so its part of the fleet is free at once.
                m_size -= m_size > 1 ? 1 : 0;
                m_known.erase(found);
            }
            continue;
        }
        const absl::Time joined_at = found != m_known.end() ? found->second : may_join ? now : absl::InfinitePast();
        m_last_new = found == m_known.end() ? now : m_last_new;
        m_known[known.address] = joined_at;
        if (known.state != member_state::alive) {
            lost.insert(known.address);
        }
        if (known.state == member_state::dead) {
            dead.insert(known.address);
        }
        alive += known.state == member_state::alive ? 1 : 0;
        changed.push_back({known.address, stable_hash(to_string(known.address)), known.state, joined_at});
    }
    if (!std::ranges::includes(m_lost, lost)) {
        m_last_loss = now;
    }
    if (!m_first_update && changed.size() > 1) {
        m_first_update = now;
    }
    m_alive = alive;
    m_lost = std::move(lost);
    m_dead = std::move(dead);
    if (changed.size() >= m_size || now - m_size_time > size_memory) {
        m_size = changed.size();
        m_size_time = now;
    }
    if (changed != m_members) {
        m_members = std::move(changed);
        m_rankings.clear();
        ++m_version;
    }
}

quota_candidates quota_view::candidates(const std::string& tenant,
                                        absl::FunctionRef<bool(const endpoint&)> is_silent) const {
    const ranking& best = rank(tenant);
    quota_candidates result;
    result.coordinator = best[0]->address;
    for (std::size_t place = 1; place < best.size() && best[place] != nullptr && !result.second; ++place) {
        if (best[place]->state == member_state::alive && !is_silent(best[place]->address)) {
            result.second = best[place]->address;
        }
    }
    if (!result.second && best[1] != nullptr) {
        result.second = best[1]->address;
    }
    return result;
}

const quota_view::ranking& quota_view::rank(const std::string& tenant) const {
    const auto known = m_rankings.find(tenant);
    if (known != m_rankings.end()) {
        return known->second;
    }
    const std::uint64_t tenant_hash = stable_hash(tenant);
    std::array<std::uint64_t, ranks_considered> scores{};
    ranking best{};
    for (const ranked& candidate : m_members) {
        if (candidate.state == member_state::dead) {
            continue;
        }
        const ranked* next = &candidate;
        std::uint64_t next_score = score(candidate.hash, tenant_hash);
        for (std::size_t place = 0; place < best.size() && next != nullptr; ++place) {
            if (best[place] == nullptr || next_score > scores[place]) {
                std::swap(best[place], next);
                std::swap(scores[place], next_score);
            }
        }
    }
    return m_rankings.emplace(tenant, best).first->second;
}

std::optional<endpoint> quota_view::successor(const std::string& tenant, absl::Time now) const {
    std::optional<endpoint> result;
    for (const ranked* const candidate : rank(tenant)) {
        if (candidate == nullptr || candidate->address == m_self || candidate->state != member_state::alive) {
            continue;
        }
        if (now - candidate->joined_at > newcomer_time) {
            return candidate->address;
        }
        if (!result) {
            result = candidate->address;
        }
    }
    return result;
}

std::vector<endpoint> quota_view::best_others(const std::string& tenant, std::size_t count) const {
    std::vector<endpoint> result;
    for (const ranked* const candidate : rank(tenant)) {
        if (candidate != nullptr && candidate->address != m_self && candidate->state == member_state::alive &&
            result.size() < count) {
            result.push_back(candidate->address);
        }
    }
    return result;
}

bool quota_view::is_above(const endpoint& other, const std::string& tenant) const {
    const std::uint64_t tenant_hash = stable_hash(tenant);
    return score(stable_hash(to_string(other)), tenant_hash) > score(m_self_hash, tenant_hash);
}

bool quota_view::is_member(const endpoint& address) const {
    return address == m_self || (m_known.contains(address) && !m_dead.contains(address));
}

std::vector<quota_view::rival> quota_view::rivals(const std::string& tenant) const {
    const std::uint64_t tenant_hash = stable_hash(tenant);
    const std::uint64_t own_score = score(m_self_hash, tenant_hash);
    std::vector<rival> result;
    for (const ranked& other : m_members) {
        if (score(other.hash, tenant_hash) > own_score) {
            result.push_back({other.address, other.state, other.joined_at});
        }
    }
    return result;
}

const endpoint* quota_view::random_other(absl::BitGenRef random) const {
    // Few members are dead, so few draws suffice; without a hit the caller tries again later.
    for (int draw = 0; draw < 4 && m_members.size() > 1; ++draw) {
        const ranked& drawn = m_members[absl::Uniform<std::size_t>(random, 1, m_members.size())];
        if (drawn.state == member_state::alive) {
            return &drawn.address;
        }
    }
    return nullptr;
}

} // namespace amaranthladder
