#include "daemon/intent_store_client.h"

#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "platform/intent.h"
#include "platform/kv_store.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(intent_store_client_test)

namespace {

/// What a client has told the daemon, in its order.
class told_events {
public:
    intent_store_callbacks callbacks() {
        intent_store_callbacks result;
        result.self = {"127.0.0.1", 1};
        result.apply = [this](const std::shared_ptr<const snapshot>&) { add("configuration"); };
        result.accept_order = [this](const move_order& order) { add("order " + order.service); };
        result.accept_evacuation = [this](const std::string& data_center, const evacuation_record&) {
            add("evacuation " + data_center);
        };
        result.accept_evacuation_list = [this](const std::set<std::string>&, revision) { add("list"); };
        result.due_reports = [] { return std::vector<move_order>(); };
        result.on_report_written = [](const move_order&) {};
        result.on_store_restored = [] {};
        result.add_contacts = [](const std::vector<endpoint>&) {};
        result.has_peers = [] { return false; };
        result.may_delay_watch = [] { return false; };
        result.must_follow_store = [] { return true; };
        result.set_follows_store = [](bool) {};
        result.announce_era = [](std::uint64_t) {};
        result.heard_era = [] { return std::uint64_t{0}; };
        result.saved_upstream = [] { return std::string(); };
        result.restore_upstream = [](const std::string&) {};
        return result;
    }

    /// Waits for an event, such as a configuration.
    /// @return all events so far.
    std::vector<std::string> wait_for(const std::string& event) const {
        const auto is_told = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
            return std::ranges::find(m_events, event) != m_events.end();
        };
        const absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&is_told), absl::Seconds(15));
        return m_events;
    }

private:
    void add(const std::string& event) {
        const absl::MutexLock lock(&m_mutex);
        m_events.push_back(event);
    }

    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_events ABSL_GUARDED_BY(m_mutex);
};

} // namespace

// Guards against a daemon that serves requests as soon as it has read its configuration from the store, before it has
// read that a data centre is evacuated.
BOOST_AUTO_TEST_CASE(first_configuration_follows_the_evacuations) {
    platform_store served;
    put_test_configuration(served);
    served.put("op/evacuate/rosario-a", "{}");
    served.put("op/rollout/tienda", R"({"service":"tienda","target_version":"v2","duration_s":30})");
    event_log log{event_log_options{log_level::off, "", 64}};
    const steady_clock clock;
    call_counter counter;
    told_events events;
    const intent_store_client<platform::kv_store> client(
        std::make_unique<platform::kv_store>(served.address(), counter), counter, platform::make_intent_format(),
        events.callbacks(), absl::ZeroDuration(), clock, log);
    const std::vector<std::string> expected{"evacuation rosario-a", "list", "configuration", "order tienda"};
    BOOST_TEST(events.wait_for("order tienda") == expected, boost::test_tools::per_element());
    // A later configuration is applied at once.
    put_test_configuration(served, 3);
    const absl::Time until = absl::Now() + absl::Seconds(15);
    while (std::ranges::count(events.wait_for("list"), "configuration") < 2 && absl::Now() < until) {
        absl::SleepFor(absl::Milliseconds(20));
    }
    BOOST_TEST(std::ranges::count(events.wait_for("list"), "configuration") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
