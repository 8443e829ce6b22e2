#include "daemon/upstream_departure.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

/// Announcements are delayed by a few seconds at most, and the clocks of hosts differ by seconds.
constexpr absl::Duration retention = absl::Minutes(2);

constexpr std::array<std::pair<departure_kind, std::string_view>, 3> kind_names{{
    {departure_kind::announced, "announced"},
    {departure_kind::responded, "responded"},
    {departure_kind::ended, "ended"},
}};

/// Removes the first word from @p rest, whose words are separated by spaces.
std::string_view take_word(std::string_view& rest) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return word;
}

template <typename Number> Number read_number(std::string_view word) {
    const std::optional<Number> number = parse_number<Number>(word);
    if (!number) {
        throw error(result_code::message_malformed, fmt::format("departure: '{}' is not a number", word));
    }
    return *number;
}

std::optional<upstream_departure> try_decode(const std::string& bytes) {
    try {
        return upstream_departure::decode(bytes);
    } catch (const error&) {
        return std::nullopt; // A malformed record of another writer loses against any valid one.
    }
}

} // namespace

std::string_view name(departure_kind kind) {
    const auto* const found = std::ranges::find(kind_names, kind, &decltype(kind_names)::value_type::first);
    return found == kind_names.end() ? "" : found->second;
}

bool upstream_departure::supersedes(absl::Time announced_start, std::uint64_t announced_sequence) const {
    if (announced_start != started_at) {
        return announced_start < started_at;
    }
    return kind == departure_kind::ended || (kind == departure_kind::announced && announced_sequence < sequence);
}

std::string upstream_departure::encode() const {
    return fmt::format("{} {} {} {}", absl::ToUnixMillis(started_at), name(kind), sequence,
                       absl::ToUnixMillis(said_at));
}

upstream_departure upstream_departure::decode(std::string_view bytes) {
    upstream_departure result;
    result.started_at = absl::FromUnixMillis(read_number<std::int64_t>(take_word(bytes)));
    const std::string_view kind = take_word(bytes);
    const auto* const found = std::ranges::find(kind_names, kind, &decltype(kind_names)::value_type::second);
    if (found == kind_names.end()) {
        throw error(result_code::message_malformed, fmt::format("departure: unknown kind '{}'", kind));
    }
    result.kind = found->first;
    result.sequence = read_number<std::uint64_t>(take_word(bytes));
    result.said_at = absl::FromUnixMillis(read_number<std::int64_t>(bytes));
    return result;
}

bool is_later(const upstream_departure& left, const upstream_departure& right) {
    return std::tie(left.started_at, left.kind, left.sequence, left.said_at) >
           std::tie(right.started_at, right.kind, right.sequence, right.said_at);
}

bool is_obsolete(const upstream_departure& departure, absl::Time now) {
    return absl::AbsDuration(now - departure.said_at) > retention;
}

std::string merge_departure_records(const std::string& held, const std::string& heard) {
    const std::optional<upstream_departure> held_departure = try_decode(held);
    const std::optional<upstream_departure> heard_departure = try_decode(heard);
    if (held_departure && heard_departure) {
        return is_later(*heard_departure, *held_departure) ? heard : held;
    }
    if (!held_departure && !heard_departure) {
        return std::max(held, heard);
    }
    return held_departure ? held : heard;
}

} // namespace amaranthladder
