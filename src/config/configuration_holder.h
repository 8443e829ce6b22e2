#pragma once

#include "common/result_code.h"
#include "config/snapshot.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Result of offering a snapshot to a configuration_holder.
enum class offer_outcome {
    applied,
    not_newer,           ///< The version is not above the active one.
    needs_full_snapshot, ///< The update is based on a version other than the active one.
    refused,             ///< Damaged or not valid; the active version stays.
};

/// Outcome of an offer and its result code.
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

/// Holds the active snapshot and decides whether an offered one replaces it.
///
/// The active version never decreases, and snapshots are replaced atomically. Not thread-safe, but the returned
/// snapshots may be used on any thread.
class configuration_holder {
public:
    /// Offers a snapshot, which is validated again here.
    /// @param offered the snapshot.
    /// @return applied; not_newer with snapshot_not_newer; or refused with the code of the first problem. The active
    /// version with a different hash is refused with snapshot_hash_mismatch.
    offer_result offer(std::shared_ptr<const snapshot> offered);

    /// Decodes an update and offers the resulting snapshot.
    /// @param bytes an update as snapshot_delta encodes it.
    /// @return as offer(); needs_full_snapshot with snapshot_base_mismatch if the update is not based on the active
    /// version; or refused with snapshot_malformed or snapshot_hash_mismatch.
    offer_result offer_update(std::string_view bytes);

    /// @return the active snapshot, or nullptr before the first one.
    const std::shared_ptr<const snapshot>& current() const noexcept {
        return m_current;
    }

    /// @return the active version, or 0 before the first one.
    std::uint64_t version() const noexcept {
        return m_current == nullptr ? 0 : m_current->version();
    }

    /// @return the last refusal; cleared when a version at or above the refused one becomes active.
    const std::optional<snapshot_refusal>& last_refusal() const noexcept {
        return m_last_refusal;
    }

private:
    offer_result refuse(result_code code, std::uint64_t version, const std::string& detail);

    std::shared_ptr<const snapshot> m_current;
    std::optional<snapshot_refusal> m_last_refusal;
};

} // namespace amaranthladder
