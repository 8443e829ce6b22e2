#include "config/snapshot.h"

#include "common/error.h"
#include "config/private/row_codec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace amaranthladder {

namespace {

constexpr std::string_view format_name = "amaranthladder-snapshot";
constexpr std::int64_t format_number = 3;
constexpr std::size_t max_publish_id_bytes = 128;

std::string encode(std::uint64_t version, absl::Time publish_time, const std::string& publish_id,
                   const intended_state& state) {
    std::string result;
    row_writer writer(result);
    writer.write(boost::json::array{boost::json::string_view(format_name.data(), format_name.size()), format_number,
                                    version, to_milliseconds(publish_time),
                                    boost::json::string_view(publish_id.data(), publish_id.size())});
    writer.write(state);
    return result;
}

void check_limits(std::string_view bytes) {
    std::size_t row_count = 0;
    for (std::size_t start = 0; start < bytes.size(); ++row_count) {
        const std::size_t end = bytes.find('\n', start);
        if (end - start > max_row_bytes) {
            throw error(result_code::config_too_large, fmt::format("a section exceeds {} bytes", max_row_bytes));
        }
        start = end + 1;
    }
    if (bytes.size() > max_encoded_bytes || row_count > max_rows + 1) {
        throw error(result_code::config_too_large,
                    fmt::format("{} bytes in {} sections exceed the limit of {} bytes in {} sections", bytes.size(),
                                row_count - 1, max_encoded_bytes, max_rows));
    }
}

} // namespace

snapshot::snapshot(std::uint64_t version, absl::Time publish_time, std::string publish_id, intended_state state)
    : m_version(version), m_publish_time(publish_time), m_publish_id(std::move(publish_id)), m_state(std::move(state)),
      m_canonical_bytes(encode(m_version, m_publish_time, m_publish_id, m_state)),
      m_hash(sha256_hex(m_canonical_bytes)) {}

std::shared_ptr<const snapshot> snapshot::create(std::uint64_t version, absl::Time publish_time, std::string publish_id,
                                                 intended_state state) {
    if (version == 0 || publish_id.size() > max_publish_id_bytes) {
        throw error(
            result_code::config_bad_value,
            fmt::format("version {} is 0 or the publish id of {} bytes is too long", version, publish_id.size()));
    }
    for (auto& [name, value] : state.services) {
        value.timeout = absl::Trunc(value.timeout, absl::Milliseconds(1));
        value.cold_start = absl::Trunc(value.cold_start, absl::Milliseconds(1));
        value.cold_rate = round_to_thousandths(value.cold_rate);
    }
    for (auto& [name, value] : state.tenants) {
        value.rate_per_second = round_to_thousandths(value.rate_per_second);
        value.burst = round_to_thousandths(value.burst);
    }
    for (auto& [name, value] : state.routes) {
        value.timeout = absl::Trunc(value.timeout, absl::Milliseconds(1));
        value.target_latency = absl::Trunc(value.target_latency, absl::Milliseconds(1));
    }
    for (auto& [name, value] : state.limits) {
        value.header_timeout = absl::Trunc(value.header_timeout, absl::Milliseconds(1));
        value.idle_timeout = absl::Trunc(value.idle_timeout, absl::Milliseconds(1));
    }
    for (auto& [name, value] : state.moves) {
        value.deadline = absl::FromUnixMillis(to_milliseconds(value.deadline));
    }
    std::shared_ptr<const snapshot> result(new snapshot(version, absl::FromUnixMillis(to_milliseconds(publish_time)),
                                                        std::move(publish_id), std::move(state)));
    check_limits(result->canonical_bytes());
    return result;
}

std::shared_ptr<const snapshot> snapshot::decode(std::string_view bytes) {
    row_parser parser(bytes);
    row_reader header(parser.next());
    if (header.text() != format_name || header.integer(format_number, format_number) != format_number) {
        throw error(result_code::snapshot_malformed, "the first row does not name a supported format");
    }
    const std::uint64_t version = header.unsigned_integer();
    const absl::Time publish_time = header.time();
    std::string publish_id = header.text();
    header.finish();
    if (version == 0 || publish_id.size() > max_publish_id_bytes) {
        throw error(result_code::snapshot_malformed, "the version is 0 or the publish id is too long");
    }
    intended_state state;
    while (!parser.at_end()) {
        read_section(parser.next(), state);
    }
    std::shared_ptr<const snapshot> result(
        new snapshot(version, publish_time, std::move(publish_id), std::move(state)));
    // Rejects rows out of order, duplicate sections, spaces and any other non-canonical encoding of the same content.
    if (result->canonical_bytes() != bytes) {
        throw error(result_code::snapshot_malformed, "the bytes are not in canonical form");
    }
    return result;
}

std::shared_ptr<const snapshot> snapshot::decode(std::string_view bytes, std::string_view expected_hash) {
    if (bytes.size() > max_encoded_bytes) {
        throw error(result_code::snapshot_malformed,
                    fmt::format("{} bytes exceed the limit of {}", bytes.size(), max_encoded_bytes));
    }
    if (const std::string actual = sha256_hex(bytes); actual != expected_hash) {
        throw error(result_code::snapshot_hash_mismatch, fmt::format("hash {}, expected {}", actual, expected_hash));
    }
    return decode(bytes);
}

} // namespace amaranthladder
