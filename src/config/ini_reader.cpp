#include "config/ini_reader.h"

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <exception>
#include <set>

namespace amaranthladder {

namespace {

// inih stores a line with its line feed and a terminating NUL.
constexpr int max_buffer_bytes = static_cast<int>(ini_reader::max_line_bytes) + 3;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

/// Sets the options of inih, which are global variables. No other code in these programs uses inih.
void configure_inih() {
    [[maybe_unused]] static const bool is_configured = [] {
        ini_allow_multiline = false;
        ini_allow_bom = false;
        ini_allow_inline_comments = false;
        ini_allow_no_value = false;
        ini_stop_on_first_error = false;
        // The stack buffer has a fixed size of 200 bytes; longer lines would be split silently.
        ini_use_stack = false;
        ini_allow_realloc = false;
        ini_max_line = max_buffer_bytes;
        ini_initial_alloc = max_buffer_bytes;
        return true;
    }();
}

bool is_control_character(char letter) {
    const auto code = static_cast<unsigned char>(letter);
    return (code < 0x20 && letter != '\t') || code == 0x7f;
}

/// Parses one file: feeds lines to inih and receives the values. inih reports only the first line that it cannot parse
/// and truncates section names at 49 bytes, so this class detects such lines and parses section lines itself.
class ini_parser {
public:
    ini_parser(const ini_codes& codes, const std::string& file, std::string_view text,
               std::vector<config_problem>& problems)
        : m_codes(codes), m_remaining(text), m_problems(problems) {
        m_document.file = file;
    }

    ini_document read() {
        if (m_remaining.size() > ini_reader::max_file_bytes) {
            add_problem(m_codes.too_large, "", fmt::format("the file exceeds {} bytes", ini_reader::max_file_bytes));
            return std::move(m_document);
        }
        if (m_remaining.starts_with(byte_order_mark)) {
            m_remaining.remove_prefix(byte_order_mark.size());
        }
        configure_inih();
        const int result = ini_parse_stream(&ini_parser::read_line, this, &ini_parser::on_value, this);
        if (m_failure != nullptr) {
            std::rethrow_exception(m_failure);
        }
        if (result < 0) {
            throw error(result_code::internal_error, fmt::format("{}: inih returned {}", m_document.file, result));
        }
        return std::move(m_document);
    }

private:
    // Exceptions must not propagate through the C code of inih; they are stored and rethrown after it returns.
    static char* read_line(char* buffer, int size, void* stream) {
        auto& parser = *static_cast<ini_parser*>(stream);
        try {
            return parser.next_line(buffer, static_cast<std::size_t>(std::max(size, 0)));
        } catch (...) {
            parser.m_failure = std::current_exception();
            return nullptr;
        }
    }

    static int on_value(void* user, const char* /*section*/, const char* key, const char* value) {
        auto& parser = *static_cast<ini_parser*>(user);
        try {
            parser.add_value(key, value);
        } catch (...) {
            parser.m_failure = std::current_exception();
        }
        return 1;
    }

    char* next_line(char* buffer, std::size_t size) {
        if (m_is_value_expected) {
            m_is_value_expected = false;
            add_problem(m_codes.syntax, "", "expected [SECTION] or KEY = VALUE");
        }
        if (m_remaining.empty() || m_failure != nullptr) {
            return nullptr;
        }
        ++m_line;
        const std::size_t end = std::min(m_remaining.find('\n'), m_remaining.size());
        std::string_view line = m_remaining.substr(0, end);
        m_remaining.remove_prefix(std::min(end + 1, m_remaining.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.size() + 2 > size || !is_usable(line)) {
            line = {};
        }
        line.copy(buffer, line.size());
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    /// @return true if @p line is to be passed to inih; false for a section line and for an invalid line, which is
    /// reported.
    bool is_usable(std::string_view line) {
        if (line.size() > ini_reader::max_line_bytes) {
            add_problem(m_codes.too_large, "", fmt::format("the line exceeds {} bytes", ini_reader::max_line_bytes));
            return false;
        }
        if (std::ranges::any_of(line, is_control_character)) {
            add_problem(m_codes.syntax, "", "control characters are not allowed");
            return false;
        }
        const std::string trimmed = boost::algorithm::trim_copy(std::string(line));
        if (trimmed.empty() || trimmed.front() == ';' || trimmed.front() == '#') {
            return true;
        }
        if (trimmed.front() == '[') {
            start_section(trimmed);
            return false;
        }
        const std::size_t separator = trimmed.find_first_of("=:");
        if (separator == 0 || (separator != std::string::npos && trimmed[separator] == ':')) {
            add_problem(m_codes.syntax, "", "expected [SECTION] or KEY = VALUE");
            return false;
        }
        m_is_value_expected = true;
        return true;
    }

    void start_section(const std::string& line) {
        m_is_in_section = false;
        m_is_skipping = true;
        m_keys.clear();
        if (line.back() != ']' || line.find(']') + 1 != line.size()) {
            add_problem(m_codes.syntax, "", "a section line must contain one ']', at its end");
            return;
        }
        std::string name = boost::algorithm::trim_copy(line.substr(1, line.size() - 2));
        if (!m_section_names.insert(name).second) {
            m_problems.push_back(
                {m_codes.duplicate, m_document.file, m_line, name, "", "duplicate section in this file"});
            return;
        }
        m_is_skipping = false;
        m_is_in_section = true;
        m_document.sections.push_back({std::move(name), m_line, {}});
    }

    void add_value(const std::string& key, const std::string& value) {
        m_is_value_expected = false;
        if (m_is_skipping) {
            return;
        }
        if (!m_is_in_section) {
            add_problem(m_codes.syntax, key, "value before the first section");
            return;
        }
        if (!m_keys.insert(key).second) {
            add_problem(m_codes.duplicate, key, "duplicate key in this section");
            return;
        }
        m_document.sections.back().values.push_back({key, value, m_line});
    }

    void add_problem(result_code code, const std::string& key, const std::string& text) {
        const std::string section = m_is_in_section ? m_document.sections.back().name : "";
        m_problems.push_back({code, m_document.file, m_line, section, key, text});
    }

    const ini_codes& m_codes;
    std::string_view m_remaining;
    std::vector<config_problem>& m_problems;
    ini_document m_document;
    std::set<std::string> m_section_names;
    std::set<std::string> m_keys;
    std::exception_ptr m_failure;
    int m_line = 0;
    bool m_is_in_section = false;
    bool m_is_skipping = false;       ///< The last section line was invalid.
    bool m_is_value_expected = false; ///< The last line was passed to inih, which has not returned its value yet.
};

} // namespace

ini_reader::ini_reader(const ini_codes& codes) : m_codes(codes) {}

ini_document ini_reader::read(const std::string& file, std::string_view text,
                              std::vector<config_problem>& problems) const {
    return ini_parser(m_codes, file, text, problems).read();
}

} // namespace amaranthladder
