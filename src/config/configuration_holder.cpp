#include "config/configuration_holder.h"

#include "common/error.h"
#include "config/snapshot_delta.h"
#include "config/validator.h"

#include <fmt/format.h>

#include <algorithm>

namespace amaranthladder {

namespace {

/// @throws error if @p offered cannot become active.
void require_usable(const snapshot& offered) {
    validator::require_valid(offered.state());
    // A move without the version that introduced it would keep its identity when it is edited.
    for (const auto& [name, value] : offered.state().moves) {
        if (value.introduced_in == 0 || value.introduced_in > offered.version()) {
            throw error(result_code::config_out_of_range,
                        fmt::format("[move {}]: introduced_in is {}, but must be 1 to the snapshot's version", name,
                                    value.introduced_in));
        }
    }
}

} // namespace

offer_result configuration_holder::offer(std::shared_ptr<const snapshot> offered) {
    if (offered->version() == version() && offered->hash() != m_current->hash()) {
        return refuse(result_code::snapshot_hash_mismatch, offered->version(),
                      "different content for the active version");
    }
    if (offered->version() <= version()) {
        return {offer_outcome::not_newer, result_code::snapshot_not_newer};
    }
    try {
        require_usable(*offered);
    } catch (const error& failure) {
        return refuse(failure.code(), offered->version(), failure.what());
    }
    m_current = std::move(offered);
    if (m_last_refusal.has_value() && m_last_refusal->version <= version()) {
        m_last_refusal.reset();
    }
    return {offer_outcome::applied, result_code::ok};
}

offer_result configuration_holder::offer_update(std::string_view bytes) {
    std::shared_ptr<const snapshot> offered;
    try {
        offered = snapshot_delta::apply(m_current.get(), bytes);
    } catch (const error& failure) {
        if (failure.code() == result_code::snapshot_base_mismatch) {
            return {offer_outcome::needs_full_snapshot, failure.code()};
        }
        return refuse(failure.code(), 0, failure.what());
    }
    return offer(std::move(offered));
}

offer_result configuration_holder::refuse(result_code code, std::uint64_t version, const std::string& detail) {
    m_last_refusal = snapshot_refusal{code, version, detail};
    return {offer_outcome::refused, code};
}

} // namespace amaranthladder
