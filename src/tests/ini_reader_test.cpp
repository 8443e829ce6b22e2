#include "config/ini_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(ini_reader_test)

const ini_reader reader({result_code::config_syntax, result_code::config_duplicate_key, result_code::config_too_large});

std::string dump(const ini_document& document) {
    std::string result;
    for (const ini_section& section : document.sections) {
        result += fmt::format("{}[{}]", section.line, section.name);
        for (const ini_value& value : section.values) {
            result += fmt::format(" {}:{}={}", value.line, value.key, value.value);
        }
        result += ';';
    }
    return result;
}

struct text_row {
    const char* name;
    std::string text;
    std::string expected;                                            ///< In the format of dump().
    std::vector<std::pair<int, result_code>> expected_problems = {}; ///< Lines and codes.

    friend std::ostream& operator<<(std::ostream& out, const text_row& row) {
        return out << row.name;
    }
};

const std::string longest_name(3000, 'n');
const std::string longest_value(ini_reader::max_line_bytes - 2, 'v');
constexpr auto syntax = result_code::config_syntax;
constexpr auto duplicate = result_code::config_duplicate_key;
constexpr auto too_large = result_code::config_too_large;

const text_row text_rows[] = {
    {"empty", "", ""},
    {"values with lines", "[a]\nx = 1\n\n# c\n; c\ny=2", "1[a] 2:x=1 6:y=2;"},
    {"empty section", "[a]\n[b]\n", "1[a];2[b];"},
    {"CRLF line ends", "[a]\r\nx = 1\r\n", "1[a] 2:x=1;"},
    {"byte order mark", "\xEF\xBB\xBF[a]\nx=1\n", "1[a] 2:x=1;"},
    {"no comment after a value", "[a]\nx = 1 ; c\ny = 2 # c\n", "1[a] 2:x=1 ; c 3:y=2 # c;"},
    {"further separators belong to the value", "[a]\nx = b=c:d\n", "1[a] 2:x=b=c:d;"},
    {"empty value", "[a]\nx =\n", "1[a] 2:x=;"},
    {"indented line is no continuation", "[a]\nx = 1\n  y = 2\n", "1[a] 2:x=1 3:y=2;"},
    {"indented text is no continuation", "[a]\nx = 1\n  more\n", "1[a] 2:x=1;", {{3, syntax}}},
    {"long section name", "[" + longest_name + "]\nx=1\n", "1[" + longest_name + "] 2:x=1;"},
    {"longest line", "[a]\nx=" + longest_value + "\ny=2", "1[a] 2:x=" + longest_value + " 3:y=2;"},
    {"line too long", "[a]\nx=" + longest_value + "v\ny=2", "1[a] 3:y=2;", {{2, too_large}}},
    {"file too large", std::string(ini_reader::max_file_bytes + 1, '\n'), "", {{0, too_large}}},
    {"no value", "[a]\nx\ny=1\nz\n", "1[a] 3:y=1;", {{2, syntax}, {4, syntax}}},
    {"no value in the last line", "[a]\nx", "1[a];", {{2, syntax}}},
    {"no key", "[a]\n= 1\n", "1[a];", {{2, syntax}}},
    {"colon", "[a]\nx: 1\n", "1[a];", {{2, syntax}}},
    {"value before a section", "x = 1\n[a]\n", "2[a];", {{1, syntax}}},
    {"section line without a closing bracket", "[a]\n[b\nx=1\n[c]\ny=1\n", "1[a];4[c] 5:y=1;", {{2, syntax}}},
    {"text after a section line", "[a] x\ny=1\n", "", {{1, syntax}}},
    {"bracket in a section name", "[a]b]\ny=1\n", "", {{1, syntax}}},
    {"key twice", "[a]\nx=1\nx=2\n", "1[a] 2:x=1;", {{3, duplicate}}},
    {"key in two sections", "[a]\nx=1\n[b]\nx=2\n", "1[a] 2:x=1;3[b] 4:x=2;"},
    {"section twice", "[a]\nx=1\n[b]\n[ a ]\ny=2\n", "1[a] 2:x=1;3[b];", {{4, duplicate}}},
    {"NUL", std::string("[a]\nx=1\0;\n", 10), "1[a];", {{2, syntax}}},
    {"escape character", "[a]\nx=\x1b[0m\n", "1[a];", {{2, syntax}}},
};

// Guards against lines that inih silently skips, truncates or joins.
BOOST_DATA_TEST_CASE(reads_or_reports_each_line, text_rows, row) {
    std::vector<config_problem> problems;
    BOOST_TEST(dump(reader.read("f.ini", row.text, problems)) == row.expected);
    std::vector<std::pair<int, result_code>> found;
    for (const config_problem& problem : problems) {
        BOOST_TEST(problem.file == "f.ini");
        found.emplace_back(problem.line, problem.code);
    }
    BOOST_CHECK(found == row.expected_problems);
}

BOOST_AUTO_TEST_CASE(problem_text_names_place_and_code) {
    std::vector<config_problem> problems;
    reader.read("f.ini", "[a]\nx=1\nx=2\n", problems);
    BOOST_TEST(to_string(problems.at(0)) == "f.ini:3: 1103 config-duplicate-key: [a] x: duplicate key in this section");
}

BOOST_AUTO_TEST_SUITE_END()
