#include "config/snapshot_delta.h"

#include "common/error.h"
#include "config/private/row_codec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <iterator>
#include <limits>

namespace amaranthladder {

namespace json = boost::json;

namespace {

constexpr std::string_view format_name = "amaranthladder-update";
constexpr std::int64_t format_number = 3;
constexpr std::string_view shift_kind = "shift";
constexpr std::string_view remove_kind = "remove";

json::string_view view(std::string_view text) {
    return {text.data(), text.size()};
}

error malformed(const std::string& detail) {
    return {result_code::snapshot_malformed, detail};
}

/// Offsets of origin lines, by file and the first line in the base to which they apply.
class line_shifts {
public:
    void set(const std::string& file, int line, int offset) {
        m_offsets[file][line] = offset;
    }

    bool is_empty() const {
        return m_offsets.empty();
    }

    /// Removes the entries with the same offset as the entry before.
    void compress() {
        for (auto& [file, offsets] : m_offsets) {
            int current = 0;
            std::erase_if(offsets, [&](const auto& item) {
                const bool is_repeated = item.second == current;
                current = item.second;
                return is_repeated;
            });
        }
        std::erase_if(m_offsets, [](const auto& item) { return item.second.empty(); });
    }

    /// @return the line of @p origin after the shift.
    /// @throws error if the line leaves its range.
    int shifted_line(const source_line& origin) const {
        const auto offsets = m_offsets.find(origin.file);
        if (offsets == m_offsets.end()) {
            return origin.line;
        }
        const auto after = offsets->second.upper_bound(origin.line);
        if (after == offsets->second.begin()) {
            return origin.line;
        }
        const std::int64_t line = std::int64_t{origin.line} + std::prev(after)->second;
        if (line < 0 || line > std::numeric_limits<int>::max()) {
            throw malformed("a shift moves a line out of the valid range");
        }
        return static_cast<int>(line);
    }

    void write(row_writer& writer) const {
        for (const auto& [file, offsets] : m_offsets) {
            for (const auto& [line, offset] : offsets) {
                writer.write(json::array{view(shift_kind), view(file), line, offset});
            }
        }
    }

private:
    std::map<std::string, std::map<int, int>> m_offsets;
};

/// Calls @p action for each kind of section, with the name of the kind and the sections in each of @p states.
template <typename Action, typename... States> void for_each_kind(const Action& action, States&... states) {
    action("service", states.services...);
    action("route", states.routes...);
    action("share", states.shares...);
    action("move", states.moves...);
    action("limits", states.limits...);
    action("tenant", states.tenants...);
}

line_shifts find_shifts(const intended_state& base, const intended_state& target) {
    line_shifts result;
    const auto add_kind = [&](const char* /*kind*/, const auto& old_sections, const auto& new_sections) {
        for (const auto& [name, value] : old_sections) {
            const auto found = new_sections.find(name);
            if (found != new_sections.end() && found->second.origin.file == value.origin.file) {
                result.set(value.origin.file, value.origin.line, found->second.origin.line - value.origin.line);
            }
        }
    };
    for_each_kind(add_kind, base, target);
    result.compress();
    return result;
}

template <typename Section>
bool is_same_after_shift(const Section& old_section, const Section& new_section, const line_shifts& shifts) {
    const int line = shifts.shifted_line(old_section.origin);
    if (line == old_section.origin.line) {
        return old_section == new_section;
    }
    Section shifted = old_section;
    shifted.origin.line = line;
    return shifted == new_section;
}

void write_header(row_writer& writer, const snapshot* base, const snapshot& target) {
    writer.write(json::array{view(format_name), format_number, base == nullptr ? 0 : base->version(),
                             view(base == nullptr ? std::string_view() : base->hash()), target.version(),
                             view(target.hash()), to_milliseconds(target.publish_time()), view(target.publish_id())});
}

std::string encode_full(const snapshot& target) {
    std::string result;
    row_writer writer(result);
    write_header(writer, nullptr, target);
    writer.write(target.state());
    return result;
}

std::string encode_delta(const snapshot& base, const snapshot& target) {
    std::string result;
    row_writer writer(result);
    write_header(writer, &base, target);
    const line_shifts shifts = find_shifts(base.state(), target.state());
    shifts.write(writer);
    const auto write_removals = [&](const char* kind, const auto& old_sections, const auto& new_sections) {
        for (const auto& [name, value] : old_sections) {
            if (!new_sections.contains(name)) {
                writer.write(json::array{view(remove_kind), kind, view(name)});
            }
        }
    };
    for_each_kind(write_removals, base.state(), target.state());
    const auto write_changes = [&](const char* /*kind*/, const auto& old_sections, const auto& new_sections) {
        for (const auto& [name, value] : new_sections) {
            const auto found = old_sections.find(name);
            if (found == old_sections.end()) {
                writer.write(value);
                continue;
            }
            if (!is_same_after_shift(found->second, value, shifts)) {
                writer.write(value);
            }
        }
    };
    for_each_kind(write_changes, base.state(), target.state());
    return result;
}

struct update_header {
    std::uint64_t base_version = 0;
    std::string base_hash;
    std::uint64_t version = 0;
    std::string hash;
    absl::Time publish_time;
    std::string publish_id;
};

update_header read_header(const json::array& row) {
    row_reader reader(row);
    if (reader.text() != format_name || reader.integer(format_number, format_number) != format_number) {
        throw malformed("the first row does not name a supported format");
    }
    update_header result;
    result.base_version = reader.unsigned_integer();
    result.base_hash = reader.text();
    result.version = reader.unsigned_integer();
    result.hash = reader.text();
    result.publish_time = reader.time();
    result.publish_id = reader.text();
    reader.finish();
    if (result.version <= result.base_version) {
        throw malformed("the version of the update is not above its base version");
    }
    return result;
}

bool is_kind(const json::array& row, std::string_view kind) {
    const json::string* text = row.empty() ? nullptr : row.front().if_string();
    return text != nullptr && std::string_view(text->data(), text->size()) == kind;
}

void read_shift(const json::array& row, line_shifts& shifts) {
    constexpr int max_line = std::numeric_limits<int>::max();
    row_reader reader(row);
    reader.text();
    const std::string file = reader.text();
    const int line = static_cast<int>(reader.integer(0, max_line));
    const int offset = static_cast<int>(reader.integer(-max_line, max_line));
    reader.finish();
    shifts.set(file, line, offset);
}

void read_removal(const json::array& row, intended_state& state) {
    row_reader reader(row);
    reader.text();
    const std::string kind = reader.text();
    const std::string name = reader.text();
    reader.finish();
    std::size_t removed = 0;
    for_each_kind(
        [&](const char* section_kind, auto& sections) { removed += kind == section_kind ? sections.erase(name) : 0; },
        state);
    if (removed != 1) {
        throw malformed("an update removes a section that its base does not have");
    }
}

void apply_shifts(const line_shifts& shifts, intended_state& state) {
    if (shifts.is_empty()) {
        return;
    }
    const auto shift_kind_of = [&](const char* /*kind*/, auto& sections) {
        for (auto& [name, value] : sections) {
            value.origin.line = shifts.shifted_line(value.origin);
        }
    };
    for_each_kind(shift_kind_of, state);
}

void read_changes(row_parser& parser, intended_state& state) {
    line_shifts shifts;
    bool is_shifting = true;
    while (!parser.at_end()) {
        const json::array& row = parser.next();
        if (is_shifting && is_kind(row, shift_kind)) {
            read_shift(row, shifts);
            continue;
        }
        if (is_shifting) {
            apply_shifts(shifts, state);
            is_shifting = false;
        }
        if (is_kind(row, remove_kind)) {
            read_removal(row, state);
        } else {
            read_section(row, state);
        }
    }
    if (is_shifting) {
        apply_shifts(shifts, state);
    }
}

std::shared_ptr<const snapshot> create(update_header header, intended_state state) {
    try {
        return snapshot::create(header.version, header.publish_time, std::move(header.publish_id), std::move(state));
    } catch (const error& failure) {
        throw malformed(failure.what());
    }
}

} // namespace

std::string snapshot_delta::encode(const snapshot* base, const snapshot& target) {
    if (base == nullptr || base->version() >= target.version()) {
        return encode_full(target);
    }
    std::string delta = encode_delta(*base, target);
    // A full update is longer than the canonical bytes, so most deltas are accepted without encoding a full one.
    if (delta.size() < target.canonical_bytes().size()) {
        return delta;
    }
    std::string full = encode_full(target);
    return delta.size() < full.size() ? delta : full;
}

std::shared_ptr<const snapshot> snapshot_delta::apply(const snapshot* base, std::string_view bytes) {
    row_parser parser(bytes);
    const update_header header = read_header(parser.next());
    intended_state state;
    if (header.base_version != 0) {
        if (base == nullptr || base->version() != header.base_version || base->hash() != header.base_hash) {
            throw error(result_code::snapshot_base_mismatch,
                        fmt::format("the update is based on version {}, but version {} is active", header.base_version,
                                    base == nullptr ? 0 : base->version()));
        }
        state = base->state();
    }
    read_changes(parser, state);
    std::shared_ptr<const snapshot> result = create(header, std::move(state));
    if (result->hash() != header.hash) {
        throw error(result_code::snapshot_hash_mismatch,
                    fmt::format("version {}: hash {}, expected {}", header.version, result->hash(), header.hash));
    }
    return result;
}

} // namespace amaranthladder
