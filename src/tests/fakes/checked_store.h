#pragma once

#include "../../../bench/store_stand_in_state.h"
#include "store/publish_run.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// Fault of one store call of a publish.
enum class step_fault {
    none,
    unavailable,   ///< The store refuses the call.
    request_lost,  ///< The call has no effect and gets no response.
    response_lost, ///< The call takes effect, but its response is lost.
    delayed,       ///< The response is lost and a write takes effect later, see apply_delayed().
};

/// Executes the steps of publishes on an in-memory store with faults, and checks these invariants after each write:
/// each version has a single content, which adds exactly one edit to the previous version, and the head names no
/// missing piece.
///
/// The content is text of the form `NAME=COUNT;...`, in which each edit of an operator increments its count.
class checked_store {
public:
    /// Executes the call of a step, which must not be a pause.
    store_reply call(const store_step& step, step_fault fault);

    /// Applies a delayed write.
    /// @param position index among the delayed writes.
    void apply_delayed(std::size_t position);

    std::size_t delayed_count() const {
        return m_delayed.size();
    }

    /// @return a request that adds one edit of @p operator_name to the active version.
    publish_request edit(const std::string& operator_name, const std::string& publish_id);

    /// Checks the result of a finished publish against the writes of the store.
    void check_result(const std::string& publish_id, result_code code);

    /// @return true if the head ever had this publish id.
    bool was_published(const std::string& publish_id) const;

    std::uint64_t version() const {
        return m_version;
    }

    /// @return the number of pieces that have content.
    std::size_t stored_pieces();

    /// @return the first violation found, or an empty string.
    const std::string& violation() const {
        return m_violation;
    }

    store_stand_in_state& state() {
        return m_state;
    }

private:
    using edit_counts = std::map<std::string, int>;

    store_reply apply(const store_step& step);
    void check_head();
    void check_edits(const edit_counts& before, const edit_counts& after);
    void report(const std::string& text);
    static edit_counts parse(const std::string& bytes);

    store_stand_in_state m_state;
    std::vector<store_step> m_delayed;
    std::uint64_t m_version = 0;
    std::string m_content;
    revision m_checked_revision = 0;
    std::set<std::string> m_published;
    std::set<std::string> m_denied; ///< Publish ids that were reported as not published.
    std::set<std::string> m_piece_keys;
    std::string m_violation;
};

} // namespace amaranthladder
