#include "common/error.h"
#include "peers/message_codec.h"

#include <absl/random/distributions.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <random>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(message_codec_test)

const std::uint64_t mesh = message_codec::mesh_hash("kufenbach");

upstream_record full_upstream() {
    return {"worker-1", "werkbank",           "v2", "kufen-nord", {"10.0.0.1", 8080}, {"fd00::1", 9000},
            6,          {"order", "drawing"}, true, true,         1'700'000'000'000,  42};
}

datagram full_datagram() {
    datagram out;
    out.kind = message_kind::ping_req;
    out.sequence = 17;
    out.sender = {{"10.0.0.1", 7000}, {"10.0.0.1", 8080}, "kufen-nord", member_state::alive, 1'700'000'000'000};
    out.target = {"fd00::2", 7000};
    out.digest = {{12, "0123456789abcdef"}, {1, ~std::uint64_t{0}, 3}};
    out.records = {{table_id::upstreams, message_codec::encode(full_upstream()), 30}, {table_id::opaque, "x", 0}};
    return out;
}

std::optional<result_code> refusal(const std::string& bytes) {
    try {
        message_codec::decode_datagram(bytes, mesh);
        return std::nullopt;
    } catch (const error& problem) {
        return problem.code();
    }
}

// Guards against a field that is lost or changed by encoding and decoding.
BOOST_AUTO_TEST_CASE(round_trip) {
    const std::string bytes = message_codec::encode(full_datagram(), mesh);
    BOOST_TEST((message_codec::decode_datagram(bytes, mesh) == full_datagram()));
    BOOST_TEST((message_codec::decode_upstream(message_codec::encode(full_upstream())) == full_upstream()));
    const opaque_record opaque{"move", std::string("a\0b", 3)};
    BOOST_TEST((message_codec::decode_opaque(message_codec::encode(opaque)) == opaque));
}

// Guards against a decoder that reads past the end or accepts a truncated message.
BOOST_AUTO_TEST_CASE(refuses_every_truncation) {
    const std::string bytes = message_codec::encode(full_datagram(), mesh);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_TEST((refusal(bytes.substr(0, size)).has_value()));
    }
    BOOST_TEST((refusal(bytes + "x") == result_code::message_malformed));
}

// Guards against a crash or an unbounded allocation on malformed bytes.
BOOST_AUTO_TEST_CASE(survives_random_and_changed_bytes) {
    constexpr std::uint64_t seed = 1;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 random(seed);
    const std::string good = message_codec::encode(full_datagram(), mesh);
    int refused = 0;
    for (int round = 0; round < 40'000; ++round) {
        std::string bytes = good;
        if (round % 2 == 0) {
            bytes.resize(absl::Uniform<std::size_t>(random, 0, max_datagram_bytes + 1));
        }
        const int changes = round % 2 == 0 ? static_cast<int>(bytes.size()) : absl::Uniform(random, 1, 6);
        for (int change = 0; change < changes; ++change) {
            bytes[absl::Uniform<std::size_t>(random, 0, bytes.size())] = absl::Uniform<char>(random, -128, 127);
        }
        refused += refusal(bytes) ? 1 : 0;
        message_codec::decode_upstream(bytes);
        message_codec::decode_member(bytes);
        message_codec::decode_opaque(bytes);
    }
    BOOST_TEST(refused > 20'000);
}

struct bad_row {
    const char* name;
    std::string bytes;
    result_code code;

    friend std::ostream& operator<<(std::ostream& out, const bad_row& row) {
        return out << row.name;
    }
};

std::string changed(void (*change)(datagram&)) {
    datagram out = full_datagram();
    change(out);
    return message_codec::encode(out, mesh);
}

const bad_row bad_rows[] = {
    {"empty", "", result_code::message_malformed},
    {"one byte too large", std::string(max_datagram_bytes + 1, '\0'), result_code::message_too_large},
    {"other mesh", message_codec::encode(full_datagram(), message_codec::mesh_hash("litoral")),
     result_code::message_other_mesh},
    {"unknown kind", changed([](datagram& out) { out.kind = static_cast<message_kind>(9); }),
     result_code::message_malformed},
    {"unknown member state", changed([](datagram& out) { out.sender.state = static_cast<member_state>(4); }),
     result_code::message_malformed},
    {"unknown table", changed([](datagram& out) { out.records[0].table = static_cast<table_id>(-1); }),
     result_code::message_malformed},
    {"negative version", changed([](datagram& out) { out.digest.configuration.version = ~std::uint64_t{0}; }),
     result_code::message_malformed},
    // Field 8, a list of 2^31 - 1 structs: Thrift would reserve memory for all of them before reading.
    {"list of 2^31 - 1 elements", std::string("\x89\xfc\xff\xff\xff\xff\x07", 7), result_code::message_malformed},
};

BOOST_DATA_TEST_CASE(refuses_bad_datagrams, bad_rows, row) {
    BOOST_TEST((refusal(row.bytes) == row.code));
}

BOOST_AUTO_TEST_SUITE_END()
