#pragma once

#include "common/error.h"
#include "store/config_head.h"
#include "store/key_value_store.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// A head and the content of its pieces.
struct config_content {
    config_head head;
    std::string bytes;
};

/// Verifies the hash of a configuration.
/// @param bytes the concatenated pieces of @p head.
/// @throws error with result_code::snapshot_hash_mismatch if the hash of @p bytes differs from that in the head.
void check_content(const config_head& head, std::string_view bytes);

/// Reads the active configuration from a store.
template <key_value_store Store> class head_reader {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Larger than the largest snapshot; bounds the memory that a damaged head can demand.
    static constexpr std::size_t max_content_bytes = 17'000'000;

    /// @param store the platform's store; must outlive the reader.
    explicit head_reader(Store& store) : m_store(store) {}

    /// Reads the head and its pieces. Retries once if a piece was garbage-collected after the head was read.
    /// @param deadline maximum duration of all calls together.
    /// @return the content, or nothing if nothing has been published.
    /// @throws error with store_unavailable, store_bad_answer, store_key_absent (a piece is missing) or
    /// snapshot_hash_mismatch.
    std::optional<config_content> read(absl::Duration deadline) {
        const time_point end = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(deadline);
        for (bool is_last_attempt : {false, true}) {
            auto head = read_head(end);
            if (!head) {
                return std::nullopt;
            }
            if (auto bytes = read_pieces(*head, end)) {
                return config_content{std::move(*head), std::move(*bytes)};
            }
            if (is_last_attempt) {
                break;
            }
        }
        throw error(result_code::store_key_absent, "a piece named by the head is missing from the store");
    }

    /// Reads the pieces of a head that a watch returned.
    /// @param head the head.
    /// @param end when to give up.
    /// @return the bytes, or nothing if a piece is missing because a newer head has replaced this one.
    /// @throws error with store_unavailable, store_bad_answer or snapshot_hash_mismatch.
    std::optional<std::string> read_pieces(const config_head& head, time_point end) {
        std::string bytes;
        for (const std::string& name : head.pieces) {
            const auto piece = m_store.get(config_piece_key(name), time_left(end));
            // A garbage-collected piece is empty; other pieces never are.
            if (piece.outcome == store_outcome::absent || (piece.is_ok() && piece.value->value.empty())) {
                return std::nullopt;
            }
            if (!piece.is_ok()) {
                throw error(result_code::store_unavailable, name);
            }
            bytes += piece.value->value;
            if (bytes.size() > max_content_bytes) {
                throw error(result_code::store_bad_answer, "the pieces exceed the maximum size of a snapshot");
            }
        }
        check_content(head, bytes);
        return bytes;
    }

private:
    std::optional<config_head> read_head(time_point end) {
        const auto found = m_store.get(config_head_key, time_left(end));
        if (found.outcome == store_outcome::absent) {
            return std::nullopt;
        }
        if (!found.is_ok()) {
            throw error(result_code::store_unavailable, config_head_key);
        }
        return config_head::parse(found.value->value);
    }

    static absl::Duration time_left(time_point end) {
        const absl::Duration left = absl::FromChrono(end - std::chrono::steady_clock::now());
        if (left <= absl::ZeroDuration()) {
            throw error(result_code::store_unavailable, "the deadline has passed");
        }
        return left;
    }

    Store& m_store;
};

} // namespace amaranthladder
