#include "store/config_head.h"

#include "common/error.h"
#include "store/private/content_hash.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace amaranthladder {

namespace {

// More pieces than the largest configuration needs; bounds the memory that a damaged head can demand.
constexpr std::size_t max_pieces = 64;

std::string text_of(const boost::json::object& object, const char* key) {
    const boost::json::string& text = object.at(key).as_string();
    return {text.data(), text.size()};
}

config_head head_of(const boost::json::object& object) {
    config_head head;
    head.version = object.at("version").to_number<std::uint64_t>();
    head.hash = text_of(object, "hash");
    head.publish_id = text_of(object, "publish_id");
    head.publish_time = absl::FromUnixMillis(object.at("publish_time_ms").to_number<std::int64_t>());
    head.operator_name = text_of(object, "operator");
    for (const auto& piece : object.at("pieces").as_array()) {
        head.pieces.emplace_back(piece.as_string().data(), piece.as_string().size());
    }
    for (const auto& entry : object.at("history").as_array()) {
        head.history.push_back(
            {entry.as_object().at("version").to_number<std::uint64_t>(), text_of(entry.as_object(), "publish_id")});
    }
    return head;
}

} // namespace

std::string config_piece_name(std::uint64_t version, std::string_view bytes) {
    return fmt::format("{}-{}", version, content_hash(bytes));
}

std::string config_piece_key(const std::string& name) {
    return "config/piece/" + name;
}

std::optional<std::uint64_t> config_piece_version(const std::string& name) {
    std::uint64_t version = 0;
    const char* const end = name.data() + name.size();
    const auto [parsed_end, failure] = std::from_chars(name.data(), end, version);
    if (failure != std::errc{} || parsed_end == end || *parsed_end != '-') {
        return std::nullopt;
    }
    return version;
}

std::string config_head::to_text() const {
    boost::json::array versions;
    for (const auto& entry : history) {
        versions.push_back(boost::json::object{{"version", entry.version}, {"publish_id", entry.publish_id}});
    }
    return boost::json::serialize(boost::json::object{{"version", version},
                                                      {"hash", hash},
                                                      {"pieces", boost::json::array(pieces.begin(), pieces.end())},
                                                      {"publish_id", publish_id},
                                                      {"publish_time_ms", absl::ToUnixMillis(publish_time)},
                                                      {"operator", operator_name},
                                                      {"history", std::move(versions)}});
}

config_head config_head::parse(const std::string& text) {
    config_head head;
    try {
        head = head_of(boost::json::parse(text).as_object());
    } catch (const std::exception& problem) {
        throw error(result_code::store_bad_answer, fmt::format("{}: {}", config_head_key, problem.what()));
    }
    if (head.version == 0 || head.pieces.empty() || head.pieces.size() > max_pieces ||
        head.history.size() > max_history) {
        throw error(result_code::store_bad_answer,
                    fmt::format("{}: the version, the number of pieces or the length of the history is out of range",
                                config_head_key));
    }
    return head;
}

std::optional<std::string> config_head::publish_id_of(std::uint64_t wanted) const {
    const auto found = std::ranges::find(history, wanted, &published_version::version);
    if (found == history.end()) {
        return std::nullopt;
    }
    return found->publish_id;
}

} // namespace amaranthladder
