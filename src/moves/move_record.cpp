#include "moves/move_record.h"

#include "common/error.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <memory>

namespace amaranthladder {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::int64_t format_version = 1;
constexpr std::int64_t progress_kind = 1;
constexpr std::int64_t call_counts_kind = 2;
constexpr double first_bucket_us = 250.0;

[[noreturn]] void throw_malformed(const std::string& detail) {
    throw error(result_code::move_record_malformed, detail);
}

std::int64_t to_milliseconds(absl::Time time) {
    return time == absl::InfiniteFuture() ? -1 : absl::ToUnixMillis(time);
}

absl::Time from_milliseconds(std::int64_t milliseconds) {
    return milliseconds == -1 ? absl::InfiniteFuture() : absl::FromUnixMillis(milliseconds);
}

/// Writes values in Thrift's compact encoding without field headers; their order defines the format.
class record_writer {
public:
    void number(std::uint64_t value) {
        if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            throw_malformed("number exceeds 63 bits");
        }
        m_protocol.writeI64(static_cast<std::int64_t>(value));
    }

    void time(absl::Time value) {
        m_protocol.writeI64(to_milliseconds(value));
    }

    void text(const std::string& value) {
        if (value.size() > move_call_counts::max_id_length) {
            throw_malformed(fmt::format("'{}' is longer than {} bytes", value, move_call_counts::max_id_length));
        }
        m_protocol.writeString(value);
    }

    void summary(const call_summary& value) {
        number(value.calls);
        number(value.failed);
        number(value.refused);
        number(value.median_us);
    }

    std::string bytes() const {
        return m_buffer->getBufferAsString();
    }

private:
    std::shared_ptr<TMemoryBuffer> m_buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> m_protocol{m_buffer};
};

/// Reads the output of record_writer. Every read is bounded by the length of the input.
class record_reader {
public:
    explicit record_reader(std::string_view bytes)
        : m_buffer(std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
                                                   static_cast<std::uint32_t>(bytes.size()))),
          m_protocol(m_buffer, static_cast<std::int32_t>(move_call_counts::max_id_length), 0) {}

    std::uint64_t number(std::uint64_t limit = std::numeric_limits<std::int64_t>::max()) {
        const std::int64_t value = signed_number();
        if (value < 0 || static_cast<std::uint64_t>(value) > limit) {
            throw_malformed(fmt::format("number {} is out of range", value));
        }
        return static_cast<std::uint64_t>(value);
    }

    absl::Time time() {
        const std::int64_t value = signed_number();
        if (value < -1) {
            throw_malformed(fmt::format("time {} is out of range", value));
        }
        return from_milliseconds(value);
    }

    std::string text() {
        std::string value;
        m_protocol.readString(value);
        return value;
    }

    call_summary summary() {
        call_summary value;
        value.calls = number();
        value.failed = number();
        value.refused = number();
        value.median_us = number();
        return value;
    }

    bool is_at_end() const {
        return m_buffer->available_read() == 0;
    }

private:
    std::int64_t signed_number() {
        std::int64_t value = 0;
        m_protocol.readI64(value);
        return value;
    }

    std::shared_ptr<TMemoryBuffer> m_buffer;
    TCompactProtocolT<TMemoryBuffer> m_protocol;
};

void write(record_writer& out, const move_progress& progress) {
    out.number(progress_kind);
    out.time(progress.deadline);
    out.time(progress.started_at);
    out.time(progress.completed_at);
    out.number(static_cast<std::uint64_t>(progress.stage));
    out.number(progress.is_replaced ? 1 : 0);
    out.number(progress.rollback ? 1 : 0);
    if (!progress.rollback) {
        return;
    }
    const rollback_record& rollback = *progress.rollback;
    out.time(rollback.decided_at);
    out.number(static_cast<std::uint64_t>(rollback.reason));
    out.text(rollback.decided_by);
    out.text(rollback.route);
    out.number(static_cast<std::uint64_t>(rollback.stage));
    out.number(rollback.exposed_calls);
    out.summary(rollback.new_version);
    out.summary(rollback.old_version);
}

constexpr std::uint64_t max_stage = 31;

result_code read_reason(record_reader& in) {
    const std::uint64_t number = in.number(9999);
    const auto codes = result_codes();
    const auto found = std::ranges::find(codes, static_cast<result_code>(number), &result_code_entry::code);
    if (found == codes.end()) {
        throw_malformed(fmt::format("unknown rollback reason {}", number));
    }
    return found->code;
}

move_progress read_progress(record_reader& in) {
    move_progress progress;
    progress.deadline = in.time();
    progress.started_at = in.time();
    progress.completed_at = in.time();
    progress.stage = static_cast<int>(in.number(max_stage));
    progress.is_replaced = in.number(1) == 1;
    if (in.number(1) == 0) {
        return progress;
    }
    rollback_record rollback;
    rollback.decided_at = in.time();
    rollback.reason = read_reason(in);
    rollback.decided_by = in.text();
    rollback.route = in.text();
    rollback.stage = static_cast<int>(in.number(max_stage));
    rollback.exposed_calls = in.number();
    rollback.new_version = in.summary();
    rollback.old_version = in.summary();
    progress.rollback = std::move(rollback);
    return progress;
}

void write(record_writer& out, const move_call_counts& counts) {
    out.number(call_counts_kind);
    out.text(counts.contributor);
    out.number(counts.side == move_side::new_version ? 1 : 0);
    out.text(counts.route);
    out.number(counts.incarnation);
    out.number(counts.sequence);
    out.time(counts.counted_until);
    out.number((counts.has_upstream ? 1U : 0U) + (counts.is_urgent ? 2U : 0U));
    out.number(counts.good);
    out.number(counts.failed);
    out.number(counts.refused);
    if (counts.latency.size() > move_call_counts::latency_bucket_count) {
        throw_malformed("too many latency buckets");
    }
    // Leading zeros are omitted, since the latencies of most services fall into a few adjacent buckets.
    const auto first = std::ranges::find_if(counts.latency, [](std::uint32_t count) { return count > 0; });
    out.number(static_cast<std::uint64_t>(first - counts.latency.begin()));
    out.number(static_cast<std::uint64_t>(counts.latency.end() - first));
    std::for_each(first, counts.latency.end(), [&](std::uint32_t count) { out.number(count); });
}

move_call_counts read_call_counts(record_reader& in) {
    move_call_counts counts;
    counts.contributor = in.text();
    counts.side = in.number(1) == 1 ? move_side::new_version : move_side::old_version;
    counts.route = in.text();
    counts.incarnation = in.number();
    counts.sequence = in.number();
    counts.counted_until = in.time();
    const std::uint64_t flags = in.number(3);
    counts.has_upstream = (flags & 1U) != 0;
    counts.is_urgent = (flags & 2U) != 0;
    counts.good = in.number();
    counts.failed = in.number();
    counts.refused = in.number();
    const std::uint64_t skipped = in.number(move_call_counts::latency_bucket_count);
    const std::uint64_t count = in.number(move_call_counts::latency_bucket_count - skipped);
    counts.latency.resize(skipped + count);
    for (std::uint64_t index = skipped; index < skipped + count; ++index) {
        counts.latency[index] = static_cast<std::uint32_t>(in.number(std::numeric_limits<std::uint32_t>::max()));
    }
    if (!counts.latency.empty() && counts.latency.back() == 0) {
        throw_malformed("last latency bucket is zero");
    }
    return counts;
}

move_progress join(const move_progress& left, const move_progress& right) {
    move_progress result = left;
    result.deadline = std::min(left.deadline, right.deadline);
    result.started_at = std::min(left.started_at, right.started_at);
    result.completed_at = std::min(left.completed_at, right.completed_at);
    result.stage = std::max(left.stage, right.stage);
    result.is_replaced = left.is_replaced || right.is_replaced;
    if (!left.rollback || (right.rollback && *right.rollback < *left.rollback)) {
        result.rollback = right.rollback; // The earliest decision wins.
    }
    return result;
}

move_call_counts join(const move_call_counts& left, const move_call_counts& right) {
    // One contributor never sends different records with the same (incarnation, sequence). Comparing all fields keeps
    // the merge commutative for records that were altered in transit.
    const auto as_tuple = [](const move_call_counts& value) {
        return std::tie(value.incarnation, value.sequence, value.good, value.failed, value.refused, value.counted_until,
                        value.has_upstream, value.is_urgent, value.latency);
    };
    return as_tuple(left) < as_tuple(right) ? right : left;
}

constexpr std::array<std::string_view, 5> verdict_names{"under-way", "replaced", "done-late", "done", "rolled-back"};

} // namespace

std::string_view name(move_verdict verdict) {
    return verdict_names.at(static_cast<std::size_t>(verdict));
}

move_verdict move_progress::verdict() const {
    if (rollback) {
        return move_verdict::rolled_back;
    }
    if (completed_at != absl::InfiniteFuture()) {
        return completed_at <= deadline ? move_verdict::done : move_verdict::done_late;
    }
    return is_replaced ? move_verdict::replaced : move_verdict::under_way;
}

int move_call_counts::latency_bucket(absl::Duration latency) {
    const double microseconds = absl::ToDoubleMicroseconds(latency);
    if (microseconds <= first_bucket_us) {
        return 0;
    }
    return std::min(latency_bucket_count - 1,
                    static_cast<int>(std::ceil(2.0 * std::log2(microseconds / first_bucket_us))));
}

absl::Duration move_call_counts::bucket_midpoint(int bucket) {
    return absl::Microseconds(first_bucket_us * std::exp2((bucket - 0.5) / 2.0));
}

std::string move_record::key() const {
    std::string text = fmt::format("{}@{}", identity.name, identity.introduced_in);
    if (const auto* counts = std::get_if<move_call_counts>(&content)) {
        text += fmt::format("/{}/{}/{}", counts->contributor, counts->side == move_side::new_version ? "new" : "old",
                            counts->route);
    }
    return text;
}

bool move_record::is_urgent() const {
    if (const auto* counts = std::get_if<move_call_counts>(&content)) {
        return counts->is_urgent;
    }
    return std::get<move_progress>(content).rollback.has_value() || identity.name.starts_with(order_move_prefix);
}

std::string move_record::encode() const {
    record_writer out;
    out.number(format_version);
    out.text(identity.name);
    out.number(identity.introduced_in);
    std::visit([&](const auto& value) { write(out, value); }, content);
    std::string bytes = out.bytes();
    if (bytes.size() > max_encoded_size) {
        throw_malformed(fmt::format("encoded record of {} bytes exceeds {}", bytes.size(), max_encoded_size));
    }
    return bytes;
}

move_record move_record::decode(std::string_view bytes) {
    if (bytes.empty() || bytes.size() > max_encoded_size) {
        throw_malformed(fmt::format("record size of {} bytes is not in 1 to {}", bytes.size(), max_encoded_size));
    }
    try {
        record_reader in(bytes);
        if (in.number() != format_version) {
            throw_malformed("unsupported format version");
        }
        move_record record;
        record.identity.name = in.text();
        record.identity.introduced_in = in.number();
        const std::uint64_t kind = in.number(call_counts_kind);
        if (kind == progress_kind) {
            record.content = read_progress(in);
        } else if (kind == call_counts_kind) {
            record.content = read_call_counts(in);
        } else {
            throw_malformed("unknown record kind");
        }
        if (!in.is_at_end()) {
            throw_malformed("unexpected bytes after the record");
        }
        return record;
    } catch (const apache::thrift::TException& problem) {
        throw_malformed(problem.what());
    }
}

move_record merge(const move_record& left, const move_record& right) {
    if (left.key() != right.key()) {
        throw error(result_code::internal_error,
                    fmt::format("cannot merge records with keys '{}' and '{}'", left.key(), right.key()));
    }
    move_record result = left;
    if (const auto* progress = std::get_if<move_progress>(&left.content)) {
        result.content = join(*progress, std::get<move_progress>(right.content));
    } else {
        result.content = join(std::get<move_call_counts>(left.content), std::get<move_call_counts>(right.content));
    }
    return result;
}

} // namespace amaranthladder
