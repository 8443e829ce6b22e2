#include "settings/reference_writer.h"

#include "common/error.h"
#include "config/state_builder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(reference_writer_test)

const std::string docs = TEST_DOCS_FOLDER;

std::string read_page(const std::string& name) {
    std::ifstream stream(docs + "/" + name);
    BOOST_REQUIRE(stream.is_open());
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Guards against outdated pages; scripts/make_docs.sh regenerates them.
BOOST_AUTO_TEST_CASE(pages_are_up_to_date) {
    BOOST_CHECK(read_page("settings.md") == reference_writer::settings_page());
    BOOST_CHECK(read_page("result-codes.md") == reference_writer::result_codes_page());
    const std::string configuration = read_page("configuration.md");
    BOOST_CHECK(configuration == reference_writer::replace_configuration_keys(configuration));
}

BOOST_AUTO_TEST_CASE(rejects_page_without_key_markers) {
    for (const char* text : {"", "<!-- keys -->\n", "<!-- end of keys -->\n<!-- keys -->\n"}) {
        BOOST_CHECK_THROW(reference_writer::replace_configuration_keys(text), error);
    }
}

intended_state load_example(const std::string& mesh) {
    return state_builder::build_valid(folder_merger::load(docs + "/examples/" + mesh));
}

// The documented examples must be valid and have the documented meaning.
BOOST_AUTO_TEST_CASE(examples_are_valid) {
    const intended_state kufenbach = load_example("kufenbach");
    BOOST_TEST((kufenbach.services.at("werkbank").timeout == absl::Seconds(12)));
    BOOST_TEST(kufenbach.services.at("werkbank").queue_limit == 8);
    BOOST_TEST((kufenbach.routes.at("stave-reservations").timeout == absl::Milliseconds(2500)));
    BOOST_TEST(kufenbach.moves.at("trockenhaus-3.2").to_version == "3.2");
    const intended_state litoral = load_example("litoral");
    BOOST_TEST(litoral.routes.size() == 6);
    BOOST_TEST(litoral.routes.at("price-lookup").may_repeat(false));
    BOOST_TEST(litoral.shares.at("deposito").weight_by_version.at("2031-04") == 75);
}

BOOST_AUTO_TEST_SUITE_END()
