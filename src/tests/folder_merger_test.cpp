#include "config/folder_merger.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(folder_merger_test)

/// A folder that is removed by the destructor.
class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "folder_merger_test_XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    void write(const std::string& name, const std::string& text) const {
        std::ofstream(m_path / name) << text;
    }
    std::string path() const {
        return m_path.string();
    }
    std::string path_of(const std::string& name) const {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

result_code code_of_load(const std::string& folder) {
    try {
        folder_merger::load(folder);
    } catch (const config_error_list& list) {
        return list.code();
    }
    return result_code::ok;
}

// Guards against reading backup files and subfolders, and against using the unsorted order of a directory listing.
BOOST_AUTO_TEST_CASE(loads_ini_files_in_name_order) {
    const temporary_folder folder;
    for (const char* name : {"b.ini", "a.ini", "B.ini", "10.ini", "9.ini", ".a.ini", "a.ini~", "a.txt"}) {
        folder.write(name, name);
    }
    std::filesystem::create_directory(folder.path_of("c.ini"));
    std::string order;
    for (const config_file& file : folder_merger::load(folder.path())) {
        order += file.name + " ";
        BOOST_TEST(file.text == file.name);
    }
    BOOST_TEST(order == "10.ini 9.ini B.ini a.ini b.ini ");
}

// Guards against publishing an empty state because the folder was mistyped or emptied.
BOOST_AUTO_TEST_CASE(refuses_folders_without_readable_files) {
    const temporary_folder folder;
    BOOST_TEST((code_of_load(folder.path()) == result_code::config_folder_empty));
    BOOST_TEST((code_of_load(folder.path_of("absent")) == result_code::file_unreadable));
    std::filesystem::create_symlink(folder.path_of("absent"), folder.path_of("a.ini"));
    BOOST_TEST((code_of_load(folder.path()) == result_code::file_unreadable));
}

BOOST_AUTO_TEST_CASE(refuses_bad_file_names) {
    const temporary_folder folder;
    folder.write("a b.ini", "");
    BOOST_TEST((code_of_load(folder.path()) == result_code::config_bad_name));
}

BOOST_AUTO_TEST_CASE(limits_the_folder_size) {
    const temporary_folder folder;
    for (const char* name : {"1.ini", "2.ini", "3.ini", "4.ini", "5.ini"}) {
        folder.write(name, std::string(std::size_t{4} * 1024 * 1024, '\n'));
    }
    BOOST_TEST((code_of_load(folder.path()) == result_code::config_too_large));
}

BOOST_AUTO_TEST_SUITE_END()
