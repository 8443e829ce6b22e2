#include "moves/move_order.h"

#include "common/error.h"
#include "common/result_code.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::array<std::pair<order_report, std::string_view>, 4> report_names{{
    {order_report::none, "none"},
    {order_report::running, "running"},
    {order_report::completed, "completed"},
    {order_report::rolled_back, "rolled-back"},
}};

} // namespace

std::string_view name(order_report report) {
    const auto* const found = std::ranges::find(report_names, report, &decltype(report_names)::value_type::first);
    return found == report_names.end() ? "" : found->second;
}

std::string move_order::encode() const {
    const std::string_view state = name(reported);
    const std::int64_t deadline_ms = deadline == absl::InfiniteFuture() ? 0 : absl::ToUnixMillis(deadline);
    boost::json::array row{service, to_version, introduced_in, deadline_ms,
                           boost::json::string_view(state.data(), state.size())};
    if (rewritten_in != 0) {
        row.emplace_back(rewritten_in);
    }
    return boost::json::serialize(row);
}

move_order move_order::decode(std::string_view bytes) {
    try {
        const boost::json::array row = boost::json::parse({bytes.data(), bytes.size()}).as_array();
        move_order result;
        result.service = row.at(0).as_string().c_str();
        result.to_version = row.at(1).as_string().c_str();
        result.introduced_in = row.at(2).to_number<std::uint64_t>();
        const auto deadline_ms = row.at(3).to_number<std::int64_t>();
        result.deadline = deadline_ms == 0 ? absl::InfiniteFuture() : absl::FromUnixMillis(deadline_ms);
        const std::string state = row.at(4).as_string().c_str();
        const auto* const found =
            std::ranges::find(report_names, std::string_view(state), &decltype(report_names)::value_type::second);
        if (found == report_names.end() || row.size() > 6) {
            throw error(result_code::move_record_malformed, "order has an unknown report or too many elements");
        }
        result.reported = found->first;
        result.rewritten_in = row.size() == 6 ? row.at(5).to_number<revision>() : 0;
        return result;
    } catch (const std::exception& problem) {
        throw error(result_code::move_record_malformed, problem.what());
    }
}

bool is_same_order(const move_order& left, const move_order& right) {
    if (left.to_version != right.to_version) {
        return false;
    }
    for (const revision of_left : {left.introduced_in, left.latest_revision()}) {
        for (const revision of_right : {right.introduced_in, right.latest_revision()}) {
            if (era_of(of_left) == era_of(of_right) && of_left != of_right) {
                return false;
            }
        }
    }
    return true;
}

move_order merge(const move_order& left, const move_order& right) {
    if (!is_same_order(left, right)) {
        const auto rank = [](const move_order& value) {
            return std::tie(value.introduced_in, value.to_version, value.reported);
        };
        if (left.latest_revision() != right.latest_revision()) {
            return left.latest_revision() > right.latest_revision() ? left : right;
        }
        return rank(left) > rank(right) ? left : right;
    }
    move_order joined = left;
    joined.introduced_in = std::min(left.introduced_in, right.introduced_in);
    const revision latest = std::max(left.latest_revision(), right.latest_revision());
    joined.rewritten_in = latest > joined.introduced_in ? latest : 0;
    joined.deadline = std::min(left.deadline, right.deadline);
    joined.reported = std::max(left.reported, right.reported);
    return joined;
}

} // namespace amaranthladder
