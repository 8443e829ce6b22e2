#pragma once

#include "common/result_code.h"
#include "config/intended_state.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace amaranthladder {

/// What a request presents as its key. The key itself is not kept.
struct presented_key {
    bool is_present = false; ///< The request has a key header, whatever it contains.
    std::string digest;      ///< key_digest of the key; empty if the header has another form.
};

/// Reads the key header of a request.
/// @param values the values of all its key headers. More than one presents no valid key, since the header names one
///        sender (RFC 9110, section 11.6.2).
/// @param scheme what precedes the key and one space; case-sensitive.
presented_key read_presented_key(std::span<const std::string_view> values, std::string_view scheme);

/// Why a request may not use a route.
enum class key_refusal {
    none,
    missing_key, ///< The route needs a key, and the request presents none.
    unknown_key, ///< No tenant holds the key.
};

/// @return the stable name of @p refusal.
std::string_view name(key_refusal refusal);

/// Decision of a tenant_directory about a request.
struct tenant_decision {
    const tenant* identified = nullptr; ///< Valid while the directory exists; null: anonymous, or refused.
    key_refusal refusal = key_refusal::none;

    /// @return ok or unknown_key.
    result_code code() const {
        return refusal == key_refusal::none ? result_code::ok : result_code::unknown_key;
    }
};

/// Finds the tenants of keys in one configuration, and decides which requests may use a route.
class tenant_directory {
public:
    /// Constructs a directory without tenants.
    tenant_directory() = default;

    /// @param state a valid state; the directory keeps it alive.
    explicit tenant_directory(std::shared_ptr<const intended_state> state);

    /// @return true if the configuration has tenants. Otherwise requests need no key, and their headers are not read.
    bool is_in_use() const {
        return m_state != nullptr && !m_state->tenants.empty();
    }

    /// @return the tenant that holds the key with this digest, or null.
    const tenant* find(std::string_view digest) const;

    /// Decides whether a request may use a route. An unknown key is refused on any route.
    /// @param wanted a route of this configuration, or of an earlier one: a route of the same name in this
    ///        configuration replaces it.
    /// @param key the key that the request presents.
    tenant_decision decide(const route& wanted, const presented_key& key) const;

    /// Tells whether this configuration agrees with the decision of another daemon.
    /// @param route_name name of the request's route; a route that is not known is taken for an anonymous one.
    /// @param tenant_name the tenant that the other daemon has found; empty: none.
    /// @param digest digest of the key with which it was found.
    /// @return true if the tenant holds the key, or if the route takes requests without one.
    bool permits(std::string_view route_name, std::string_view tenant_name, std::string_view digest) const;

private:
    std::shared_ptr<const intended_state> m_state;
    absl::flat_hash_map<std::string_view, const tenant*> m_tenant_by_digest; ///< Refers to strings of the state.
};

} // namespace amaranthladder
