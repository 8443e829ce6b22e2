#include "store/join_page.h"

#include "common/error.h"

#include <absl/random/distributions.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

std::string join_page::to_text() const {
    boost::json::array texts;
    for (const endpoint& entry : endpoints) {
        texts.emplace_back(to_string(entry));
    }
    return boost::json::serialize(boost::json::object{{"endpoints", std::move(texts)}});
}

join_page join_page::parse(const std::string& text) {
    join_page page;
    try {
        const boost::json::value parsed = boost::json::parse(text);
        for (const auto& entry : parsed.as_object().at("endpoints").as_array()) {
            if (page.endpoints.size() < max_endpoints) {
                page.endpoints.push_back(parse_endpoint({entry.as_string().data(), entry.as_string().size()}));
            }
        }
    } catch (const std::exception& problem) {
        throw error(result_code::store_bad_answer, fmt::format("join page: {}", problem.what()));
    }
    return page;
}

bool join_page::is_outdated(const std::vector<endpoint>& living) const {
    const auto living_entries = static_cast<std::size_t>(std::ranges::count_if(
        endpoints, [&living](const endpoint& entry) { return std::ranges::find(living, entry) != living.end(); }));
    const std::size_t possible = std::min(max_endpoints, living.size());
    return living_entries * 4 < possible * 3 || living_entries * 4 < endpoints.size() * 3;
}

join_page join_page::choose(std::vector<endpoint> living, absl::BitGenRef random) {
    join_page page;
    while (!living.empty() && page.endpoints.size() < max_endpoints) {
        const auto position = absl::Uniform<std::size_t>(random, 0, living.size());
        std::swap(living[position], living.back());
        page.endpoints.push_back(std::move(living.back()));
        living.pop_back();
    }
    return page;
}

std::string join_page_key(const std::string& data_center) {
    return fmt::format("join/{}", data_center);
}

std::vector<endpoint> join_page_endpoints(const std::string& text) {
    try {
        return join_page::parse(text).endpoints;
    } catch (const error&) {
        return {};
    }
}

} // namespace amaranthladder
