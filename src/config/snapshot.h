#pragma once

#include "config/intended_state.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthladder {

/// A published version of the intended state. Immutable, so that threads share it without a lock.
///
/// The canonical bytes contain the version, the publish time in milliseconds, the publish id and the state with its
/// origin lines. Equal content has equal bytes; decode() rejects bytes that are not in canonical form.
class snapshot {
public:
    /// @param version the configuration version, at least 1.
    /// @param publish_time when the operator published it; truncated to milliseconds.
    /// @param publish_id identifies the publish attempt, at most 128 bytes.
    /// @param state content that the validator accepts; times and durations are truncated to milliseconds.
    /// @return the snapshot.
    /// @throws error with result_code::config_too_large if the bytes, a row or the number of sections exceed the
    /// limits of the encoding, or with result_code::config_bad_value for version 0 or a publish id over its limit.
    static std::shared_ptr<const snapshot> create(std::uint64_t version, absl::Time publish_time,
                                                  std::string publish_id, intended_state state);

    /// @param bytes canonical bytes, at most 16 MiB.
    /// @return the snapshot. Its state is not validated; see validator.
    /// @throws error with result_code::snapshot_malformed.
    static std::shared_ptr<const snapshot> decode(std::string_view bytes);

    /// Checks the hash, then decodes as decode(bytes).
    /// @param expected_hash SHA-256 of the bytes, 64 lower-case hexadecimal digits.
    /// @throws error with result_code::snapshot_hash_mismatch or result_code::snapshot_malformed.
    static std::shared_ptr<const snapshot> decode(std::string_view bytes, std::string_view expected_hash);

    std::uint64_t version() const noexcept {
        return m_version;
    }
    /// @return the SHA-256 of the canonical bytes, 64 lower-case hexadecimal digits.
    const std::string& hash() const noexcept {
        return m_hash;
    }
    absl::Time publish_time() const noexcept {
        return m_publish_time;
    }
    const std::string& publish_id() const noexcept {
        return m_publish_id;
    }
    const intended_state& state() const noexcept {
        return m_state;
    }
    const std::string& canonical_bytes() const noexcept {
        return m_canonical_bytes;
    }

private:
    snapshot(std::uint64_t version, absl::Time publish_time, std::string publish_id, intended_state state);

    std::uint64_t m_version;
    absl::Time m_publish_time;
    std::string m_publish_id;
    intended_state m_state;
    std::string m_canonical_bytes;
    std::string m_hash;
};

} // namespace amaranthladder
