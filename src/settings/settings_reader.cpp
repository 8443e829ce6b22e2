#include "settings/settings_reader.h"

#include "common/event_log.h"
#include "config/ini_reader.h"
#include "config/name_rules.h"
#include "settings/quantities.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace amaranthladder {

namespace {

constexpr ini_codes settings_codes{result_code::setting_syntax, result_code::setting_duplicate,
                                   result_code::setting_syntax};

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> result;
    if (text.empty()) {
        return result;
    }
    boost::algorithm::split(result, text, boost::algorithm::is_any_of(","));
    for (std::string& item : result) {
        boost::algorithm::trim(item);
    }
    return result;
}

void check_range(const setting_row& row, std::int64_t value) {
    if (value < row.min_value || value > row.max_value) {
        throw error(result_code::setting_out_of_range, "outside the range");
    }
}

void check_decimal(const setting_row& row, const std::string& text) {
    if (text.empty()) {
        return;
    }
    const double value = parse_decimal(text);
    if (value < static_cast<double>(row.min_value) || value > static_cast<double>(row.max_value)) {
        throw error(result_code::setting_out_of_range, "outside the range");
    }
}

void check_listen_endpoint(const std::string& text, bool must_be_reachable) {
    const endpoint value = parse_endpoint(text);
    // An address of only zeros, dots and colons is the wildcard address in any notation.
    const bool is_wildcard = value.address.find_first_not_of("0.:") == std::string::npos;
    if (must_be_reachable && is_wildcard) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' is a wildcard address", text));
    }
}

void check_remote_endpoint(const std::string& text) {
    if (parse_endpoint(text).port == 0) {
        throw error(result_code::setting_out_of_range, "port 0");
    }
}

/// @throws error if @p text is not a valid value for @p row.
void check_value(const setting_row& row, const std::string& text) {
    switch (row.type) {
    case setting_type::name:
        if (!is_valid_name(text)) {
            throw error(result_code::setting_bad_value, fmt::format("'{}'", text));
        }
        break;
    case setting_type::text:
        break;
    case setting_type::log_level:
        parse_log_level(text);
        break;
    case setting_type::endpoint:
        check_remote_endpoint(text);
        break;
    case setting_type::listen_endpoint:
        check_listen_endpoint(text, false);
        break;
    case setting_type::reachable_endpoint:
        check_listen_endpoint(text, true);
        break;
    case setting_type::endpoint_list:
        for (const std::string& item : split_list(text)) {
            check_remote_endpoint(item);
        }
        break;
    case setting_type::duration:
        check_range(row, absl::ToInt64Milliseconds(parse_duration(text)));
        break;
    case setting_type::size:
        check_range(row, parse_size(text));
        break;
    case setting_type::integer:
        check_range(row, parse_integer(text));
        break;
    case setting_type::decimal:
        check_decimal(row, text);
        break;
    }
}

std::string format_row(const setting_row& row, const std::string& text, bool is_set) {
    std::string note = row.is_required ? "required" : fmt::format("default {}", row.default_text);
    if (!row.is_required && row.default_text.empty()) {
        note = "default empty";
    }
    return fmt::format("# {} {}; {}.\n{}{} = {}\n", row.description, allowed_values(row), note, is_set ? "" : "# ",
                       row.key, text);
}

template <typename TextOf> std::string format_table(settings_table table, const TextOf& text_of) {
    std::string result;
    std::string_view section;
    for (const setting_row& row : table) {
        if (row.section != section) {
            result += fmt::format("{}[{}]\n", section.empty() ? "" : "\n", row.section);
            section = row.section;
        }
        result += text_of(row);
    }
    return result;
}

} // namespace

settings_values::settings_values(settings_table table, std::map<std::pair<std::string, std::string>, std::string> texts)
    : m_table(table), m_texts(std::move(texts)) {}

std::string settings_values::text(std::string_view section, std::string_view key) const {
    const auto found = m_texts.find({std::string(section), std::string(key)});
    if (found != m_texts.end()) {
        return found->second;
    }
    const setting_row* row = find_setting(m_table, section, key);
    if (row == nullptr) {
        throw std::out_of_range(fmt::format("no setting [{}] {}", section, key));
    }
    return std::string(row->default_text);
}

endpoint settings_values::address(std::string_view section, std::string_view key) const {
    return parse_endpoint(text(section, key));
}

std::vector<endpoint> settings_values::addresses(std::string_view section, std::string_view key) const {
    std::vector<endpoint> result;
    for (const std::string& item : split_list(text(section, key))) {
        result.push_back(parse_endpoint(item));
    }
    return result;
}

absl::Duration settings_values::duration(std::string_view section, std::string_view key) const {
    return parse_duration(text(section, key));
}

std::int64_t settings_values::integer(std::string_view section, std::string_view key) const {
    const std::string value = text(section, key);
    return find_setting(m_table, section, key)->type == setting_type::size ? parse_size(value) : parse_integer(value);
}

double settings_values::decimal(std::string_view section, std::string_view key) const {
    const std::string value = text(section, key);
    return parse_decimal(value.empty() ? find_setting(m_table, section, key)->default_text : value);
}

std::string settings_values::format() const {
    return format_table(m_table,
                        [&](const setting_row& row) { return format_row(row, text(row.section, row.key), true); });
}

std::string format_defaults(settings_table table) {
    return format_table(table, [](const setting_row& row) {
        return format_row(row, row.is_required ? "..." : std::string(row.default_text), !row.is_required);
    });
}

settings_reader::settings_reader(settings_table table) : m_table(table) {}

settings_values settings_reader::read(const std::string& file, std::string_view text) const {
    std::vector<config_problem> problems;
    const ini_document document = ini_reader(settings_codes).read(file, text, problems);
    std::map<std::pair<std::string, std::string>, std::string> texts;
    for (const ini_section& section : document.sections) {
        if (std::ranges::find(m_table, section.name, &setting_row::section) == m_table.end()) {
            problems.push_back({result_code::setting_unknown, file, section.line, section.name, "", "no such section"});
            continue;
        }
        for (const ini_value& value : section.values) {
            const setting_row* row = find_setting(m_table, section.name, value.key);
            if (row == nullptr) {
                problems.push_back(
                    {result_code::setting_unknown, file, value.line, section.name, value.key, "no such setting"});
                continue;
            }
            texts[{section.name, value.key}] = value.value;
            try {
                check_value(*row, value.value);
            } catch (const error& failure) {
                problems.push_back({failure.code(), file, value.line, section.name, value.key,
                                    fmt::format("'{}'; allowed: {}", value.value, allowed_values(*row))});
            }
        }
    }
    for (const setting_row& row : m_table) {
        if (row.is_required && !texts.contains({std::string(row.section), std::string(row.key)})) {
            problems.push_back({result_code::setting_missing, file, 0, std::string(row.section), std::string(row.key),
                                fmt::format("allowed: {}", allowed_values(row))});
        }
    }
    throw_if_any(std::move(problems));
    return {m_table, std::move(texts)};
}

} // namespace amaranthladder
