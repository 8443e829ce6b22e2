#include "config/folder_merger.h"

#include "config/config_table.h"
#include "config/ini_reader.h"
#include "config/name_rules.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace amaranthladder {

namespace {

constexpr ini_codes folder_codes{result_code::config_syntax, result_code::config_duplicate_key,
                                 result_code::config_too_large};

void merge_section(const std::string& file, const ini_section& section, merged_folder& target,
                   std::vector<config_problem>& problems) {
    const auto add_problem = [&](result_code code, const std::string& text) {
        problems.push_back({code, file, section.line, section.name, "", text});
    };
    std::vector<std::string> words;
    boost::algorithm::split(words, section.name, boost::algorithm::is_any_of(" \t"),
                            boost::algorithm::token_compress_on);
    if (!is_config_section(words.front())) {
        add_problem(result_code::config_unknown_section, "must be [service NAME], [route NAME], [share SERVICE], "
                                                         "[move NAME], [limits NAME] or [tenant NAME]");
        return;
    }
    if (words.size() != 2 || !is_valid_name(words[1])) {
        add_problem(result_code::config_bad_name, fmt::format("must be [{} NAME]; {}", words.front(), name_rule));
        return;
    }
    merged_section& merged = target[fmt::format("{} {}", words[0], words[1])];
    merged.kind = words[0];
    merged.name = words[1];
    merged.origin = {file, section.line};
    for (const ini_value& value : section.values) {
        merged.values[value.key] = {value.value, {file, value.line}};
    }
}

bool is_configuration_file(const std::filesystem::directory_entry& entry) {
    const std::string name = entry.path().filename().string();
    std::error_code failure;
    return name.ends_with(".ini") && !name.starts_with(".") && !entry.is_directory(failure);
}

std::vector<std::filesystem::path> list_files(const std::string& folder) {
    std::vector<std::filesystem::path> result;
    std::error_code failure;
    for (std::filesystem::directory_iterator entry(folder, failure), end; !failure && entry != end;
         entry.increment(failure)) {
        if (is_configuration_file(*entry)) {
            result.push_back(entry->path());
        }
    }
    if (failure) {
        throw config_error_list({{result_code::file_unreadable, folder, 0, "", "", failure.message()}});
    }
    if (result.empty()) {
        throw config_error_list(
            {{result_code::config_folder_empty, folder, 0, "", "", "the folder has no *.ini file"}});
    }
    return result;
}

/// @return the content, cut at one byte over the limit of a file so that the INI reader reports the excess.
std::string read_file(const std::filesystem::path& path, std::vector<config_problem>& problems) {
    std::ifstream stream(path, std::ios::binary);
    std::string text(ini_reader::max_file_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.fail() && !stream.eof())) {
        problems.push_back({result_code::file_unreadable, path.filename().string(), 0, "", "", "cannot be read"});
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace

std::vector<config_file> folder_merger::load(const std::string& folder) {
    std::vector<config_problem> problems;
    std::vector<config_file> result;
    std::size_t total_bytes = 0;
    for (const std::filesystem::path& path : list_files(folder)) {
        const std::string name = path.filename().string();
        if (!is_valid_file_name(name)) {
            problems.push_back({result_code::config_bad_name, name, 0, "", "",
                                "a file name has letters, digits and -_. and at most 128 characters"});
            continue;
        }
        result.push_back({name, read_file(path, problems)});
        total_bytes += result.back().text.size();
        if (total_bytes > max_folder_bytes) {
            problems.push_back({result_code::config_too_large, name, 0, "", "",
                                fmt::format("the files read so far exceed {} bytes in total", max_folder_bytes)});
            break;
        }
    }
    throw_if_any(std::move(problems));
    std::ranges::sort(result, {}, &config_file::name);
    return result;
}

merged_folder folder_merger::merge(std::vector<config_file> files, std::vector<config_problem>& problems) {
    std::ranges::sort(files, {}, &config_file::name);
    const ini_reader reader(folder_codes);
    merged_folder result;
    for (const config_file& file : files) {
        const ini_document document = reader.read(file.name, file.text, problems);
        for (const ini_section& section : document.sections) {
            merge_section(file.name, section, result, problems);
        }
    }
    return result;
}

} // namespace amaranthladder
