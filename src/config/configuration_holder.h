#pragma once

#include "common/result_code.h"
#include "config/snapshot.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// What a holder did with an offered snapshot.
enum class offer_outcome {
    applied,
    not_newer,           ///< Lower than or equal to the version in force.
    needs_full_snapshot, ///< The update starts from another version than the one in force.
    refused,             ///< Damaged or not valid; the version in force stays.
};

/// The answer to an offer.
struct offer_result {
    offer_outcome outcome;
    result_code code; ///< ok if the snapshot was applied.
};

/// Why a snapshot was refused.
struct snapshot_refusal {
    result_code code;
    std::uint64_t version; ///< 0 if the version could not be read.
    std::string detail;
};

/// Holds the snapshot in force and decides whether an offered one replaces it.
///
/// The version in force never decreases, and a snapshot replaces it as a whole or not at all. Not thread-safe; the
/// snapshots that it returns may be used on any thread.
class configuration_holder {
public:
    /// @param offered a snapshot; validated here again.
    /// @return applied; not_newer with snapshot_not_newer; or refused with the code of the first problem. An equal
    /// version with another hash is refused with snapshot_hash_mismatch.
    offer_result offer(std::shared_ptr<const snapshot> offered);

    /// @param bytes an update as snapshot_delta encodes it.
    /// @return as offer(); needs_full_snapshot with snapshot_base_mismatch if it does not start from the version in
    /// force; or refused with snapshot_malformed or snapshot_hash_mismatch.
    offer_result offer_update(std::string_view bytes);

    /// @return the snapshot in force, or nullptr before the first one.
    const std::shared_ptr<const snapshot>& current() const noexcept {
        return m_current;
    }

    /// @return the version in force, or 0 before the first one.
    std::uint64_t version() const noexcept {
        return m_current == nullptr ? 0 : m_current->version();
    }

    /// @return the last refusal, until a version is in force that is not below the refused one.
    const std::optional<snapshot_refusal>& last_refusal() const noexcept {
        return m_last_refusal;
    }

private:
    offer_result refuse(result_code code, std::uint64_t version, const std::string& detail);

    std::shared_ptr<const snapshot> m_current;
    std::optional<snapshot_refusal> m_last_refusal;
};

} // namespace amaranthladder
