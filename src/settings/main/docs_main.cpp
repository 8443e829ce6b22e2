// Regenerates the reference pages in a folder; see scripts/make_docs.sh.

#include "common/error.h"
#include "settings/reference_writer.h"

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

using namespace amaranthladder;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream stream(path);
    if (!stream) {
        throw error(result_code::file_unreadable, path);
    }
    return {std::istreambuf_iterator<char>(stream), {}};
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream stream(path);
    stream << text;
    stream.close();
    if (!stream) {
        throw error(result_code::file_unreadable, path + " cannot be written");
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        if (argc != 2) {
            throw error(result_code::usage, "amaranthladder_docs FOLDER");
        }
        const std::string folder = argv[1];
        write_file(folder + "/settings.md", reference_writer::settings_page());
        write_file(folder + "/result-codes.md", reference_writer::result_codes_page());
        const std::string page = folder + "/configuration.md";
        write_file(page, reference_writer::replace_configuration_keys(read_file(page)));
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
    return 0;
}
