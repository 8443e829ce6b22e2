#include "checked_store.h"

#include "store/head_reader.h"
#include "store/private/content_hash.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>

#include <stdexcept>

namespace amaranthladder {

namespace {

constexpr absl::Duration limit = absl::Seconds(1);

} // namespace

store_reply checked_store::call(const store_step& step, step_fault fault) {
    const bool is_write = step.kind == store_step::action::compare_and_swap;
    switch (fault) {
    case step_fault::none:
        return apply(step);
    case step_fault::unavailable:
        return {store_outcome::unavailable, {}, 0};
    case step_fault::request_lost:
        break;
    case step_fault::response_lost:
        apply(step);
        break;
    case step_fault::delayed:
        if (is_write) {
            m_delayed.push_back(step);
        }
        break;
    }
    return {is_write ? store_outcome::unknown : store_outcome::unavailable, {}, 0};
}

void checked_store::apply_delayed(std::size_t position) {
    const auto chosen = m_delayed.begin() + static_cast<std::ptrdiff_t>(position);
    const store_step step = *chosen;
    m_delayed.erase(chosen);
    apply(step);
}

publish_request checked_store::edit(const std::string& operator_name, const std::string& publish_id) {
    edit_counts counts = parse(m_content);
    ++counts[operator_name];
    publish_request request;
    request.version = m_version + 1;
    for (const auto& [name, count] : counts) {
        request.bytes += fmt::format("{}={};", name, count);
    }
    request.hash = content_hash(request.bytes);
    request.publish_id = publish_id;
    request.operator_name = operator_name;
    return request;
}

void checked_store::check_result(const std::string& publish_id, result_code code) {
    if (code == result_code::ok && !was_published(publish_id)) {
        report(fmt::format("{} was reported as published but was not", publish_id));
    }
    if (code != result_code::ok && code != result_code::publish_unresolved) {
        m_denied.insert(publish_id);
        if (was_published(publish_id)) {
            report(fmt::format("{} was published but reported as {}", publish_id, name(code)));
        }
    }
}

bool checked_store::was_published(const std::string& publish_id) const {
    return m_published.contains(publish_id);
}

std::size_t checked_store::stored_pieces() {
    std::size_t count = 0;
    for (const std::string& key : m_piece_keys) {
        const auto piece = m_state.get(key, limit);
        count += piece.is_ok() && !piece.value->value.empty() ? 1 : 0;
    }
    return count;
}

store_reply checked_store::apply(const store_step& step) {
    if (step.kind == store_step::action::get) {
        const auto read = m_state.get(step.key, limit);
        return read.is_ok() ? store_reply{read.outcome, read.value->value, read.value->key_revision}
                            : store_reply{read.outcome, {}, 0};
    }
    if (step.kind != store_step::action::compare_and_swap) {
        throw std::logic_error("a pause is not a call");
    }
    const auto written = m_state.compare_and_swap(step.key, step.expected, step.value, limit);
    if (written.is_ok()) {
        if (step.key != config_head_key && step.key != config_index_key) {
            m_piece_keys.insert(step.key);
        }
        check_head();
    }
    return {written.outcome, {}, written.value.value_or(0)};
}

void checked_store::check_head() {
    const auto value = m_state.get(config_head_key, limit);
    if (!value.is_ok()) {
        return;
    }
    const config_head head = config_head::parse(value.value->value);
    std::string content;
    for (const std::string& name : head.pieces) {
        const auto piece = m_state.get(config_piece_key(name), limit);
        if (!piece.is_ok() || piece.value->value.empty()) {
            return report(fmt::format("version {} names the missing piece {}", head.version, name));
        }
        content += piece.value->value;
    }
    if (content_hash(content) != head.hash) {
        report(fmt::format("version {}: the hash of the pieces differs from that in the head", head.version));
    }
    if (value.value->key_revision == m_checked_revision) {
        return;
    }
    m_checked_revision = value.value->key_revision;
    if (head.version != m_version + 1) {
        report(fmt::format("version {} follows version {}", head.version, m_version));
    }
    if (m_denied.contains(head.publish_id)) {
        report(fmt::format("{} was published after it was reported as not published", head.publish_id));
    }
    if (!m_published.insert(head.publish_id).second) {
        report(fmt::format("{} was published twice", head.publish_id));
    }
    check_edits(parse(m_content), parse(content));
    m_version = head.version;
    m_content = content;
}

void checked_store::check_edits(const edit_counts& before, const edit_counts& after) {
    int added = 0;
    for (const auto& [name, count] : after) {
        const auto found = before.find(name);
        const int difference = count - (found == before.end() ? 0 : found->second);
        if (difference < 0) {
            report(fmt::format("version {} lost an edit of {}", m_version + 1, name));
        }
        added += difference;
    }
    for (const auto& [name, count] : before) {
        if (!after.contains(name)) {
            report(fmt::format("version {} lost all edits of {}", m_version + 1, name));
        }
    }
    if (added != 1) {
        report(fmt::format("version {} adds {} edits", m_version + 1, added));
    }
}

void checked_store::report(const std::string& text) {
    if (m_violation.empty()) {
        m_violation = text;
    }
}

checked_store::edit_counts checked_store::parse(const std::string& bytes) {
    edit_counts counts;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, bytes, boost::algorithm::is_any_of(";"));
    for (const std::string& part : parts) {
        const auto equals = part.find('=');
        if (equals != std::string::npos) {
            counts[part.substr(0, equals)] = std::stoi(part.substr(equals + 1));
        }
    }
    return counts;
}

} // namespace amaranthladder
