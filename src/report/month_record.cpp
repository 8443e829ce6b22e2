#include "report/month_record.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace amaranthladder {

namespace {

[[noreturn]] void throw_malformed(const std::string& detail) {
    throw error(result_code::report_record_malformed, detail);
}

constexpr std::size_t max_id_length = 200;

bool is_valid_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_length && std::ranges::all_of(text, [](unsigned char letter) {
        return std::isalnum(letter) != 0 ||
               std::string_view(".:@_-").find(static_cast<char>(letter)) != std::string_view::npos;
    });
}

std::pair<int, int> parse_month(std::string_view month) {
    const auto is_digit = [&](std::size_t index) {
        return std::isdigit(static_cast<unsigned char>(month[index])) != 0;
    };
    constexpr std::array<std::size_t, 6> digits{0, 1, 2, 3, 5, 6};
    if (month.size() != 7 || month[4] != '-' || !std::ranges::all_of(digits, is_digit)) {
        throw error(result_code::report_bad_month, fmt::format("'{}' is not of the form YYYY-MM", month));
    }
    const int year = std::stoi(std::string(month.substr(0, 4)));
    const int number = std::stoi(std::string(month.substr(5)));
    if (number < 1 || number > 12) {
        throw error(result_code::report_bad_month, fmt::format("'{}' has a month outside 01 to 12", month));
    }
    return {year, number};
}

move_outcome read_outcome(const boost::json::object& object) {
    move_outcome outcome;
    outcome.move = boost::json::value_to<std::string>(object.at("move"));
    outcome.verdict = boost::json::value_to<std::string>(object.at("verdict"));
    outcome.reason = object.at("reason").to_number<int>();
    outcome.time_to_verdict_s = object.at("seconds").to_number<double>();
    outcome.new_version_share = object.at("share").to_number<double>();
    outcome.new_version_calls = object.at("calls").to_number<std::uint64_t>();
    return outcome;
}

traffic_sample read_sample(const boost::json::object& object) {
    traffic_sample sample;
    sample.daemon = boost::json::value_to<std::string>(object.at("daemon"));
    sample.window_seconds = object.at("window_seconds").to_number<double>();
    sample.control_bytes = object.at("control_bytes").to_number<std::uint64_t>();
    for (const boost::json::value& value : object.at("convergence_ms").as_array()) {
        sample.convergence_ms.push_back(value.to_number<std::uint32_t>());
    }
    if (sample.convergence_ms.size() > month_record::max_convergence_values) {
        throw_malformed("too many convergence times");
    }
    return sample;
}

} // namespace

std::string month_record::encode() const {
    if (!is_valid_id(id)) {
        throw_malformed(fmt::format("'{}' is not a record id", id));
    }
    boost::json::object object{{"id", id}, {"month", month}};
    if (const auto* outcome = std::get_if<move_outcome>(&content)) {
        object["move"] = outcome->move;
        object["verdict"] = outcome->verdict;
        object["reason"] = outcome->reason;
        object["seconds"] = outcome->time_to_verdict_s;
        object["share"] = outcome->new_version_share;
        object["calls"] = outcome->new_version_calls;
    } else {
        const auto& sample = std::get<traffic_sample>(content);
        object["daemon"] = sample.daemon;
        object["window_seconds"] = sample.window_seconds;
        object["control_bytes"] = sample.control_bytes;
        object["convergence_ms"] = boost::json::array(sample.convergence_ms.begin(), sample.convergence_ms.end());
    }
    std::string text = boost::json::serialize(object);
    if (text.size() > max_encoded_size) {
        throw_malformed(fmt::format("a record of {} bytes is too large", text.size()));
    }
    return text;
}

month_record month_record::decode(std::string_view text) {
    if (text.size() > max_encoded_size) {
        throw_malformed(fmt::format("a record of {} bytes is too large", text.size()));
    }
    try {
        const boost::json::value parsed = boost::json::parse({text.data(), text.size()});
        const boost::json::object& object = parsed.as_object();
        month_record record;
        record.id = boost::json::value_to<std::string>(object.at("id"));
        record.month = boost::json::value_to<std::string>(object.at("month"));
        parse_month(record.month);
        if (!is_valid_id(record.id)) {
            throw_malformed(fmt::format("'{}' is not a record id", record.id));
        }
        if (object.contains("verdict")) {
            record.content = read_outcome(object);
        } else {
            record.content = read_sample(object);
        }
        return record;
    } catch (const error&) {
        throw;
    } catch (const std::exception& problem) {
        throw_malformed(problem.what());
    }
}

std::string month_of(absl::Time time) {
    return absl::FormatTime("%Y-%m", time, absl::UTCTimeZone());
}

std::string previous_month(std::string_view month) {
    const auto [year, number] = parse_month(month);
    return number == 1 ? fmt::format("{:04}-12", year - 1) : fmt::format("{:04}-{:02}", year, number - 1);
}

month_record make_outcome_record(move_outcome outcome, absl::Time ended_at) {
    std::string id = "move:" + outcome.move;
    return {std::move(id), month_of(ended_at), std::move(outcome)};
}

month_record make_sample_record(traffic_sample sample, absl::Time window_start) {
    std::string id = fmt::format("sample:{}:{}", sample.daemon, absl::ToUnixSeconds(window_start));
    return {std::move(id), month_of(window_start), std::move(sample)};
}

} // namespace amaranthladder
