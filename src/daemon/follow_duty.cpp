#include "daemon/follow_duty.h"

#include "common/stable_hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthladder {

namespace {

/// A fleet of this size follows as a whole, whatever the store serves.
constexpr std::size_t least_small_fleet = 16;

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

follow_duty::follow_duty(endpoint self, std::string data_center, double store_reads_per_second,
                         absl::Duration configuration_time, const follow_duty_policy& policy)
    : m_self(std::move(self)), m_data_center(std::move(data_center)), m_policy(policy),
      m_configuration_time(configuration_time),
      m_small_fleet(
          std::max(least_small_fleet, static_cast<std::size_t>(store_reads_per_second * policy.change_share))) {}

bool follow_duty::set_members(const std::vector<member>& alive) {
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    for (const member& one : alive) {
        if (one.data_center == m_data_center) {
            ranked.emplace_back(stable_hash(to_string(one.address)), one.address);
        }
    }
    std::ranges::sort(ranked);
    ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(m_policy.followers_per_data_center)));
    m_is_small = alive.size() <= m_small_fleet || m_configuration_time <= absl::ZeroDuration();
    std::vector<endpoint> followers;
    if (!m_is_small) {
        std::ranges::transform(ranked, std::back_inserter(followers), [](const auto& one) { return one.second; });
        if (std::ranges::find(followers, m_self) != followers.end()) {
            followers.clear();
        }
    }
    const bool is_changed = followers != m_followers;
    m_followers = std::move(followers);
    return is_changed;
}

void follow_duty::note_versions(std::uint64_t held, std::uint64_t heard, absl::Time now) {
    m_behind_since = heard > held ? std::min(m_behind_since, now) : absl::InfiniteFuture();
}

follow_reason follow_duty::reason(absl::Duration silence, absl::Time now) const {
    if (m_followers.empty()) {
        return m_is_small ? follow_reason::small_fleet : follow_reason::chosen;
    }
    if (silence > m_configuration_time * m_policy.contact_share) {
        return follow_reason::no_contact;
    }
    const bool is_behind = now - m_behind_since > m_configuration_time * m_policy.lag_share;
    return is_behind ? follow_reason::behind : follow_reason::others_follow;
}

bool follow_duty::may_rest(int turn) const {
    const bool is_chosen = !m_is_small && m_followers.empty();
    return !is_chosen && turn >= m_policy.prompt_followers;
}

} // namespace amaranthladder
