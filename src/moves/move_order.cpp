#include "moves/move_order.h"

#include "common/error.h"
#include "common/result_code.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
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
    return boost::json::serialize(boost::json::array{service, to_version, introduced_in, deadline_ms,
                                                     boost::json::string_view(state.data(), state.size())});
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
        if (found == report_names.end() || row.size() != 5) {
            throw error(result_code::move_record_malformed, "order has an unknown report or too many elements");
        }
        result.reported = found->first;
        return result;
    } catch (const std::exception& problem) {
        throw error(result_code::move_record_malformed, problem.what());
    }
}

move_order merge(const move_order& left, const move_order& right) {
    if (left.introduced_in != right.introduced_in) {
        return left.introduced_in > right.introduced_in ? left : right;
    }
    move_order joined = left;
    joined.deadline = std::min(left.deadline, right.deadline);
    joined.reported = std::max(left.reported, right.reported);
    return joined;
}

} // namespace amaranthladder
