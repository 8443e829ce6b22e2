#pragma once

#include "config/intended_state.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Snapshots and deltas are text with one row per line. A row is a JSON array whose first element names its kind;
/// arrays take less than half the bytes of objects with named members.
///
/// Rows: `["service",name,timeout_ms,queue_limit,max_connections,health_path,cold_start_ms,cold_rate,file,line]`,
/// `["route",name,host,service,{service:weight},path_prefix,needs_subpath,[methods],kind,timeout_ms,target_latency_ms,
/// max_attempts,priority,allows_anonymous,file,line]`, `["share",service,{version:weight},file,line]`,
/// `["move",name,service,from,to,deadline_ms,introduced_in,file,line]` with the deadline in Unix milliseconds,
/// `["limits",name,max_header_bytes,max_body_bytes,header_timeout_ms,idle_timeout_ms,file,line]`, and
/// `["tenant",name,[key_digests],priority,rate_per_second,burst,file,line]` with a priority of -1 if none is stated.
/// Rates and bursts are in thousandths.

/// Maximum size of an encoded snapshot and of an encoded delta.
inline constexpr std::size_t max_encoded_bytes = std::size_t{16} * 1024 * 1024;
/// Maximum size of a row. The longest valid row is a tenant with 1,500 keys.
inline constexpr std::size_t max_row_bytes = std::size_t{64} * 1024;
/// Maximum number of sections in a snapshot, which bounds the memory of a decoder. The target size needs about 8,000.
inline constexpr std::size_t max_rows = 50'000;

/// Encodes rows and appends them to a string.
class row_writer {
public:
    /// @param out receives the rows; must outlive the writer.
    explicit row_writer(std::string& out);
    ~row_writer();
    row_writer(const row_writer&) = delete;
    row_writer& operator=(const row_writer&) = delete;

    void write(const service& value);
    void write(const route& value);
    void write(const share& value);
    void write(const move& value);
    void write(const caller_limits& value);
    void write(const tenant& value);
    /// Writes each section of @p state: services, routes, shares, moves, limits and tenants, each in the order of their
    /// names.
    void write(const intended_state& state);
    /// Writes any other row.
    void write(const boost::json::array& row);

private:
    struct scratch;
    std::unique_ptr<scratch> m_scratch;
};

/// Reads the elements of a parsed row in order. Each function throws error with result_code::snapshot_malformed if the
/// next element is missing, has another type or is out of range.
class row_reader {
public:
    /// @param row must outlive the reader.
    explicit row_reader(const boost::json::array& row);

    std::string text();
    std::int64_t integer(std::int64_t low, std::int64_t high);
    std::uint64_t unsigned_integer();
    bool boolean();
    /// @return an integer of at least 0.
    int count();
    /// @return a decimal number of at least 0, which rows hold in thousandths.
    double number();
    std::vector<std::string> texts();
    absl::Time time();
    absl::Duration duration();
    source_line origin();
    const boost::json::value& next();
    /// Checks that the row has no further element.
    void finish() const;

private:
    const boost::json::array& m_row;
    std::size_t m_next = 0;
};

/// Splits encoded text into rows and parses them one at a time to bound the memory.
class row_parser {
public:
    /// @param bytes the text; must outlive the parser.
    /// @throws error with result_code::snapshot_malformed if it is too large or does not end with a line feed.
    explicit row_parser(std::string_view bytes);
    ~row_parser();
    row_parser(const row_parser&) = delete;
    row_parser& operator=(const row_parser&) = delete;

    /// @return true if all rows have been read.
    bool at_end() const {
        return m_remaining.empty();
    }

    /// @return the next row, valid until the next call.
    /// @throws error with result_code::snapshot_malformed if there is no row, it exceeds a limit or is not a JSON
    /// array.
    const boost::json::array& next();

private:
    struct scratch;
    std::string_view m_remaining;
    std::unique_ptr<scratch> m_scratch;
    std::size_t m_row_count = 0;
};

/// Adds the section in @p row to @p target, replacing a section of the same kind and name.
/// @throws error with result_code::snapshot_malformed if @p row is not a valid section.
void read_section(const boost::json::array& row, intended_state& target);

/// @return @p value in thousandths, as rows hold decimal numbers; 0 for a value that rows cannot hold.
std::int64_t to_thousandths(double value);

/// @return the decimal number that a row holds for @p value.
double round_to_thousandths(double value);

/// @return @p value as Unix milliseconds.
std::int64_t to_milliseconds(absl::Time value);

/// @return the SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

} // namespace amaranthladder
