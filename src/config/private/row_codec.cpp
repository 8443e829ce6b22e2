#include "config/private/row_codec.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace amaranthladder {

namespace json = boost::json;

namespace {

constexpr std::size_t scratch_bytes = 16'384;
/// Bound of decimal numbers, far above any rate.
constexpr std::int64_t max_thousandths = 1'000'000'000'000'000;
constexpr double thousandths = 1000;

double from_thousandths(std::int64_t value) {
    return static_cast<double>(value) / thousandths;
}

/// Stands for the priority of a tenant that states none.
constexpr int no_priority = -1;

/// A stated priority below 0, which is not valid, must not be read as none: a daemon that decodes the row would accept
/// what the one that wrote it refuses.
std::int64_t encoded_priority(std::optional<int> priority) {
    if (!priority) {
        return no_priority;
    }
    return *priority < 0 ? std::int64_t{*priority} + no_priority : *priority;
}
// The end of the year 9999, the last year that RFC 3339 can represent.
constexpr std::int64_t latest_milliseconds = 253'402'300'799'999;

error malformed(const std::string& detail) {
    return {result_code::snapshot_malformed, detail};
}

json::string_view view(const std::string& text) {
    return {text.data(), text.size()};
}

std::string text_of(const json::value& element) {
    const json::string* text = element.if_string();
    if (text == nullptr) {
        throw malformed("a row element is not a string");
    }
    return {text->data(), text->size()};
}

service read_service(row_reader& row) {
    service result;
    result.name = row.text();
    result.timeout = row.duration();
    result.queue_limit = row.count();
    result.max_connections = row.count();
    result.health_path = row.text();
    result.cold_start = row.duration();
    result.cold_rate = row.number();
    result.origin = row.origin();
    return result;
}

std::map<std::string, int> read_weights(row_reader& row) {
    const json::object* weights = row.next().if_object();
    if (weights == nullptr) {
        throw malformed("a row element is not an object of weights");
    }
    std::map<std::string, int> result;
    for (const auto& [key, weight] : *weights) {
        if (!weight.is_int64() || weight.get_int64() < 0 || weight.get_int64() > std::numeric_limits<int>::max()) {
            throw malformed("a weight is not an integer in the allowed range");
        }
        result.emplace(std::string(key.data(), key.size()), static_cast<int>(weight.get_int64()));
    }
    return result;
}

json::object write_weights(const std::map<std::string, int>& values, const json::storage_ptr& memory) {
    json::object weights(memory);
    for (const auto& [key, weight] : values) {
        weights.emplace(view(key), weight);
    }
    return weights;
}

json::array write_texts(const std::vector<std::string>& values, const json::storage_ptr& memory) {
    json::array texts(memory);
    texts.reserve(values.size());
    for (const std::string& value : values) {
        texts.emplace_back(view(value));
    }
    return texts;
}

route read_route(row_reader& row) {
    route result;
    result.name = row.text();
    result.host = row.text();
    result.service = row.text();
    result.weight_by_service = read_weights(row);
    result.path_prefix = row.text();
    result.needs_subpath = row.boolean();
    result.methods = row.texts();
    const std::optional<route_kind> kind = parse_route_kind(row.text());
    if (!kind) {
        throw malformed("a route row has an unknown kind");
    }
    result.kind = *kind;
    result.timeout = row.duration();
    result.target_latency = row.duration();
    result.max_attempts = row.count();
    result.priority = row.count();
    result.allows_anonymous = row.boolean();
    result.origin = row.origin();
    return result;
}

share read_share(row_reader& row) {
    share result;
    result.service = row.text();
    result.weight_by_version = read_weights(row);
    result.origin = row.origin();
    return result;
}

move read_move(row_reader& row) {
    move result;
    result.name = row.text();
    result.service = row.text();
    result.from_version = row.text();
    result.to_version = row.text();
    result.deadline = row.time();
    result.introduced_in = row.unsigned_integer();
    result.origin = row.origin();
    return result;
}

/// Adds a section under its name, or replaces the section with this name.
template <typename Section>
void put(std::map<std::string, Section>& sections, std::string Section::*key, Section value) {
    std::string section_name = value.*key;
    sections.insert_or_assign(std::move(section_name), std::move(value));
}

caller_limits read_limits(row_reader& row) {
    caller_limits result;
    result.name = row.text();
    result.max_header_bytes = row.unsigned_integer();
    result.max_body_bytes = row.unsigned_integer();
    result.header_timeout = row.duration();
    result.idle_timeout = row.duration();
    result.origin = row.origin();
    return result;
}

tenant read_tenant(row_reader& row) {
    tenant result;
    result.name = row.text();
    result.key_digests = row.texts();
    const std::int64_t priority = row.integer(no_priority, std::numeric_limits<int>::max());
    if (priority != no_priority) {
        result.priority = static_cast<int>(priority);
    }
    result.rate_per_second = row.number();
    result.burst = row.number();
    result.origin = row.origin();
    return result;
}

} // namespace

std::int64_t to_thousandths(double value) {
    const double scaled = std::round(value * thousandths);
    // Also false for a value that is not a number.
    return scaled >= 0 && scaled <= static_cast<double>(max_thousandths) ? static_cast<std::int64_t>(scaled) : 0;
}

double round_to_thousandths(double value) {
    return from_thousandths(to_thousandths(value));
}

std::int64_t to_milliseconds(absl::Time value) {
    return absl::ToUnixMillis(value);
}

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw error(result_code::internal_error, "SHA-256 is not available");
    }
    std::string result;
    result.reserve(std::size_t{size} * 2);
    for (unsigned int i = 0; i < size; ++i) {
        fmt::format_to(std::back_inserter(result), "{:02x}", digest[i]);
    }
    return result;
}

struct row_writer::scratch {
    std::string& out;
    json::serializer serializer;
    std::array<unsigned char, scratch_bytes> buffer;
    std::array<char, 4096> chunk;
};

row_writer::row_writer(std::string& out) : m_scratch(new scratch{out, {}, {}, {}}) {}

row_writer::~row_writer() = default;

void row_writer::write(const json::array& row) {
    m_scratch->serializer.reset(&row);
    while (!m_scratch->serializer.done()) {
        const json::string_view part = m_scratch->serializer.read(m_scratch->chunk.data(), m_scratch->chunk.size());
        m_scratch->out.append(part.data(), part.size());
    }
    m_scratch->out.push_back('\n');
}

void row_writer::write(const service& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    write(json::array({"service", view(value.name), absl::ToInt64Milliseconds(value.timeout), value.queue_limit,
                       value.max_connections, view(value.health_path), absl::ToInt64Milliseconds(value.cold_start),
                       to_thousandths(value.cold_rate), view(value.origin.file), value.origin.line},
                      &memory));
}

void row_writer::write(const route& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    const std::string_view kind = name(value.kind);
    json::array row({"route", view(value.name), view(value.host), view(value.service)}, &memory);
    row.emplace_back(write_weights(value.weight_by_service, &memory));
    row.emplace_back(view(value.path_prefix));
    row.emplace_back(value.needs_subpath);
    row.emplace_back(write_texts(value.methods, &memory));
    row.emplace_back(json::string_view(kind.data(), kind.size()));
    row.emplace_back(absl::ToInt64Milliseconds(value.timeout));
    row.emplace_back(absl::ToInt64Milliseconds(value.target_latency));
    row.emplace_back(value.max_attempts);
    row.emplace_back(value.priority);
    row.emplace_back(value.allows_anonymous);
    row.emplace_back(view(value.origin.file));
    row.emplace_back(value.origin.line);
    write(row);
}

void row_writer::write(const share& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    json::array row({"share", view(value.service)}, &memory);
    row.emplace_back(write_weights(value.weight_by_version, &memory));
    row.emplace_back(view(value.origin.file));
    row.emplace_back(value.origin.line);
    write(row);
}

void row_writer::write(const move& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    write(
        json::array({"move", view(value.name), view(value.service), view(value.from_version), view(value.to_version),
                     to_milliseconds(value.deadline), value.introduced_in, view(value.origin.file), value.origin.line},
                    &memory));
}

void row_writer::write(const caller_limits& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    write(json::array({"limits", view(value.name), value.max_header_bytes, value.max_body_bytes,
                       absl::ToInt64Milliseconds(value.header_timeout), absl::ToInt64Milliseconds(value.idle_timeout),
                       view(value.origin.file), value.origin.line},
                      &memory));
}

void row_writer::write(const tenant& value) {
    json::monotonic_resource memory(m_scratch->buffer.data(), m_scratch->buffer.size());
    json::array row({"tenant", view(value.name)}, &memory);
    row.emplace_back(write_texts(value.key_digests, &memory));
    row.emplace_back(encoded_priority(value.priority));
    row.emplace_back(to_thousandths(value.rate_per_second));
    row.emplace_back(to_thousandths(value.burst));
    row.emplace_back(view(value.origin.file));
    row.emplace_back(value.origin.line);
    write(row);
}

void row_writer::write(const intended_state& state) {
    const auto write_all = [this](const auto& sections) {
        for (const auto& [name, value] : sections) {
            write(value);
        }
    };
    write_all(state.services);
    write_all(state.routes);
    write_all(state.shares);
    write_all(state.moves);
    write_all(state.limits);
    write_all(state.tenants);
}

row_reader::row_reader(const json::array& row) : m_row(row) {}

const json::value& row_reader::next() {
    if (m_next >= m_row.size()) {
        throw malformed("a row has too few elements");
    }
    return m_row[m_next++];
}

std::string row_reader::text() {
    return text_of(next());
}

std::int64_t row_reader::integer(std::int64_t low, std::int64_t high) {
    const json::value& element = next();
    if (!element.is_int64() || element.get_int64() < low || element.get_int64() > high) {
        throw malformed(fmt::format("a row element is not a number from {} to {}", low, high));
    }
    return element.get_int64();
}

std::uint64_t row_reader::unsigned_integer() {
    const json::value& element = next();
    if (element.is_uint64()) {
        return element.get_uint64();
    }
    if (!element.is_int64() || element.get_int64() < 0) {
        throw malformed("a row element is not a number of at least 0");
    }
    return static_cast<std::uint64_t>(element.get_int64());
}

bool row_reader::boolean() {
    const json::value& element = next();
    if (!element.is_bool()) {
        throw malformed("a row element is not true or false");
    }
    return element.get_bool();
}

int row_reader::count() {
    return static_cast<int>(integer(0, std::numeric_limits<int>::max()));
}

double row_reader::number() {
    return from_thousandths(integer(0, max_thousandths));
}

std::vector<std::string> row_reader::texts() {
    const json::array* elements = next().if_array();
    if (elements == nullptr) {
        throw malformed("a row element is not an array of strings");
    }
    std::vector<std::string> result;
    result.reserve(elements->size());
    for (const json::value& element : *elements) {
        result.push_back(text_of(element));
    }
    return result;
}

absl::Time row_reader::time() {
    return absl::FromUnixMillis(integer(0, latest_milliseconds));
}

absl::Duration row_reader::duration() {
    return absl::Milliseconds(integer(0, std::numeric_limits<int>::max()));
}

source_line row_reader::origin() {
    source_line result;
    result.file = text();
    result.line = static_cast<int>(integer(0, std::numeric_limits<int>::max()));
    return result;
}

void row_reader::finish() const {
    if (m_next != m_row.size()) {
        throw malformed("a row has too many elements");
    }
}

struct row_parser::scratch {
    json::parser parser{json::storage_ptr(), parse_options()};
    std::array<unsigned char, scratch_bytes> buffer{};
    json::monotonic_resource memory{buffer.data(), buffer.size()};
    json::value row;

    static json::parse_options parse_options() {
        json::parse_options result;
        result.max_depth = 4;
        return result;
    }
};

row_parser::row_parser(std::string_view bytes) : m_remaining(bytes), m_scratch(std::make_unique<scratch>()) {
    if (bytes.size() > max_encoded_bytes) {
        throw malformed(fmt::format("{} bytes exceed the limit of {}", bytes.size(), max_encoded_bytes));
    }
    if (!bytes.ends_with('\n')) {
        throw malformed("the last row does not end with a line feed");
    }
}

row_parser::~row_parser() = default;

const json::array& row_parser::next() {
    const std::size_t size = m_remaining.find('\n');
    if (size == std::string_view::npos || size > max_row_bytes || ++m_row_count > max_rows + 1) {
        throw malformed(fmt::format("a row is missing or exceeds {} bytes, or there are more than {} rows",
                                    max_row_bytes, max_rows));
    }
    m_scratch->row = nullptr;
    m_scratch->memory.release();
    m_scratch->parser.reset(&m_scratch->memory);
    json::error_code failure;
    m_scratch->parser.write(m_remaining.data(), size, failure);
    if (failure) {
        throw malformed(fmt::format("row {}: {}", m_row_count, failure.message()));
    }
    json::value parsed = m_scratch->parser.release();
    m_remaining.remove_prefix(size + 1);
    if (!parsed.is_array()) {
        throw malformed(fmt::format("row {} is not an array", m_row_count));
    }
    // Assignment does not change the memory resource of a value, so the value is constructed anew for each row.
    m_scratch->row.~value();
    ::new (&m_scratch->row) json::value(std::move(parsed));
    return m_scratch->row.get_array();
}

void read_section(const json::array& row, intended_state& target) {
    row_reader reader(row);
    const std::string kind = reader.text();
    if (kind == "service") {
        put(target.services, &service::name, read_service(reader));
    } else if (kind == "route") {
        put(target.routes, &route::name, read_route(reader));
    } else if (kind == "share") {
        put(target.shares, &share::service, read_share(reader));
    } else if (kind == "move") {
        put(target.moves, &move::name, read_move(reader));
    } else if (kind == "limits") {
        put(target.limits, &caller_limits::name, read_limits(reader));
    } else if (kind == "tenant") {
        put(target.tenants, &tenant::name, read_tenant(reader));
    } else {
        throw malformed("a row has an unknown kind");
    }
    reader.finish();
}

} // namespace amaranthladder
