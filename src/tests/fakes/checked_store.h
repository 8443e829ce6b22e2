#pragma once

#include "../../../bench/store_stand_in_state.h"
#include "store/publish_run.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// What happens to one call of a publish.
enum class step_fault {
    none,
    unavailable,   ///< Refused.
    request_lost,  ///< Not done, the answer is lost.
    response_lost, ///< Done, the answer is lost.
    delayed,       ///< The answer is lost; the write takes effect later, see apply_delayed().
};

/// Runs the steps of publishes on a store in memory, with faults, and checks after each write what must always hold:
/// each version has one content, which adds exactly one edit to the version before, and the head names no missing
/// piece.
///
/// A test's content is text `NAME=COUNT;...`: each operator's edit raises its own count.
class checked_store {
public:
    /// Runs a call. A pause is not allowed here.
    store_reply call(const store_step& step, step_fault fault);

    /// Applies a delayed write.
    /// @param position index among the delayed writes.
    void apply_delayed(std::size_t position);

    std::size_t delayed_count() const {
        return m_delayed.size();
    }

    /// @return a request that adds one edit of @p operator_name to the version in force.
    publish_request edit(const std::string& operator_name, const std::string& publish_id);

    /// Checks a finished publish against what the store saw.
    void check_result(const std::string& publish_id, result_code code);

    /// @return true if the head ever had this publish id.
    bool was_published(const std::string& publish_id) const;

    std::uint64_t version() const {
        return m_version;
    }

    /// @return the number of pieces that have content.
    std::size_t stored_pieces();

    /// @return what was violated, the first found; empty if nothing.
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
