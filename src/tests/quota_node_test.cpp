#include "quota/quota_node.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// One test for each failure of an ask, with a few nodes and messages that the test delivers or drops.
BOOST_AUTO_TEST_SUITE(quota_node_test)

using namespace amaranthladder;

namespace {

constexpr const char* tenant_name = "acme";

std::shared_ptr<const intended_state> configuration(double rate, double burst) {
    auto state = std::make_shared<intended_state>();
    tenant limited;
    limited.name = tenant_name;
    limited.rate_per_second = rate;
    limited.burst = burst;
    state->tenants[limited.name] = limited;
    return state;
}

/// Five nodes; all have known each other for a while.
struct mesh {
    explicit mesh(double rate = 100, double burst = 100) {
        for (int index = 1; index <= 5; ++index) {
            addresses.push_back({fmt::format("10.0.0.{}", index), 7000});
        }
        for (const endpoint& address : addresses) {
            nodes[address] = std::make_unique<quota_node>(address, quota_limits(), random());
            nodes[address]->set_configuration(configuration(rate, burst), now);
        }
        tell_members();
        run_for(absl::Seconds(20));
        quota_view view(addresses.front());
        view.update(members(), now);
        const quota_candidates ranked = view.candidates(tenant_name);
        coordinator = *ranked.coordinator;
        second = *ranked.second;
        entry = *std::ranges::find_if(
            addresses, [&](const endpoint& address) { return address != coordinator && address != second; });
    }

    std::vector<member> members() const {
        std::vector<member> result;
        for (const endpoint& address : addresses) {
            result.push_back({address, {}, "", member_state::alive, 0});
        }
        return result;
    }

    /// Starts a daemon that ranks above all others for the tenant. @return its address.
    endpoint join_first() {
        for (int index = 1;; ++index) {
            endpoint added{fmt::format("10.0.1.{}", index), 7000};
            quota_view view(added);
            view.update(members(), now);
            if (*view.candidates(tenant_name).coordinator == added) {
                addresses.push_back(added);
                nodes[added] = std::make_unique<quota_node>(added, quota_limits(), random());
                nodes[added]->set_configuration(configuration(100, 100), now);
                tell_members();
                return added;
            }
        }
    }

    void tell_members() {
        for (auto& [address, node] : nodes) {
            node->set_members(members(), true, now);
        }
    }

    /// Delivers all messages at once, except to and from nodes that are cut off.
    void deliver() {
        bool has_messages = true;
        while (has_messages) {
            has_messages = false;
            for (auto& [from, node] : nodes) {
                for (quota_node::outgoing& out : node->take_messages(now)) {
                    has_messages = true;
                    if (!cut.contains(from) && !cut.contains(out.to)) {
                        nodes.at(out.to)->receive(out.message, now);
                    }
                }
            }
        }
        for (const quota_client::resolved& each :
             nodes.at(entry.address.empty() ? addresses[0] : entry)->take_resolved()) {
            verdicts[each.waiter] = each.verdict;
        }
    }

    void run_for(absl::Duration time) {
        for (const absl::Time end = now + time; now < end; now += quota_node::tick_interval) {
            for (auto& [address, node] : nodes) {
                node->tick(now, random);
            }
            deliver();
        }
    }

    /// @return the verdict on a request at the entry, after all its messages have been delivered.
    quota_verdict request() {
        const std::uint64_t waiter = ++last_waiter;
        quota_verdict verdict = nodes.at(entry)->acquire(tenant_name, waiter, now);
        if (verdict.result == quota_verdict::kind::wait) {
            deliver();
            if (!verdicts.contains(waiter)) {
                started = now;
                while (!verdicts.contains(waiter) && now - started < absl::Seconds(1)) {
                    run_for(quota_node::tick_interval);
                }
            }
            verdict = verdicts.at(waiter);
        }
        return verdict;
    }

    /// Makes 40 requests a second. @return how many of them run.
    int run_requests(int count) {
        int run = 0;
        for (int left = count; left > 0; --left) {
            run += request().result == quota_verdict::kind::run ? 1 : 0;
            run_for(quota_node::tick_interval);
        }
        return run;
    }

    std::mt19937_64 random{1};
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    absl::Time started;
    std::vector<endpoint> addresses;
    std::map<endpoint, std::unique_ptr<quota_node>> nodes;
    std::map<endpoint, bool> cut;
    std::map<std::uint64_t, quota_verdict> verdicts;
    std::uint64_t last_waiter = 0;
    endpoint coordinator;
    endpoint second;
    endpoint entry;
};

using kind = quota_verdict::kind;

} // namespace

BOOST_AUTO_TEST_CASE(grants_within_the_quota) {
    mesh fleet;
    BOOST_TEST((fleet.request().result == kind::run));
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().grants.granted == 1U);
}

BOOST_AUTO_TEST_CASE(tenants_without_a_rate_are_not_limited) {
    mesh fleet(0, 100);
    BOOST_TEST(!fleet.nodes.at(fleet.entry)->is_limited(tenant_name));
    BOOST_TEST(!fleet.nodes.at(fleet.entry)->is_limited(""));
}

BOOST_AUTO_TEST_CASE(refuses_over_the_quota_with_a_time_to_retry) {
    mesh fleet(1, 1);
    quota_verdict last;
    int run = 0;
    for (int count = 0; count < 100; ++count) {
        last = fleet.request();
        run += last.result == kind::run ? 1 : 0;
    }
    BOOST_TEST((last.result == kind::refused_over));
    BOOST_TEST(last.retry_after > absl::ZeroDuration());
    BOOST_TEST(run <= 27); // (1/s * 5 s + 1) * 1.1 + 20
    BOOST_TEST(run >= 5);
}

// Guards against requests that wait for a coordinator that is gone.
BOOST_AUTO_TEST_CASE(asks_the_second_daemon_if_the_coordinator_is_silent) {
    mesh fleet;
    fleet.cut[fleet.coordinator] = true;
    const quota_verdict verdict = fleet.request();
    BOOST_TEST((verdict.result == kind::run));
    // An eighth of the shortest target latency, and two ticks.
    BOOST_TEST(fleet.now - fleet.started <= absl::Milliseconds(175));
    BOOST_TEST(fleet.nodes.at(fleet.second)->report().grants.reserve_granted == 1U);
}

BOOST_AUTO_TEST_CASE(refuses_as_unknown_if_nobody_answers) {
    mesh fleet;
    fleet.cut[fleet.entry] = true;
    BOOST_TEST((fleet.request().result == kind::refused_unknown));
    BOOST_TEST(fleet.now - fleet.started <= absl::Milliseconds(375));
}

// Guards against tokens of an earlier window that are used in a later one.
BOOST_AUTO_TEST_CASE(tokens_expire) {
    mesh fleet;
    const quota_verdict held = fleet.request();
    BOOST_TEST(held.token_expires - fleet.now <= token_lifetime);
    fleet.nodes.at(fleet.entry)->give_back(tenant_name, held.token_expires, fleet.now + absl::Seconds(1));
    BOOST_TEST((fleet.nodes.at(fleet.entry)->acquire(tenant_name, 99, fleet.now).result == kind::wait));
}

// Guards against quota that is lost to requests which never ran.
BOOST_AUTO_TEST_CASE(a_returned_token_is_used_again) {
    mesh fleet;
    const quota_verdict held = fleet.request();
    fleet.nodes.at(fleet.entry)->give_back(tenant_name, held.token_expires, fleet.now);
    BOOST_TEST((fleet.nodes.at(fleet.entry)->acquire(tenant_name, 99, fleet.now).result == kind::run));
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().grants.granted == 1U);
}

// Guards against a token for a request whose caller has left.
BOOST_AUTO_TEST_CASE(a_cancelled_request_leaves_its_token_to_the_next) {
    mesh fleet;
    quota_node& entry = *fleet.nodes.at(fleet.entry);
    BOOST_TEST((entry.acquire(tenant_name, 98, fleet.now).result == kind::wait));
    entry.cancel(tenant_name, 98);
    fleet.deliver();
    BOOST_TEST(!fleet.verdicts.contains(98));
    BOOST_TEST((entry.acquire(tenant_name, 99, fleet.now).result == kind::run));
}

// Guards against datagrams that the network delivers twice.
BOOST_AUTO_TEST_CASE(a_repeated_answer_counts_once) {
    mesh fleet;
    quota_node& entry = *fleet.nodes.at(fleet.entry);
    quota_node& coordinator = *fleet.nodes.at(fleet.coordinator);
    entry.acquire(tenant_name, 98, fleet.now);
    coordinator.receive(entry.take_messages(fleet.now).at(0).message, fleet.now);
    const quota_message answer = coordinator.take_messages(fleet.now).at(0).message;
    entry.receive(answer, fleet.now);
    entry.receive(answer, fleet.now);
    BOOST_TEST(entry.take_resolved().size() == 1U);
    BOOST_TEST((entry.acquire(tenant_name, 99, fleet.now).result == kind::wait));
}

// Guards against tokens that are granted twice because the entry repeats its ask.
BOOST_AUTO_TEST_CASE(a_repeated_ask_is_granted_once) {
    mesh fleet;
    quota_node& entry = *fleet.nodes.at(fleet.entry);
    quota_node& coordinator = *fleet.nodes.at(fleet.coordinator);
    entry.acquire(tenant_name, 98, fleet.now);
    const quota_message ask = entry.take_messages(fleet.now).at(0).message;
    coordinator.receive(ask, fleet.now);
    const quota_message first = coordinator.take_messages(fleet.now).at(0).message;
    coordinator.receive(ask, fleet.now + absl::Milliseconds(75));
    BOOST_TEST((coordinator.take_messages(fleet.now).at(0).message.answers == first.answers));
    BOOST_TEST(coordinator.report().grants.granted == 1U);
}

// Guards against entries that leave a coordinator because one datagram was lost.
BOOST_AUTO_TEST_CASE(a_lost_ask_is_repeated) {
    mesh fleet;
    quota_node& entry = *fleet.nodes.at(fleet.entry);
    entry.acquire(tenant_name, 98, fleet.now);
    entry.take_messages(fleet.now);
    fleet.run_for(absl::Milliseconds(125));
    BOOST_TEST((fleet.verdicts.at(98).result == kind::run));
    BOOST_TEST(entry.report().requests.fallback_asks == 0U);
}

// Guards against two daemons that grant the same tokens: the coordinator subtracts what others granted in its place.
BOOST_AUTO_TEST_CASE(the_second_daemon_tells_what_it_granted) {
    mesh fleet;
    fleet.cut[fleet.coordinator] = true;
    BOOST_TEST((fleet.request().result == kind::run));
    fleet.cut.clear();
    quota_node& second = *fleet.nodes.at(fleet.second);
    second.receive({fleet.entry, {{77, tenant_name, 1, 900}}, {}}, fleet.now + absl::Seconds(20));
    bool is_told = false;
    for (const quota_node::outgoing& out : second.take_messages(fleet.now + absl::Seconds(20))) {
        for (const quota_transfer& transfer : out.message.transfers) {
            is_told = is_told || (out.to == fleet.coordinator && transfer.what == quota_transfer::kind::spent &&
                                  transfer.tokens == 1);
        }
    }
    BOOST_TEST(is_told);
}

// Guards against the refusals of a rolling release: the next daemon's fraction started at 0.
BOOST_AUTO_TEST_CASE(a_leaving_coordinator_hands_its_bucket_over) {
    mesh fleet;
    BOOST_TEST(fleet.run_requests(40) == 40);
    fleet.nodes.at(fleet.coordinator)->leave(fleet.now);
    fleet.deliver();
    BOOST_TEST(fleet.run_requests(40) == 40);
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().coordinated_tenants == 0U);
    BOOST_TEST(fleet.nodes.at(fleet.second)->report().coordinated_tenants == 1U);
    BOOST_TEST(fleet.nodes.at(fleet.second)->report().grants.reserve_granted == 0U);
}

// Guards against a daemon that leaves without a handover, e.g. because the datagram was lost.
BOOST_AUTO_TEST_CASE(the_successor_of_a_daemon_that_left_serves_the_full_fraction) {
    mesh fleet;
    fleet.request();
    std::erase(fleet.addresses, fleet.coordinator);
    fleet.nodes.erase(fleet.coordinator);
    std::vector<member> members = fleet.members();
    members.push_back({fleet.coordinator, {}, "", member_state::left, 0});
    for (auto& [address, node] : fleet.nodes) {
        node->set_members(members, true, fleet.now);
    }
    fleet.run_for(absl::Milliseconds(500));
    BOOST_TEST(fleet.nodes.at(fleet.second)->report().members_known == 4U);
    fleet.request();
    fleet.run_for(absl::Milliseconds(100));
    BOOST_TEST(fleet.run_requests(40) == 40);
}

// Guards against a joined daemon that replaces the coordinator before it can grant.
BOOST_AUTO_TEST_CASE(a_joined_daemon_claims_the_bucket_before_it_grants) {
    mesh fleet;
    fleet.request();
    const endpoint joined = fleet.join_first();
    fleet.run_for(absl::Seconds(1));
    BOOST_TEST((fleet.request().result == kind::run));
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().coordinated_tenants == 1U);
    BOOST_TEST(fleet.nodes.at(joined)->report().grants.granted == 0U);
    fleet.run_for(absl::Seconds(2));
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().coordinated_tenants == 0U);
    BOOST_TEST(fleet.run_requests(40) == 40);
    BOOST_TEST(fleet.nodes.at(joined)->report().coordinated_tenants == 1U);
    BOOST_TEST(fleet.nodes.at(fleet.entry)->report().requests.fallback_asks == 0U);
}

// Guards against a claim that is lost with its daemon: the rules for a dead coordinator apply.
BOOST_AUTO_TEST_CASE(a_daemon_that_fails_after_its_claim_is_replaced) {
    mesh fleet;
    fleet.request();
    const endpoint joined = fleet.join_first();
    fleet.run_for(absl::Seconds(1));
    fleet.request();
    fleet.run_for(absl::Seconds(2));
    fleet.cut[joined] = true;
    // The reserve, then a fraction that rises.
    BOOST_TEST(fleet.run_requests(40) >= 20);
}

// Guards against daemons that start together and each take themselves for the coordinator.
BOOST_AUTO_TEST_CASE(a_started_daemon_grants_nothing_at_first) {
    mesh fleet;
    quota_node started(fleet.coordinator, {}, 1);
    started.set_configuration(configuration(100, 100), fleet.now);
    started.set_members({}, false, fleet.now);
    started.tick(fleet.now, fleet.random);
    BOOST_TEST((started.acquire(tenant_name, 1, fleet.now).result == kind::wait));
    started.take_messages(fleet.now);
    const auto resolved = started.take_resolved();
    BOOST_TEST(resolved.size() == 1U);
    BOOST_TEST((resolved.at(0).verdict.result == kind::refused_unknown));
}

// Guards against a bucket that fills while its process is stopped and others have taken over.
BOOST_AUTO_TEST_CASE(a_paused_coordinator_starts_empty) {
    mesh fleet;
    fleet.request();
    fleet.now += absl::Seconds(10);
    fleet.nodes.at(fleet.coordinator)->tick(fleet.now, fleet.random);
    BOOST_TEST(fleet.nodes.at(fleet.coordinator)->report().fraction < 0.01);
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_drops_the_tokens_held) {
    mesh fleet;
    const quota_verdict held = fleet.request();
    quota_node& entry = *fleet.nodes.at(fleet.entry);
    entry.give_back(tenant_name, held.token_expires, fleet.now);
    entry.set_configuration(configuration(10, 10), fleet.now);
    BOOST_TEST((entry.acquire(tenant_name, 99, fleet.now).result == kind::wait));
}

BOOST_AUTO_TEST_SUITE_END()
