#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(load_report_test)

double metric(const platform_host& host, const std::string& name) {
    const auto answer = httplib::Client(host.control_address().address, host.control_address().port).Get("/metrics");
    if (!answer) {
        return -1;
    }
    const std::size_t at = answer->body.find("\namaranthladder_" + name + " ");
    return at == std::string::npos ? -1 : std::stod(answer->body.substr(at + name.size() + 17));
}

/// @return the numbers that follow @p key in a log, in order.
std::vector<double> numbers_in_log(const std::string& log, const std::string& key) {
    std::vector<double> numbers;
    for (std::size_t at = log.find(key); at != std::string::npos; at = log.find(key, at + 1)) {
        numbers.push_back(std::stod(log.substr(at + key.size(), 16)));
    }
    return numbers;
}

/// @return what follows the last @p key in a log, up to the next space; empty without any.
std::string last_in_log(const std::string& log, const std::string& key) {
    const std::size_t at = log.rfind(key);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + key.size();
    return log.substr(begin, log.find(' ', begin) - begin);
}

constexpr const char* usual_report = "1,0,12,100";
constexpr const char* slow_report = "1,0,12,250";
/// Long enough that the delays of a busy machine change work times by less than a slow moment does.
constexpr absl::Duration usual_work = absl::Milliseconds(30);

/// The upstream's reports change every this many requests.
constexpr int requests_per_moment = 10;

bool is_slow_moment(int request) {
    return request / requests_per_moment % 2 == 1;
}

fake_upstream_behavior reporting(const char* report, absl::Duration work) {
    fake_upstream_behavior behavior;
    behavior.headers = {{"X-Response-Signature", "test"}, {"X-Server-Load", report}};
    behavior.delay = work;
    return behavior;
}

/// Two hosts with real daemons, of which one has the upstream.
struct two_hosts {
    two_hosts() : owner(store, 1), entry(store, 2) {
        put_test_configuration(store);
        owner.upstream.set_behavior(reporting(usual_report, usual_work));
        BOOST_REQUIRE(owner.wait_for_status("/elsewhere", 404));
        BOOST_REQUIRE(owner.announce(m_heartbeats) == 200);
        BOOST_REQUIRE(entry.wait_for_status("/reads/x", 200));
    }

    void send(const fake_upstream_behavior& behavior) {
        if (++m_sent % requests_per_moment == 0) {
            owner.announce(++m_heartbeats); // An upstream that is silent for 6 s counts as gone.
        }
        owner.upstream.set_behavior(behavior);
        entry.client().Get("/reads/x");
    }

    platform_store store;
    platform_host owner;
    platform_host entry;

private:
    int m_sent = 0;
    std::uint64_t m_heartbeats = 1;
};

// Guards against figures of an upstream or of a link that do not reach the entry that chooses, and against true reports
// that are taken for false. The upstream takes 2.5 times as long while it reports that.
BOOST_AUTO_TEST_CASE(reports_reach_the_entry) {
    two_hosts hosts;
    platform_host& owner = hosts.owner;
    platform_host& entry = hosts.entry;
    for (int request = 0; request < 100; ++request) {
        const bool is_slow = is_slow_moment(request);
        hosts.send(reporting(is_slow ? slow_report : usual_report, is_slow ? 2.5 * usual_work : usual_work));
    }
    hosts.send(reporting("1,0", usual_work));
    // The settings of the test hosts state a link of 12.5 Mbit/s.
    BOOST_TEST(entry.wait_for_log("chosen_link=0.0"), entry.log());
    const std::vector<double> speeds = numbers_in_log(entry.log(), "chosen_speed=");
    BOOST_REQUIRE(!speeds.empty());
    BOOST_TEST(std::ranges::max(speeds) > 1.2, entry.log());
    BOOST_TEST(last_in_log(owner.log(), " source=") == "reported", owner.log());
    absl::SleepFor(absl::Seconds(1.5)); // Counters are published once a second.
    BOOST_TEST(metric(owner, "link_bytes_total") > 10'000);
    BOOST_TEST(metric(entry, "link_bytes_total") > 10'000);
    BOOST_TEST(metric(owner, "upstream_load_reports_malformed_total") == 1);
}

// Guards against an upstream that repels requests by reports of slow moments that it does not have: its reports must be
// judged false, and the entry must then choose by the speed that the owner measures.
BOOST_AUTO_TEST_CASE(false_reports_are_not_used) {
    constexpr std::size_t judged = 20;
    two_hosts hosts;
    for (int request = 0; request < 100; ++request) {
        hosts.send(reporting(is_slow_moment(request) ? slow_report : usual_report, usual_work));
    }
    BOOST_TEST(hosts.owner.wait_for_log(" source=measured"), hosts.owner.log());
    for (std::size_t request = 0; request <= judged; ++request) {
        hosts.send(reporting(slow_report, usual_work));
    }
    BOOST_TEST(last_in_log(hosts.owner.log(), " source=") == "measured", hosts.owner.log());
    std::vector<double> speeds = numbers_in_log(hosts.entry.log(), "chosen_speed=");
    BOOST_REQUIRE(speeds.size() > judged);
    speeds.erase(speeds.begin(), speeds.end() - judged);
    std::ranges::sort(speeds);
    // The median, since a delay on a busy machine is measured as a slow moment.
    BOOST_TEST(speeds[judged / 2] < 1.2, hosts.entry.log());
}

BOOST_AUTO_TEST_SUITE_END()
