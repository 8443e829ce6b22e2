#include "store/publish_run.h"

#include "common/error.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

constexpr absl::Duration first_pause = absl::Milliseconds(50);
constexpr absl::Duration max_pause = absl::Seconds(2);
constexpr int max_trim_conflicts = 5;

// An index that cannot be parsed is replaced: it is needed only for garbage collection, and refusing to publish would
// be worse than leaving pieces behind.
std::vector<std::string> parse_index(const std::string& text) {
    std::vector<std::string> names;
    boost::json::error_code failure;
    const boost::json::value parsed = boost::json::parse(text, failure);
    if (failure || !parsed.is_array()) {
        return names;
    }
    for (const auto& entry : parsed.get_array()) {
        if (entry.is_string()) {
            names.emplace_back(entry.get_string().data(), entry.get_string().size());
        }
    }
    return names;
}

} // namespace

publish_run::publish_run(publish_request request, absl::Time end, const publish_limits& limits)
    : m_request(std::move(request)), m_end(end), m_limits(limits), m_backoff(first_pause, max_pause) {
    // Empty content also has one piece, since a head without pieces is rejected as damaged.
    std::size_t start = 0;
    do {
        m_piece_names.push_back(config_piece_name(
            m_request.version, std::string_view(m_request.bytes).substr(start, m_limits.max_piece_bytes)));
        start += m_limits.max_piece_bytes;
    } while (start < m_request.bytes.size());
}

std::optional<store_step> publish_run::next(absl::Time now, absl::BitGenRef random) {
    if (m_phase == phase::finished) {
        return std::nullopt;
    }
    absl::Duration delay;
    if (m_is_pause_due) {
        delay = m_backoff.next_delay(random);
    }
    if (now + delay >= m_end) {
        give_up();
        return std::nullopt;
    }
    if (std::exchange(m_is_pause_due, false)) {
        return store_step{store_step::action::pause, {}, 0, {}, delay};
    }
    return step_of_phase();
}

std::optional<store_step> publish_run::step_of_phase() const {
    using action = store_step::action;
    switch (m_phase) {
    case phase::read_head:
        return store_step{action::get, config_head_key, 0, {}, {}};
    case phase::read_index:
    case phase::reread_index:
        return store_step{action::get, config_index_key, 0, {}, {}};
    case phase::write_index:
    case phase::trim_index:
        return store_step{action::compare_and_swap, config_index_key, m_index_revision, index_text(), {}};
    case phase::write_piece:
        return store_step{action::compare_and_swap,
                          config_piece_key(m_piece_names[m_piece_index]),
                          0,
                          m_request.bytes.substr(m_piece_index * m_limits.max_piece_bytes, m_limits.max_piece_bytes),
                          {}};
    case phase::check_piece:
        return store_step{action::get, config_piece_key(m_piece_names[m_piece_index]), 0, {}, {}};
    case phase::write_head:
        return store_step{action::compare_and_swap, config_head_key, m_head_revision, head_text(), {}};
    case phase::read_garbage:
        return store_step{action::get, config_piece_key(m_garbage[m_garbage_index]), 0, {}, {}};
    case phase::clear_garbage:
        return store_step{
            action::compare_and_swap, config_piece_key(m_garbage[m_garbage_index]), m_garbage_revision, {}, {}};
    case phase::finished:
        break;
    }
    return std::nullopt;
}

void publish_run::on_reply(const store_reply& reply) {
    switch (m_phase) {
    case phase::read_head:
        return on_head(reply);
    case phase::read_index:
        return on_index_read(reply);
    case phase::write_index:
        return on_index_written(reply);
    case phase::write_piece:
        return on_piece_written(reply);
    case phase::check_piece:
        return on_piece_checked(reply);
    case phase::write_head:
        return on_head_written(reply);
    case phase::read_garbage:
        return on_garbage_read(reply);
    case phase::clear_garbage:
        return on_garbage_cleared(reply);
    case phase::reread_index:
        return on_index_reread(reply);
    case phase::trim_index:
        return on_index_trimmed(reply);
    case phase::finished:
        return;
    }
}

void publish_run::on_head(const store_reply& reply) {
    if (reply.outcome == store_outcome::absent) {
        m_head_revision = 0;
        m_base.reset();
        if (m_request.version != 1) {
            return finish(result_code::store_conflict);
        }
    } else if (reply.outcome != store_outcome::ok) {
        return retry(phase::read_head);
    } else {
        m_head_revision = reply.key_revision;
        try {
            m_base = config_head::parse(reply.value);
        } catch (const error& problem) {
            return finish(problem.code());
        }
        compare_with_head(*m_base);
    }
    if (m_phase != phase::read_head) {
        return;
    }
    if (m_are_pieces_written) {
        // The head is still the base: the compare-and-swap without a response had no effect or has not arrived yet.
        return retry(phase::write_head);
    }
    m_phase = phase::read_index;
}

void publish_run::compare_with_head(const config_head& head) {
    m_result.store_version = head.version;
    m_result.store_publish_id = head.publish_id;
    m_result.store_operator = head.operator_name;
    if (head.version + 1 == m_request.version) {
        return;
    }
    if (head.version < m_request.version) {
        return finish(result_code::store_conflict);
    }
    const auto publish_id = head.publish_id_of(m_request.version);
    if (publish_id == m_request.publish_id) {
        // If another operator has published since, that operator has collected the garbage.
        return head.version == m_request.version ? start_collecting() : finish(result_code::ok);
    }
    const bool is_unresolved = !publish_id && m_may_be_published;
    finish(is_unresolved ? result_code::publish_unresolved : result_code::publish_raced);
}

void publish_run::on_index_read(const store_reply& reply) {
    if (reply.outcome != store_outcome::ok && reply.outcome != store_outcome::absent) {
        return retry(phase::read_index);
    }
    m_index_revision = reply.key_revision;
    m_index = reply.outcome == store_outcome::ok ? parse_index(reply.value) : std::vector<std::string>{};
    bool is_complete = true;
    for (const std::string& name : m_piece_names) {
        if (std::ranges::find(m_index, name) == m_index.end()) {
            m_index.push_back(name);
            is_complete = false;
        }
    }
    if (m_index.size() > m_limits.max_index_names) {
        m_index.erase(m_index.begin(), m_index.end() - static_cast<std::ptrdiff_t>(m_limits.max_index_names));
    }
    m_phase = is_complete ? phase::write_piece : phase::write_index;
}

void publish_run::on_index_written(const store_reply& reply) {
    switch (reply.outcome) {
    case store_outcome::ok:
        m_index_revision = reply.key_revision;
        m_phase = phase::write_piece;
        return;
    case store_outcome::conflict:
        m_phase = phase::read_index;
        return;
    default:
        return retry(phase::read_index);
    }
}

void publish_run::on_piece_written(const store_reply& reply) {
    switch (reply.outcome) {
    case store_outcome::ok:
        return next_piece();
    case store_outcome::conflict:
        m_phase = phase::check_piece;
        return;
    default:
        return retry(phase::write_piece);
    }
}

void publish_run::on_piece_checked(const store_reply& reply) {
    if (reply.outcome == store_outcome::absent) {
        return retry(phase::write_piece);
    }
    if (reply.outcome != store_outcome::ok) {
        return retry(phase::check_piece);
    }
    if (reply.value == m_request.bytes.substr(m_piece_index * m_limits.max_piece_bytes, m_limits.max_piece_bytes)) {
        return next_piece();
    }
    // Another operator has collected the piece, so the head is already at this version or above.
    retry(phase::read_head);
}

void publish_run::next_piece() {
    ++m_piece_index;
    m_are_pieces_written = m_piece_index == m_piece_names.size();
    m_phase = m_are_pieces_written ? phase::write_head : phase::write_piece;
}

void publish_run::on_head_written(const store_reply& reply) {
    switch (reply.outcome) {
    case store_outcome::ok:
        m_result.store_version = m_request.version;
        m_result.store_publish_id = m_request.publish_id;
        m_result.store_operator = m_request.operator_name;
        return start_collecting();
    case store_outcome::unavailable:
        return retry(phase::write_head);
    case store_outcome::conflict:
        // The conflict may be with an earlier write of this publish whose response was lost.
        m_phase = phase::read_head;
        return;
    default:
        m_may_be_published = true;
        m_phase = phase::read_head;
        return;
    }
}

void publish_run::start_collecting() {
    m_result.code = result_code::ok;
    for (const std::string& name : m_index) {
        const auto version = config_piece_version(name);
        const bool is_mine = std::ranges::find(m_piece_names, name) != m_piece_names.end();
        // The pieces of the previous version are kept for readers that have read the previous head.
        const bool is_garbage =
            !version || *version + 1 < m_request.version || (*version == m_request.version && !is_mine);
        if (is_garbage && m_garbage.size() < m_limits.max_collected_pieces) {
            m_garbage.push_back(name);
        }
    }
    if (m_garbage.empty()) {
        return finish(result_code::ok);
    }
    m_phase = phase::read_garbage;
}

void publish_run::on_garbage_read(const store_reply& reply) {
    if (reply.outcome == store_outcome::ok && reply.value.empty()) {
        m_cleared.insert(m_garbage[m_garbage_index]);
        return next_garbage();
    }
    if (reply.outcome != store_outcome::ok && reply.outcome != store_outcome::absent) {
        return stop_clearing();
    }
    // An absent piece is created empty, so that a delayed write of it fails.
    m_garbage_revision = reply.outcome == store_outcome::ok ? reply.key_revision : 0;
    m_phase = phase::clear_garbage;
}

void publish_run::on_garbage_cleared(const store_reply& reply) {
    if (reply.outcome == store_outcome::ok) {
        m_cleared.insert(m_garbage[m_garbage_index]);
    }
    next_garbage();
}

void publish_run::next_garbage() {
    ++m_garbage_index;
    if (m_garbage_index == m_garbage.size()) {
        return stop_clearing();
    }
    m_phase = phase::read_garbage;
}

void publish_run::stop_clearing() {
    if (m_cleared.empty()) {
        return finish(result_code::ok);
    }
    m_phase = phase::reread_index;
}

// The index is read again because other operators add to it meanwhile. If each of their additions made the trim fail,
// the index would fill up under constant publishing.
void publish_run::on_index_reread(const store_reply& reply) {
    if (reply.outcome != store_outcome::ok) {
        return finish(result_code::ok);
    }
    m_index_revision = reply.key_revision;
    m_index = parse_index(reply.value);
    std::erase_if(m_index, [this](const std::string& name) { return m_cleared.contains(name); });
    m_phase = phase::trim_index;
}

void publish_run::on_index_trimmed(const store_reply& reply) {
    if (reply.outcome == store_outcome::conflict && ++m_trim_conflicts < max_trim_conflicts) {
        m_phase = phase::reread_index;
        return;
    }
    // If this write failed, a later publish trims the index.
    finish(result_code::ok);
}

void publish_run::finish(result_code code) {
    m_result.code = code;
    m_phase = phase::finished;
}

void publish_run::give_up() {
    if (m_result.code == result_code::ok) {
        return finish(result_code::ok);
    }
    finish(m_may_be_published ? result_code::publish_unresolved : result_code::store_unavailable);
}

void publish_run::retry(phase next_phase) {
    m_phase = next_phase;
    m_is_pause_due = true;
}

std::string publish_run::index_text() const {
    return boost::json::serialize(boost::json::array(m_index.begin(), m_index.end()));
}

std::string publish_run::head_text() const {
    config_head head;
    head.version = m_request.version;
    head.hash = m_request.hash;
    head.pieces = m_piece_names;
    head.publish_id = m_request.publish_id;
    head.publish_time = m_request.publish_time;
    head.operator_name = m_request.operator_name;
    if (m_base) {
        head.history = m_base->history;
    }
    head.history.push_back({head.version, head.publish_id});
    if (head.history.size() > config_head::max_history) {
        head.history.erase(head.history.begin());
    }
    return head.to_text();
}

} // namespace amaranthladder
