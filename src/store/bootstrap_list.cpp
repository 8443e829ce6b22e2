#include "store/bootstrap_list.h"

#include "common/error.h"

#include <absl/random/distributions.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

std::string bootstrap_list::to_text() const {
    boost::json::array texts;
    for (const endpoint& entry : endpoints) {
        texts.emplace_back(to_string(entry));
    }
    return boost::json::serialize(boost::json::object{{"endpoints", std::move(texts)}});
}

bootstrap_list bootstrap_list::parse(const std::string& text) {
    bootstrap_list result;
    try {
        const boost::json::value parsed = boost::json::parse(text);
        for (const auto& entry : parsed.as_object().at("endpoints").as_array()) {
            if (result.endpoints.size() < max_endpoints) {
                result.endpoints.push_back(parse_endpoint({entry.as_string().data(), entry.as_string().size()}));
            }
        }
    } catch (const std::exception& problem) {
        throw error(result_code::store_bad_answer, fmt::format("bootstrap list: {}", problem.what()));
    }
    return result;
}

bool bootstrap_list::is_outdated(const std::vector<endpoint>& living) const {
    const auto living_entries = static_cast<std::size_t>(std::ranges::count_if(
        endpoints, [&living](const endpoint& entry) { return std::ranges::find(living, entry) != living.end(); }));
    const std::size_t possible = std::min(max_endpoints, living.size());
    return living_entries * 4 < possible * 3 || living_entries * 4 < endpoints.size() * 3;
}

bootstrap_list bootstrap_list::choose(std::vector<endpoint> living, absl::BitGenRef random) {
    bootstrap_list result;
    while (!living.empty() && result.endpoints.size() < max_endpoints) {
        const auto position = absl::Uniform<std::size_t>(random, 0, living.size());
        std::swap(living[position], living.back());
        result.endpoints.push_back(std::move(living.back()));
        living.pop_back();
    }
    return result;
}

std::string bootstrap_list_key(const std::string& data_center) {
    return fmt::format("join/{}", data_center);
}

std::vector<endpoint> bootstrap_list_endpoints(const std::string& text) {
    try {
        return bootstrap_list::parse(text).endpoints;
    } catch (const error&) {
        return {};
    }
}

} // namespace amaranthladder
