#include "moves/move_record.h"

#include "common/error.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(move_record_test)

namespace {

/// Generates random records from a small range of values, so that equal fields are frequent.
class random_records {
public:
    explicit random_records(std::uint64_t seed) : m_random(seed) {}

    std::uint64_t below(std::uint64_t bound) {
        return m_random() % bound;
    }

    absl::Time time() {
        return below(4) == 0 ? absl::InfiniteFuture() : absl::FromUnixSeconds(1'800'000'000 + std::int64_t(below(5)));
    }

    call_summary summary() {
        return {below(3), below(3), below(3), below(3)};
    }

    move_record progress() {
        move_progress value;
        value.deadline = absl::FromUnixSeconds(1'800'000'002);
        value.started_at = time();
        value.completed_at = time();
        value.stage = static_cast<int>(below(8));
        value.is_replaced = below(3) == 0;
        if (below(3) == 0) {
            rollback_record rollback;
            rollback.decided_at = time();
            rollback.reason = below(2) == 0 ? result_code::move_taken_back_slow : result_code::move_taken_back_failures;
            rollback.decided_by = std::string(1, static_cast<char>('a' + below(3)));
            rollback.stage = static_cast<int>(below(3));
            rollback.new_version = summary();
            value.rollback = rollback;
        }
        return {{"kiln", 7}, value};
    }

    move_record call_counts() {
        move_call_counts value;
        value.contributor = "nord-1";
        value.side = move_side::new_version;
        value.route = "reserve";
        value.incarnation = below(2);
        value.sequence = below(4);
        value.counted_until = time();
        value.has_upstream = below(2) == 0;
        value.is_urgent = below(2) == 0;
        value.good = below(3);
        value.failed = below(3);
        value.latency.assign(below(4), 1);
        return {{"kiln", 7}, value};
    }

    move_record next(bool is_progress) {
        return is_progress ? progress() : call_counts();
    }

private:
    std::mt19937_64 m_random;
};

using merge_function = move_record (*)(const move_record&, const move_record&);

/// @return how often @p join is not commutative, associative or idempotent, or lowers a verdict, in @p rounds rounds.
int count_join_violations(merge_function join, int rounds) {
    random_records source(20261204);
    int violations = 0;
    for (int round = 0; round < rounds; ++round) {
        const bool is_progress = round % 2 == 0;
        const move_record a = source.next(is_progress);
        const move_record b = source.next(is_progress);
        const move_record c = source.next(is_progress);
        const move_record both = join(a, b);
        violations += join(b, a) == both ? 0 : 1;
        violations += join(both, c) == join(a, join(b, c)) ? 0 : 1;
        violations += join(both, b) == both && join(a, a) == a ? 0 : 1;
        if (is_progress) {
            const auto verdict_of = [](const move_record& record) {
                return std::get<move_progress>(record.content).verdict();
            };
            violations += verdict_of(both) >= std::max(verdict_of(a), verdict_of(b)) ? 0 : 1;
        }
    }
    return violations;
}

/// A faulty merge that keeps the last record, to show that the check detects it.
move_record last_write_wins(const move_record& /*left*/, const move_record& right) {
    return right;
}

/// A faulty merge that keeps the rollback of its first argument when both have one.
move_record first_rollback_wins(const move_record& left, const move_record& right) {
    move_record result = merge(left, right);
    if (auto* progress = std::get_if<move_progress>(&result.content)) {
        const auto& first = std::get<move_progress>(left.content);
        progress->rollback = first.rollback ? first.rollback : std::get<move_progress>(right.content).rollback;
    }
    return result;
}

} // namespace

// Guards against daemons that reach different verdicts after receiving the same records in different orders.
BOOST_AUTO_TEST_CASE(merge_is_a_join) {
    BOOST_TEST(count_join_violations(merge, 60'000) == 0);
    BOOST_TEST(count_join_violations(last_write_wins, 1'000) > 0);
    BOOST_TEST(count_join_violations(first_rollback_wins, 1'000) > 0);
}

BOOST_AUTO_TEST_CASE(refuses_to_merge_different_keys) {
    random_records source(1);
    BOOST_CHECK_THROW(merge(source.progress(), source.call_counts()), error);
}

// Guards against records that change when they are encoded and decoded.
BOOST_AUTO_TEST_CASE(encoding_round_trips) {
    random_records source(2);
    for (int round = 0; round < 2'000; ++round) {
        const move_record record = source.next(round % 2 == 0);
        BOOST_REQUIRE(move_record::decode(record.encode()) == record);
    }
}

// Guards against records that do not fit next to a probe in a datagram of 1,200 bytes.
BOOST_AUTO_TEST_CASE(encoded_records_are_small) {
    const std::string id(move_call_counts::max_id_length, 'x');
    move_call_counts counts;
    counts.contributor = id;
    counts.route = id;
    counts.incarnation = 1'800'000'000'000;
    counts.sequence = 1'000'000;
    counts.counted_until = absl::FromUnixSeconds(1'800'000'000);
    counts.good = 100'000'000;
    counts.failed = counts.refused = 100'000'000;
    counts.latency.assign(move_call_counts::latency_bucket_count, 10'000'000);
    BOOST_TEST((move_record{{id, 1'000'000}, counts}.encode().size()) < 400);

    move_progress progress;
    progress.deadline = progress.started_at = progress.completed_at = absl::FromUnixSeconds(1'800'000'000);
    progress.rollback = rollback_record{progress.deadline,
                                        result_code::move_taken_back_slow,
                                        id,
                                        id,
                                        7,
                                        100'000'000,
                                        {100'000'000, 1'000'000, 1'000'000, 30'000'000},
                                        {100'000'000, 1'000'000, 1'000'000, 30'000'000}};
    BOOST_TEST((move_record{{id, 1'000'000}, progress}.encode().size()) < 400);
}

struct malformed_case {
    const char* name;
    std::string (*bytes)(const std::string& valid);

    friend std::ostream& operator<<(std::ostream& out, const malformed_case& row) {
        return out << row.name;
    }
};

const malformed_case malformed_cases[] = {
    {"empty", [](const std::string& /*valid*/) { return std::string(); }},
    {"cut", [](const std::string& valid) { return valid.substr(0, valid.size() - 1); }},
    {"bytes after the end", [](const std::string& valid) { return valid + 'x'; }},
    {"other format version", [](const std::string& valid) { return "\x04" + valid.substr(1); }},
    {"too large", [](const std::string& valid) { return valid + std::string(move_record::max_encoded_size, 'x'); }},
    {"name longer than its bound",
     [](const std::string& valid) { return valid.substr(0, 1) + "\x7f" + valid.substr(2); }},
};

BOOST_DATA_TEST_CASE(refuses_malformed_bytes, malformed_cases, row) {
    random_records source(3);
    const std::string bytes = row.bytes(source.call_counts().encode());
    BOOST_CHECK_EXCEPTION(move_record::decode(bytes), error,
                          [](const error& problem) { return problem.code() == result_code::move_record_malformed; });
}

// Guards against crashes and unbounded reads on malicious datagrams.
BOOST_AUTO_TEST_CASE(rejects_or_decodes_altered_bytes) {
    random_records source(4);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = source.next(round % 2 == 0).encode();
        bytes[source.below(bytes.size())] = static_cast<char>(source.below(256));
        try {
            const move_record record = move_record::decode(bytes);
            BOOST_REQUIRE(move_record::decode(record.encode()) == record);
        } catch (const error& problem) {
            BOOST_REQUIRE(problem.code() == result_code::move_record_malformed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
