#include "routing/tenant_directory.h"

#include "config/key_digest.h"

#include <array>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::array<std::pair<key_refusal, std::string_view>, 3> key_refusal_names{{
    {key_refusal::none, "none"},
    {key_refusal::missing_key, "missing-key"},
    {key_refusal::unknown_key, "unknown-key"},
}};

} // namespace

presented_key read_presented_key(std::span<const std::string_view> values, std::string_view scheme) {
    presented_key result;
    result.is_present = !values.empty();
    if (values.size() != 1) {
        return result;
    }
    std::string_view rest = values.front();
    if (!rest.starts_with(scheme)) {
        return result;
    }
    rest.remove_prefix(scheme.size());
    if (rest.size() > 1 && rest.front() == ' ') {
        result.digest = key_digest(rest.substr(1));
    }
    return result;
}

std::string_view name(key_refusal refusal) {
    for (const auto& [value, text] : key_refusal_names) {
        if (value == refusal) {
            return text;
        }
    }
    return "";
}

tenant_directory::tenant_directory(std::shared_ptr<const intended_state> state) : m_state(std::move(state)) {
    std::size_t keys = 0;
    for (const auto& [name, listed] : m_state->tenants) {
        keys += listed.key_digests.size();
    }
    m_tenant_by_digest.reserve(keys);
    for (const auto& [name, listed] : m_state->tenants) {
        for (const std::string& digest : listed.key_digests) {
            m_tenant_by_digest.emplace(digest, &listed);
        }
    }
}

const tenant* tenant_directory::find(std::string_view digest) const {
    const auto found = m_tenant_by_digest.find(digest);
    return found == m_tenant_by_digest.end() ? nullptr : found->second;
}

tenant_decision tenant_directory::decide(const route& wanted, const presented_key& key) const {
    if (!is_in_use()) {
        return {};
    }
    if (key.is_present) {
        const tenant* const holder = find(key.digest);
        return {holder, holder == nullptr ? key_refusal::unknown_key : key_refusal::none};
    }
    const auto current = m_state->routes.find(wanted.name);
    const bool allows_anonymous =
        current == m_state->routes.end() ? wanted.allows_anonymous : current->second.allows_anonymous;
    return {nullptr, allows_anonymous ? key_refusal::none : key_refusal::missing_key};
}

bool tenant_directory::permits(std::string_view route_name, std::string_view tenant_name,
                               std::string_view digest) const {
    if (!is_in_use()) {
        return true;
    }
    if (tenant_name.empty()) {
        const auto found = m_state->routes.find(std::string(route_name));
        return found == m_state->routes.end() || found->second.allows_anonymous;
    }
    const tenant* const holder = find(digest);
    return holder != nullptr && holder->name == tenant_name;
}

} // namespace amaranthladder
