#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(entry_admission_test)

namespace {

constexpr const char* service_short_code = "1428";
constexpr int caller_count = 12;

/// Writes a configuration with the routes `/reads/` of priority 1 and `/urgent/` of priority 0.
void put_configuration(platform_store& store) {
    const auto route = [](const std::string& name, int priority) {
        return R"({"name":")" + name + R"(","authority":"","prefix":"/)" + name +
               R"(/","kind":"safe","service":"tienda","target_latency_ms":1000,"max_attempts":2,"priority":)" +
               std::to_string(priority) + "}";
    };
    store.put("op/config", R"({"version":"0000000c","routes":[)" + route("reads", 1) + "," + route("urgent", 0) +
                               R"(],"services":[{"name":"tienda","health_path":"/health"}]})");
}

/// @return the value of @p key in a log line; empty without it.
std::string field(const std::string& line, const std::string& key) {
    const std::size_t at = line.find(" " + key + "=");
    return at == std::string::npos
               ? ""
               : line.substr(at + key.size() + 2, line.find_first_of(" \n", at + 1) - at - key.size() - 2);
}

/// @return the lines of a log that contain @p text.
std::vector<std::string> lines_with(const std::string& log, const std::string& text) {
    return absl::StrSplit(log, '\n', [&](absl::string_view line) { return absl::StrContains(line, text); });
}

/// Callers that send `/reads/` to an entry, each the next one soon after the response, until they are destroyed.
class callers {
public:
    explicit callers(const platform_host& entry) {
        for (int i = 0; i < caller_count; ++i) {
            m_threads.emplace_back([this, &entry] {
                auto client = entry.client();
                while (!m_must_stop) {
                    const auto answer = client.Get("/reads/x");
                    const bool is_shed =
                        answer && answer->get_header_value("x-amaranthladder-code") == service_short_code;
                    served += answer && answer->status == 200;
                    shed += is_shed;
                    shed_without_retry_after +=
                        is_shed && (answer->status != 503 || answer->get_header_value("Retry-After").empty());
                    absl::SleepFor(absl::Milliseconds(20));
                }
            });
        }
    }

    ~callers() {
        stop();
    }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    void stop() {
        m_must_stop = true;
        for (std::thread& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    std::atomic<int> served = 0;
    std::atomic<int> shed = 0; ///< Refused with service-short.
    std::atomic<int> shed_without_retry_after = 0;

private:
    std::atomic<bool> m_must_stop = false;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against an entry that sends requests to a full upstream only to have them refused, that goes on refusing when
// a report names a free slot, and that refuses more urgent requests with the others. Two hosts with real daemons; the
// upstream has one slot and takes 150 ms, and 12 callers offer about ten times what it serves.
BOOST_AUTO_TEST_CASE(entry_refuses_what_a_full_upstream_cannot_serve) {
    platform_store store;
    put_configuration(store);
    platform_host owner(store, 1);
    platform_host entry(store, 2);
    owner.slots = 1;
    BOOST_REQUIRE(owner.start_upstream());
    BOOST_REQUIRE(entry.wait_for_status("/reads/x", 200));
    owner.set_upstream_delay(absl::Milliseconds(150));
    callers load(entry);
    const absl::Time until = absl::Now() + absl::Seconds(10);
    std::uint64_t heartbeat = 1; // Without heartbeats, the upstream counts as gone after 6 s.
    while (load.shed < 50 && absl::Now() < until) {
        owner.announce(++heartbeat);
        absl::SleepFor(absl::Milliseconds(100));
    }
    BOOST_REQUIRE(load.shed >= 50);
    auto urgent_client = entry.client();
    for (int i = 0; i < 5; ++i) {
        const auto urgent = urgent_client.Get("/urgent/x");
        BOOST_REQUIRE(urgent);
        BOOST_TEST(urgent->status == 200, urgent->get_header_value("x-amaranthladder-code"));
    }
    load.stop();
    BOOST_TEST(owner.announce(++heartbeat) == 200);
    BOOST_TEST(load.shed_without_retry_after == 0);
    BOOST_TEST(load.served > 0);
    const std::string entry_log = entry.log();
    const std::string owner_log = owner.log();
    for (const std::string& line : lines_with(entry_log, " code=service-short ")) {
        BOOST_TEST(field(line, "sends") == "0", line);
        BOOST_TEST(!absl::StrContains(owner_log, " request=" + field(line, "request") + " "), line);
    }
    // The ids are in the owner's log if it gets the requests.
    const auto refused_by_owner = lines_with(entry_log, " code=queue-full ");
    BOOST_REQUIRE(!refused_by_owner.empty());
    BOOST_TEST(absl::StrContains(owner_log, " request=" + field(refused_by_owner.front(), "request") + " "));

    // The first probe that is served reports a free slot, and so does each response after it: all are admitted, also
    // after a pause in which a report of a wait becomes too old.
    owner.set_upstream_delay(absl::ZeroDuration());
    BOOST_REQUIRE(entry.wait_for_status("/reads/x", 200));
    auto client = entry.client();
    for (int i = 0; i < 10; ++i) {
        absl::SleepFor(i < 5 ? absl::ZeroDuration() : absl::Milliseconds(400));
        const auto answer = client.Get("/reads/x");
        BOOST_REQUIRE(answer);
        BOOST_TEST(answer->status == 200, answer->get_header_value("x-amaranthladder-code"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
