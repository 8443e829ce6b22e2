#include "config/configuration_holder.h"

#include "common/error.h"
#include "config/move_stamp.h"
#include "config/snapshot_delta.h"
#include "config/validator.h"
#include "tests/test_seed.h"

#include <absl/random/distributions.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(configuration_holder_test)

using snapshot_pointer = std::shared_ptr<const snapshot>;
using random_source = std::mt19937;

snapshot_pointer make(std::uint64_t version, intended_state state) {
    return snapshot::create(version, absl::FromUnixSeconds(1'800'000'000), fmt::format("p{}", version),
                            std::move(state));
}

void add_service(intended_state& state, const std::string& name) {
    state.services[name] = {name, absl::Seconds(1), 1, {"a.ini", 1}};
}

void add_route(intended_state& state, const std::string& name, const std::string& service) {
    state.routes[name] = {name, service, "/" + name, {}, route_kind::by_method, absl::ZeroDuration(), {"a.ini", 2}};
}

snapshot_pointer valid_snapshot(std::uint64_t version, int queue_limit = 1) {
    intended_state state;
    add_service(state, "s");
    state.services["s"].queue_limit = queue_limit;
    add_route(state, "r", "s");
    return make(version, state);
}

snapshot_pointer invalid_snapshot(std::uint64_t version) {
    intended_state state;
    add_route(state, "r", "s");
    return make(version, state);
}

BOOST_AUTO_TEST_CASE(results_carry_the_reason) {
    configuration_holder holder;
    BOOST_TEST(holder.version() == 0);
    BOOST_TEST((holder.offer(valid_snapshot(5)).outcome == offer_outcome::applied));
    BOOST_TEST((holder.offer(valid_snapshot(5)).code == result_code::snapshot_not_newer));
    BOOST_TEST((holder.offer(valid_snapshot(4)).outcome == offer_outcome::not_newer));
    BOOST_TEST(!holder.last_refusal().has_value());
    BOOST_TEST((holder.offer(valid_snapshot(5, 2)).code == result_code::snapshot_hash_mismatch));
    BOOST_TEST((holder.offer(invalid_snapshot(7)).code == result_code::config_unknown_service));
    BOOST_TEST(holder.last_refusal()->version == 7);
    BOOST_TEST((holder.offer(valid_snapshot(6)).outcome == offer_outcome::applied));
    BOOST_TEST((holder.last_refusal()->code == result_code::config_unknown_service));
    BOOST_TEST((holder.offer(valid_snapshot(8)).outcome == offer_outcome::applied));
    BOOST_TEST(!holder.last_refusal().has_value());
    BOOST_TEST((holder.offer_update("x\n").code == result_code::snapshot_malformed));
    BOOST_TEST(holder.version() == 8);
}

// Guards against a daemon that waits for a delta that it can never apply.
BOOST_AUTO_TEST_CASE(delta_from_another_base_needs_full_snapshot) {
    intended_state state;
    for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        add_service(state, name);
    }
    const auto first = make(1, state);
    const auto second = make(2, state);
    const auto third = make(3, state);
    configuration_holder holder;
    holder.offer(first);
    const offer_result result = holder.offer_update(snapshot_delta::encode(second.get(), *third));
    BOOST_TEST((result.outcome == offer_outcome::needs_full_snapshot));
    BOOST_TEST((result.code == result_code::snapshot_base_mismatch));
    BOOST_TEST((holder.offer_update(snapshot_delta::encode(first.get(), *third)).outcome == offer_outcome::applied));
    BOOST_TEST(!holder.last_refusal().has_value());
}

struct stamp_row {
    const char* name;
    std::uint64_t introduced_in;
    result_code expected;

    friend std::ostream& operator<<(std::ostream& out, const stamp_row& row) {
        return out << row.name;
    }
};

const stamp_row stamp_rows[] = {
    {"introduced_in not set", 0, result_code::config_out_of_range},
    {"introduced before", 3, result_code::ok},
    {"introduced now", 5, result_code::ok},
    {"introduced later", 6, result_code::config_out_of_range},
};

// Guards against a publisher that does not set introduced_in: an edited move would then not start as a new one.
BOOST_DATA_TEST_CASE(moves_must_be_stamped, stamp_rows, row) {
    intended_state state;
    add_service(state, "s");
    state.moves["m"] = {"m", "s", "1", "2", absl::FromUnixSeconds(2'000'000'000), row.introduced_in, {"a.ini", 1}};
    BOOST_TEST((configuration_holder().offer(make(5, state)).code == row.expected));
}

/// The versions published in one schedule, in order. Some of them are invalid.
class publish_history {
public:
    explicit publish_history(random_source& random) : m_random(random) {}

    /// Changes a few of ten services, so that most deltas are smaller than a full update.
    void publish() {
        for (int i = absl::Uniform(m_random, 1, 4); i > 0; --i) {
            toggle(fmt::format("s{}", absl::Uniform(m_random, 0, 10)));
        }
        intended_state state = m_state;
        if (absl::Bernoulli(m_random, 0.1)) {
            add_route(state, "orphan", "absent");
        }
        const std::uint64_t version = m_snapshots.size() + 1;
        stamp_moves(m_snapshots.empty() ? nullptr : &m_snapshots.back()->state(), state, version);
        m_snapshots.push_back(make(version, state));
    }

    const snapshot_pointer& any() const {
        return m_snapshots[absl::Uniform<std::size_t>(m_random, 0, m_snapshots.size())];
    }

    /// @param held the snapshot that the receiver holds; about half of the updates are based on it.
    std::string update(const snapshot* held) const {
        const snapshot* base = any().get();
        if (absl::Bernoulli(m_random, 0.5)) {
            base = held;
        } else if (absl::Bernoulli(m_random, 0.5)) {
            base = nullptr;
        }
        return snapshot_delta::encode(base, *any());
    }

    const snapshot* find(std::uint64_t version) const {
        return version == 0 || version > m_snapshots.size() ? nullptr : m_snapshots[version - 1].get();
    }

private:
    void toggle(const std::string& name) {
        const std::string move_name = "m" + name;
        if (m_state.services.erase(name) != 0) {
            m_state.routes.erase("r" + name);
            m_state.shares.erase(name);
            m_state.moves.erase(move_name);
            return;
        }
        add_service(m_state, name);
        add_route(m_state, "r" + name, name);
        if (absl::Bernoulli(m_random, 0.3)) {
            m_state.shares[name] = {name, {{"1", absl::Uniform(m_random, 1, 9)}}, {"b.ini", 1}};
            m_state.moves[move_name] = {move_name, name,        "1", "2", absl::FromUnixSeconds(2'000'000'000),
                                        0,         {"b.ini", 3}};
        }
    }

    random_source& m_random;
    intended_state m_state;
    std::vector<snapshot_pointer> m_snapshots;
};

void damage(std::string& bytes, random_source& random) {
    if (absl::Bernoulli(random, 0.5)) {
        bytes.resize(absl::Uniform<std::size_t>(random, 0, bytes.size()));
        return;
    }
    for (int i = absl::Uniform(random, 1, 4); i > 0; --i) {
        bytes[absl::Uniform<std::size_t>(random, 0, bytes.size())] = static_cast<char>(random());
    }
}

/// @return what is wrong with the active snapshot, or an empty string.
std::string violation(const publish_history& published, const snapshot* before, const snapshot* now) {
    if (now == nullptr) {
        return before == nullptr ? "" : "the configuration was lost";
    }
    if (before != nullptr && now->version() < before->version()) {
        return fmt::format("version {} follows {}", now->version(), before->version());
    }
    for (const auto& [name, value] : now->state().routes) {
        if (!now->state().services.contains(value.service)) {
            return fmt::format("version {}: route {} has no service", now->version(), name);
        }
    }
    const snapshot* const original = published.find(now->version());
    if (original == nullptr || !(original->state() == now->state()) || original->hash() != now->hash()) {
        return fmt::format("version {} is not as published", now->version());
    }
    return "";
}

/// Offers updates that are lost, duplicated, delayed, reordered, truncated or damaged, and snapshots in any order.
/// @return the first violation, or an empty string.
template <typename Holder> std::string run_schedule(random_source& random, int steps) {
    Holder holder;
    publish_history published(random);
    published.publish();
    std::vector<std::string> in_transit;
    snapshot_pointer before;
    std::uint64_t highest_valid_offer = 0;
    for (int step = 0; step < steps; ++step) {
        if (absl::Bernoulli(random, 0.05)) {
            published.publish();
        }
        if (absl::Bernoulli(random, 0.2)) {
            const snapshot_pointer& offered = published.any();
            holder.offer(offered);
            if (validator::check(offered->state()).empty()) {
                highest_valid_offer = std::max(highest_valid_offer, offered->version());
            }
        } else {
            in_transit.push_back(published.update(before.get()));
            const std::size_t position = absl::Uniform<std::size_t>(random, 0, in_transit.size());
            std::string received = in_transit[position];
            if (absl::Bernoulli(random, 0.2)) {
                damage(received, random);
            }
            if (absl::Bernoulli(random, 0.5) || in_transit.size() > 20) {
                in_transit.erase(in_transit.begin() + static_cast<std::ptrdiff_t>(position));
            }
            holder.offer_update(received);
        }
        const snapshot_pointer now = holder.current();
        if (const std::string problem = violation(published, before.get(), now.get()); !problem.empty()) {
            return fmt::format("step {}: {}", step, problem);
        }
        if ((now == nullptr ? 0 : now->version()) < highest_valid_offer) {
            return fmt::format("step {}: version {} was offered and is not active", step, highest_valid_offer);
        }
        before = now;
    }
    return "";
}

template <typename Holder> std::string first_violation(std::uint32_t seed, int schedules) {
    constexpr int steps_per_schedule = 500;
    random_source random(seed);
    for (int schedule = 0; schedule < schedules; ++schedule) {
        if (const std::string problem = run_schedule<Holder>(random, steps_per_schedule); !problem.empty()) {
            return fmt::format("schedule {}, {}", schedule, problem);
        }
    }
    return "";
}

// Checks in 220 random schedules of 500 steps that the active configuration is never lost, that its version never
// decreases and is not below that of any valid snapshot that was offered, and that its content is valid and exactly as
// published.
BOOST_AUTO_TEST_CASE(invariants_hold_under_random_schedules) {
    const std::uint32_t seed = test_seed();
    BOOST_TEST_CONTEXT("TEST_SEED=" << seed) {
        BOOST_TEST(first_violation<configuration_holder>(seed, 220) == "");
    }
}

/// Base of the faulty holders below.
struct faulty_holder {
    void offer_update(std::string_view bytes) {
        try {
            apply(snapshot_delta::apply(m_current.get(), bytes));
        } catch (const error&) {
            return;
        }
    }
    void offer(const snapshot_pointer& offered) {
        apply(offered);
    }
    virtual void apply(const snapshot_pointer& offered) = 0;
    virtual ~faulty_holder() = default;
    const snapshot_pointer& current() const {
        return m_current;
    }

    snapshot_pointer m_current;
};

struct holder_without_version_check : faulty_holder {
    void apply(const snapshot_pointer& offered) override {
        if (validator::check(offered->state()).empty()) {
            m_current = offered;
        }
    }
};

struct holder_without_validation : faulty_holder {
    void apply(const snapshot_pointer& offered) override {
        if (m_current == nullptr || offered->version() > m_current->version()) {
            m_current = offered;
        }
    }
};

struct holder_that_merges : faulty_holder {
    void apply(const snapshot_pointer& offered) override {
        if (m_current == nullptr || offered->version() > m_current->version()) {
            intended_state merged = offered->state();
            if (m_current != nullptr) {
                intended_state old = m_current->state();
                merged.services.merge(old.services);
            }
            m_current = validator::check(merged).empty() ? make(offered->version(), merged) : m_current;
        }
    }
};

struct holder_that_keeps_the_first : faulty_holder {
    void apply(const snapshot_pointer& offered) override {
        if (m_current == nullptr && validator::check(offered->state()).empty()) {
            m_current = offered;
        }
    }
};

// Checks that the property test detects the faults that it is meant to detect.
BOOST_AUTO_TEST_CASE(property_detects_faulty_holders) {
    const std::uint32_t seed = test_seed();
    BOOST_TEST_CONTEXT("TEST_SEED=" << seed) {
        BOOST_TEST(first_violation<holder_without_version_check>(seed, 5).find("follows") != std::string::npos);
        BOOST_TEST(first_violation<holder_without_validation>(seed, 5).find("has no service") != std::string::npos);
        BOOST_TEST(first_violation<holder_that_merges>(seed, 5).find("not as published") != std::string::npos);
        BOOST_TEST(first_violation<holder_that_keeps_the_first>(seed, 5).find("is not active") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
