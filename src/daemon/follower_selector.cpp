#include "daemon/follower_selector.h"

#include "common/stable_hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthladder {

namespace {

/// Up to this fleet size every daemon follows the store, regardless of the store's capacity.
constexpr std::size_t min_small_fleet_limit = 16;

constexpr std::array<std::pair<follow_reason, std::string_view>, 5> reason_names{{
    {follow_reason::small_fleet, "small-fleet"},
    {follow_reason::chosen, "chosen"},
    {follow_reason::no_contact, "no-contact"},
    {follow_reason::behind, "behind"},
    {follow_reason::others_follow, "others-follow"},
}};

} // namespace

std::string_view name(follow_reason reason) {
    return std::ranges::find(reason_names, reason, &decltype(reason_names)::value_type::first)->second;
}

follower_selector::follower_selector(endpoint self, std::string data_center, double store_reads_per_second,
                                     absl::Duration max_convergence_time, const follower_selector_policy& policy)
    : m_self(std::move(self)), m_data_center(std::move(data_center)), m_policy(policy),
      m_max_convergence_time(max_convergence_time),
      m_small_fleet_limit(std::max(min_small_fleet_limit,
                                   static_cast<std::size_t>(store_reads_per_second * policy.change_read_fraction))) {}

bool follower_selector::update_members(const std::vector<member>& alive) {
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    for (const member& peer : alive) {
        if (peer.data_center == m_data_center) {
            ranked.emplace_back(stable_hash(to_string(peer.address)), peer.address);
        }
    }
    std::ranges::sort(ranked);
    ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(m_policy.followers_per_data_center)));
    m_is_small_fleet = alive.size() <= m_small_fleet_limit || m_max_convergence_time <= absl::ZeroDuration();
    std::vector<endpoint> followers;
    if (!m_is_small_fleet) {
        std::ranges::transform(ranked, std::back_inserter(followers),
                               [](const auto& ranked_peer) { return ranked_peer.second; });
        if (std::ranges::find(followers, m_self) != followers.end()) {
            followers.clear();
        }
    }
    const bool is_changed = followers != m_followers;
    m_followers = std::move(followers);
    return is_changed;
}

void follower_selector::record_versions(std::uint64_t held, std::uint64_t heard, absl::Time now) {
    m_behind_since = heard > held ? std::min(m_behind_since, now) : absl::InfiniteFuture();
}

follow_reason follower_selector::reason(absl::Duration silence, absl::Time now) const {
    if (m_followers.empty()) {
        return m_is_small_fleet ? follow_reason::small_fleet : follow_reason::chosen;
    }
    if (silence > m_max_convergence_time * m_policy.contact_timeout_fraction) {
        return follow_reason::no_contact;
    }
    const bool is_behind = now - m_behind_since > m_max_convergence_time * m_policy.lag_timeout_fraction;
    return is_behind ? follow_reason::behind : follow_reason::others_follow;
}

bool follower_selector::may_delay_watch(int rank) const {
    const bool is_chosen = !m_is_small_fleet && m_followers.empty();
    return !is_chosen && rank >= m_policy.immediate_followers;
}

} // namespace amaranthladder
