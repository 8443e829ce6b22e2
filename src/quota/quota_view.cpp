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
    std::vector<ranked> changed{{m_self, m_self_hash, member_state::alive}};
    std::set<endpoint> lost;
    std::size_t alive = 1;
    for (const member& known : members) {
        if (known.address == m_self || known.state == member_state::left) {
            continue;
        }
        if (known.state != member_state::alive) {
            lost.insert(known.address);
        }
        alive += known.state == member_state::alive ? 1 : 0;
        changed.push_back({known.address, stable_hash(to_string(known.address)), known.state});
    }
    if (alive < m_alive) {
        m_last_loss = now;
    }
    m_alive = alive;
    m_lost = std::move(lost);
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

std::vector<quota_view::rival> quota_view::rivals(const std::string& tenant) const {
    const std::uint64_t tenant_hash = stable_hash(tenant);
    const std::uint64_t own_score = score(m_self_hash, tenant_hash);
    std::vector<rival> result;
    for (const ranked& other : m_members) {
        if (score(other.hash, tenant_hash) > own_score) {
            result.push_back({other.address, other.state});
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
