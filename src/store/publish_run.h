#pragma once

#include "common/backoff.h"
#include "common/result_code.h"
#include "store/config_head.h"
#include "store/key_value_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// A configuration version to publish. Its base is version - 1, the version that the operator has seen.
struct publish_request {
    std::uint64_t version = 0;
    std::string hash; ///< SHA-256 of @ref bytes, 64 lower-case hexadecimal digits.
    std::string bytes;
    std::string publish_id; ///< Unique to this publish attempt.
    absl::Time publish_time;
    std::string operator_name;
};

/// Result of a publish.
struct publish_result {
    /// `ok`; `publish_raced`: another operator published this version, nothing was overwritten; `publish_unresolved`:
    /// a response was lost, and the outcome was not known by the deadline or is no longer in the history of the head;
    /// `store_unavailable`: certainly not published; `store_conflict`: the store's version is older than the base;
    /// `store_bad_answer`: the head cannot be parsed.
    result_code code = result_code::store_unavailable;
    std::uint64_t store_version = 0; ///< Active version in the store, as last read; 0 if it was not read.
    std::string store_publish_id;
    std::string store_operator;
};

/// The next store call of a publish, or a pause before it.
struct store_step {
    enum class action { get, compare_and_swap, pause };
    action kind = action::get;
    std::string key;
    revision expected = 0;
    std::string value;
    absl::Duration delay; ///< Length of a pause.
};

/// Result of the store call of a step.
struct store_reply {
    store_outcome outcome = store_outcome::unavailable;
    std::string value;         ///< Result of a get.
    revision key_revision = 0; ///< Of the value read or written.
};

/// Limits for what a publish writes and collects.
struct publish_limits {
    std::size_t max_piece_bytes = 900'000; ///< Below the store's limit of 1 MB per value.
    /// When the index is full, the oldest names are dropped and their pieces stay in the store for good. This takes
    /// about as many consecutive publishes that fail before they collect.
    std::size_t max_index_names = 512;
    std::size_t max_collected_pieces = 64; ///< Per publish; each piece takes up to two store calls.
};

/// State machine of one publish, without I/O: next() returns a step, on_reply() takes its result.
///
/// Order: read the head; add the names of the pieces to the index; write the pieces; compare-and-swap the head;
/// garbage-collect pieces that no head can name any more. After a lost response the head is read again and searched for
/// the publish id. If the head is still the base, the same compare-and-swap is repeated with the same expected
/// revision, so that at most one of the two can take effect.
class publish_run {
public:
    /// @param request what to publish.
    /// @param end time at which the publish gives up.
    /// @param limits limits for what it writes and collects.
    publish_run(publish_request request, absl::Time end, const publish_limits& limits = {});

    /// @param now the current time.
    /// @param random source of the jitter of pauses.
    /// @return the next step, or nothing when the publish has ended.
    std::optional<store_step> next(absl::Time now, absl::BitGenRef random);

    /// Processes the result of the last step, if that step was a call and not a pause.
    void on_reply(const store_reply& reply);

    /// @return the result of the publish; valid after next() has returned nothing.
    const publish_result& result() const {
        return m_result;
    }

private:
    enum class phase {
        read_head,
        read_index,
        write_index,
        write_piece,
        check_piece,
        write_head,
        read_garbage,
        clear_garbage,
        reread_index,
        trim_index,
        finished,
    };

    std::optional<store_step> step_of_phase() const;
    void on_head(const store_reply& reply);
    void on_index_read(const store_reply& reply);
    void on_index_written(const store_reply& reply);
    void on_piece_written(const store_reply& reply);
    void on_piece_checked(const store_reply& reply);
    void on_head_written(const store_reply& reply);
    void on_garbage_read(const store_reply& reply);
    void on_garbage_cleared(const store_reply& reply);
    void on_index_reread(const store_reply& reply);
    void on_index_trimmed(const store_reply& reply);
    void compare_with_head(const config_head& head);
    void next_piece();
    void start_collecting();
    void next_garbage();
    void stop_clearing();
    void finish(result_code code);
    void give_up();
    void retry(phase next_phase);
    std::string index_text() const;
    std::string head_text() const;

    publish_request m_request;
    absl::Time m_end;
    publish_limits m_limits;
    backoff m_backoff;
    publish_result m_result;
    phase m_phase = phase::read_head;
    bool m_is_pause_due = false;
    bool m_are_pieces_written = false;
    bool m_may_be_published = false; ///< A compare-and-swap of the head had an unknown outcome.
    std::vector<std::string> m_piece_names;
    std::size_t m_piece_index = 0;
    std::optional<config_head> m_base;
    revision m_head_revision = 0;
    std::vector<std::string> m_index;
    revision m_index_revision = 0;
    std::vector<std::string> m_garbage;
    std::size_t m_garbage_index = 0;
    revision m_garbage_revision = 0;
    std::set<std::string> m_cleared;
    int m_trim_conflicts = 0;
};

} // namespace amaranthladder
