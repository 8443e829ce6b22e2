#include "common/error.h"
#include "routing/slot_limiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(slot_limiter_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

absl::Time at(int ms) {
    return start + absl::Milliseconds(ms);
}

enum class request_state { none, running, queued, finished, refused, dropped, cancelled };

/// Tracks the state of every request through a random schedule, independently of the limiter, and reports the first
/// rule that the limiter violates.
template <typename Limiter> class limiter_checker {
public:
    limiter_checker(Limiter limiter, int slots, std::uint64_t seed)
        : m_limiter(std::move(limiter)), m_slots(slots), m_rng(seed), m_states(1, request_state::none) {}

    std::string run(int steps) {
        for (int step = 0; step < steps && m_violation.empty(); ++step) {
            m_now += absl::Microseconds(draw(0, 2000));
            one_step(draw(0, 99));
            require(m_running <= m_slots, "more requests run than there are slots");
            require(m_limiter.queued() == 0 || m_running == m_slots, "a request is queued while a slot is free");
        }
        m_limiter.set_leaving();
        for (int round = 0; round < 2; ++round) {
            for (request_id id = 1; id < m_states.size(); ++id) {
                finish(id);
            }
        }
        require(m_limiter.is_drained() && m_running == 0, "requests remain after all were finished");
        require(std::ranges::count(m_states, request_state::queued) == 0,
                "a request was neither run, refused nor dropped");
        return m_violation;
    }

private:
    int draw(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(m_rng);
    }

    void one_step(int action) {
        if (action < 50) {
            offer();
        } else if (action < 85) {
            finish(recent_id());
        } else if (action < 93) {
            drop(m_limiter.expire(m_now));
        } else if (action < 98) {
            cancel(recent_id());
        } else if (action < 99) {
            m_limiter.set_leaving();
        } else {
            m_limiter.clear_leaving();
        }
    }

    void offer() {
        const request_id id = m_states.size();
        const absl::Time deadline = m_now + absl::Milliseconds(draw(-1, 60));
        const bool was_leaving = m_limiter.is_leaving();
        const admission answer = m_limiter.offer(id, deadline, m_now, draw(0, 1) == 0 ? "short" : "long");
        const bool is_refused = answer.result == admission::verdict::refused;
        require(!is_refused || describe(answer.refusal).request_execution == execution::not_run,
                "a refusal without a \"not run\" code");
        require(is_refused || (deadline > m_now && !was_leaving),
                "an expired request, or one while leaving, was accepted");
        m_running += answer.result == admission::verdict::run ? 1 : 0;
        m_states.push_back(is_refused                                 ? request_state::refused
                           : answer.result == admission::verdict::run ? request_state::running
                                                                      : request_state::queued);
    }

    request_id recent_id() {
        const int last = static_cast<int>(m_states.size()) - 1;
        return static_cast<request_id>(draw(std::max(1, last - 15), last + 1));
    }

    void finish(request_id id) {
        if (id < m_states.size() && m_states[id] == request_state::running) {
            m_states[id] = request_state::finished;
            --m_running;
        }
        const slot_change change = m_limiter.finish(id, m_now);
        for (const request_id next : change.run) {
            require(m_states[next] == request_state::queued, "a request was started that was not queued");
            m_states[next] = request_state::running;
            ++m_running;
        }
        drop(change.dropped);
    }

    void drop(const std::vector<request_id>& dropped) {
        for (const request_id id : dropped) {
            require(m_states[id] == request_state::queued, "a request that was not queued was reported as dropped");
            m_states[id] = request_state::dropped;
        }
    }

    void cancel(request_id id) {
        const request_state before = id < m_states.size() ? m_states[id] : request_state::none;
        const cancel_result expected = before == request_state::queued    ? cancel_result::queued
                                       : before == request_state::running ? cancel_result::running
                                                                          : cancel_result::unknown;
        require(m_limiter.cancel(id) == expected, "cancel reported a wrong state");
        if (before == request_state::queued) {
            m_states[id] = request_state::cancelled;
        }
    }

    void require(bool holds, const char* rule) {
        if (!holds && m_violation.empty()) {
            m_violation = rule;
        }
    }

    Limiter m_limiter;
    int m_slots;
    std::mt19937_64 m_rng;
    absl::Time m_now = start;
    int m_running = 0;
    std::vector<request_state> m_states; ///< By request id.
    std::string m_violation;
};

constexpr std::uint64_t seeds[] = {1, 2, 3};
constexpr int steps = 100'000;
constexpr queue_order orders[] = {queue_order::fifo, queue_order::lifo, queue_order::earliest_deadline};

// Guards against running more requests than the upstream has slots, against requests that are neither run, refused nor
// dropped, and against reporting a request that ran as not run.
BOOST_DATA_TEST_CASE(enforces_its_limit_and_accounts_for_each_request, boost::unit_test::data::make(seeds), seed) {
    for (const queue_order order : orders) {
        BOOST_TEST_CONTEXT("seed " << seed << " order " << static_cast<int>(order)) {
            const slot_limiter_policy policy{.order = order};
            BOOST_TEST(limiter_checker(slot_limiter(6, 12, policy), 6, seed).run(steps) == "");
        }
    }
}

/// Broken: reports requests that it starts as dropped as well.
struct reports_started_as_dropped : slot_limiter {
    using slot_limiter::slot_limiter;
    slot_change finish(request_id id, absl::Time now) {
        slot_change change = slot_limiter::finish(id, now);
        change.dropped.insert(change.dropped.end(), change.run.begin(), change.run.end());
        return change;
    }
};

/// Broken: drops expired requests without reporting them, so their callers get no response.
struct omits_expired : slot_limiter {
    using slot_limiter::slot_limiter;
    std::vector<request_id> expire(absl::Time now) {
        slot_limiter::expire(now);
        return {};
    }
};

/// Broken: reports a running request as cancelled before it ran.
struct reports_running_as_cancelled : slot_limiter {
    using slot_limiter::slot_limiter;
    cancel_result cancel(request_id id) {
        const cancel_result result = slot_limiter::cancel(id);
        return result == cancel_result::running ? cancel_result::queued : result;
    }
};

/// Broken: accepts new requests while leaving.
struct ignores_leaving : slot_limiter {
    using slot_limiter::slot_limiter;
    admission offer(request_id id, absl::Time deadline, absl::Time now, const std::string& kind) {
        const bool was_leaving = is_leaving();
        clear_leaving();
        const admission answer = slot_limiter::offer(id, deadline, now, kind);
        if (was_leaving) {
            set_leaving();
        }
        return answer;
    }
};

// Shows that the check above detects each of these faults.
BOOST_AUTO_TEST_CASE(the_check_detects_broken_limiters) {
    BOOST_TEST(limiter_checker(slot_limiter(7, 12), 6, 1).run(steps) == "more requests run than there are slots");
    BOOST_TEST(limiter_checker(reports_started_as_dropped(6, 12), 6, 1).run(steps) ==
               "a request that was not queued was reported as dropped");
    BOOST_TEST(limiter_checker(omits_expired(6, 12), 6, 1).run(steps) == "cancel reported a wrong state");
    BOOST_TEST(limiter_checker(reports_running_as_cancelled(6, 12), 6, 1).run(steps) ==
               "cancel reported a wrong state");
    BOOST_TEST(limiter_checker(ignores_leaving(6, 12), 6, 1).run(steps) ==
               "an expired request, or one while leaving, was accepted");
}

struct offer_row {
    const char* name;
    int taken;       ///< Requests offered before, each with a deadline in 10 s.
    int deadline_ms; ///< Deadline of the offered request.
    admission::verdict result;
    result_code code = result_code::ok;

    friend std::ostream& operator<<(std::ostream& out, const offer_row& row) {
        return out << row.name;
    }
};

// Service time 20 ms, 2 slots, queue of 4. Queued requests have later deadlines unless the name says otherwise.
const offer_row offer_rows[] = {
    {"a free slot", 1, 100, admission::verdict::run},
    {"a free slot and little time: the request may be faster than the average", 1, 5, admission::verdict::run},
    {"expired", 1, 0, admission::verdict::refused, result_code::deadline_expired},
    {"queued", 2, 100, admission::verdict::queued},
    {"cannot be answered in time", 2, 25, admission::verdict::refused, result_code::queue_deadline},
    {"overtakes later deadlines", 5, 100, admission::verdict::queued},
    {"displaces a later deadline", 6, 100, admission::verdict::queued},
    {"queue full", 6, 10'001, admission::verdict::refused, result_code::queue_full},
};

// Guards against queuing requests that cannot meet their deadlines.
BOOST_DATA_TEST_CASE(admits_requests, offer_rows, row) {
    slot_limiter limiter(2, 4);
    limiter.offer(100, at(1000), at(-20), "orders");
    limiter.finish(100, at(0));
    for (int id = 0; id < row.taken; ++id) {
        limiter.offer(static_cast<request_id>(id), at(10'000), at(0), "orders");
    }
    const admission answer = limiter.offer(50, at(row.deadline_ms), at(0), "orders");
    BOOST_TEST(static_cast<int>(answer.result) == static_cast<int>(row.result));
    BOOST_TEST(static_cast<int>(answer.refusal) == static_cast<int>(row.code));
}

// Guards against displaced requests that are not reported, and against a queue that exceeds its limit.
BOOST_AUTO_TEST_CASE(reports_displaced_requests) {
    slot_limiter limiter(1, 1);
    limiter.offer(1, at(1000), at(0));
    limiter.offer(2, at(1000), at(0));
    BOOST_TEST((limiter.offer(3, at(500), at(0)).result == admission::verdict::queued));
    BOOST_TEST(limiter.queued() == 1);
    BOOST_TEST((limiter.next_expiry().value() <= at(0)));
    BOOST_TEST(limiter.expire(at(0)) == std::vector<request_id>{2}, boost::test_tools::per_element());
    limiter.offer(4, at(400), at(0));
    BOOST_TEST((limiter.cancel(3) == cancel_result::queued));
    BOOST_TEST(limiter.finish(1, at(1)).dropped.empty());
}

// Guards against refusing short requests that can be answered in time because others take long.
BOOST_AUTO_TEST_CASE(uses_the_service_time_of_each_kind) {
    slot_limiter limiter(1, 4);
    limiter.offer(1, at(1000), at(-202), "order");
    limiter.finish(1, at(-2));
    limiter.offer(2, at(1000), at(-2), "price");
    limiter.finish(2, at(0));
    limiter.offer(3, at(1000), at(0), "price");
    BOOST_TEST((limiter.offer(4, at(300), at(0), "order").result == admission::verdict::refused));
    BOOST_TEST((limiter.offer(5, at(300), at(0), "price").result == admission::verdict::queued));
    BOOST_TEST((limiter.next_expiry() == at(298)));
    BOOST_TEST(limiter.expire(at(297)).empty());
    BOOST_TEST(limiter.expire(at(298)).size() == 1U);
}

// Guards against a leaving upstream that accepts new requests, and against a drain that drops queued requests or ends
// before all requests have finished.
BOOST_AUTO_TEST_CASE(leaving_refuses_new_requests_and_serves_queued_ones) {
    slot_limiter limiter(1, 4);
    limiter.offer(1, at(1000), at(0));
    limiter.offer(2, at(1000), at(0));
    limiter.set_leaving();
    const admission answer = limiter.offer(3, at(1000), at(0));
    BOOST_TEST((answer.refusal == result_code::upstream_leaving));
    BOOST_TEST(!limiter.is_drained());
    BOOST_TEST(limiter.finish(1, at(10)).run.size() == 1U);
    limiter.finish(2, at(20));
    BOOST_TEST(limiter.is_drained());
}

BOOST_AUTO_TEST_CASE(limits_change_without_interrupting) {
    slot_limiter limiter(1, 1);
    limiter.offer(1, at(1000), at(0));
    limiter.offer(2, at(1000), at(0));
    BOOST_TEST(limiter.set_limits(2, 1, at(1)).run.size() == 1U);
    limiter.set_limits(1, 1, at(2));
    BOOST_TEST(limiter.running() == 2);
    BOOST_TEST((limiter.offer(3, at(1000), at(2)).result == admission::verdict::queued));
    BOOST_TEST(limiter.finish(1, at(10)).run.empty());
    BOOST_CHECK_THROW(limiter.offer(3, at(1000), at(11)), error);
}

BOOST_AUTO_TEST_SUITE_END()
