#include "fakes/scripted_upstream.h"
#include "fakes/two_daemons.h"

#include "config/key_digest.h"
#include "routing/request_priority.h"

#include <absl/strings/ascii.h>
#include <absl/synchronization/mutex.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(tenant_requests_test)

namespace {

const std::string key = "k-3f9ab2c47d1e";
const std::string other_key = "k-77aa01b2c3d4";

void use_separate_address(proxy_options& options) {
    options.owner_address = {"127.0.0.1", 0};
    options.first_byte_timeout = absl::Seconds(3); // Above two service times.
    options.headers.authorization_scheme = "Token";
    options.headers.tenant = "X-Tenant";
}

void use_shared_address(proxy_options& options) {
    use_separate_address(options);
    options.owner_address = {};
}

tenant make_tenant(const std::string& name, const std::string& held_key) {
    tenant made;
    made.name = name;
    made.key_digests.push_back(key_digest(held_key));
    return made;
}

std::shared_ptr<intended_state> make_state(const std::vector<tenant>& tenants) {
    auto state = std::make_shared<intended_state>();
    state->services["tienda"] = {"tienda", absl::Seconds(5), 16, {}};
    state->routes["orders"] = {"orders", "tienda", "/", {}, route_kind::idempotent, {}, {}};
    state->routes["open"] = {"open", "tienda", "/open", {}, route_kind::by_method, {}, {}};
    state->routes["open"].allows_anonymous = true;
    for (const tenant& listed : tenants) {
        state->tenants[listed.name] = listed;
    }
    return state;
}

/// Two daemons and an upstream that records the requests that it gets.
struct recording_mesh {
    explicit recording_mesh(int slots = 16, const std::function<void(proxy_options&)>& adjust = use_separate_address)
        : upstream([this](const scripted_request& request) { return answer(request); }), mesh(slots, 16, adjust) {
        mesh.record.address = upstream.address();
        mesh.record.owner = mesh.owner->owner_address();
        mesh.owner->set_local_upstream(mesh.record, 16);
        for (auto* proxy : {mesh.entry.get(), mesh.owner.get()}) {
            proxy->set_upstreams({mesh.record});
        }
        configure(make_state({make_tenant("acme", key), make_tenant("other", other_key)}));
    }

    void configure(const std::shared_ptr<intended_state>& state) const {
        mesh.entry->set_configuration(state);
        mesh.owner->set_configuration(state);
    }

    /// @return the status of a request with these header lines.
    int send(const std::string& headers, const std::string& path = "/x", bool through_entry = true,
             const std::string& body = "") const {
        const endpoint address = through_entry ? mesh.entry->address() : mesh.owner->address();
        const std::string answer =
            send_raw(address, (body.empty() ? "GET " : "POST ") + path +
                                  " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n" + body);
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }

    std::vector<scripted_request> received() const {
        const absl::MutexLock lock(&mutex);
        return requests;
    }

    /// @return true if no request that the upstream got contains @p text, whatever its case.
    bool never_received(const std::string& text) const {
        for (const scripted_request& request : received()) {
            if (absl::AsciiStrToLower(request.head).find(absl::AsciiStrToLower(text)) != std::string::npos) {
                return false;
            }
        }
        return true;
    }

    scripted_answer answer(const scripted_request& request) {
        const absl::MutexLock lock(&mutex);
        requests.push_back(request);
        return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", delay};
    }

    mutable absl::Mutex mutex;
    std::vector<scripted_request> requests;
    absl::Duration delay;
    scripted_upstream upstream;
    two_daemons mesh;
};

/// Sends a request that waits for the only slot, and changes the configuration meanwhile.
/// @return its status.
int send_during_change(recording_mesh& mesh, const std::shared_ptr<intended_state>& next, bool through_entry) {
    {
        const absl::MutexLock lock(&mesh.mutex);
        mesh.delay = absl::Milliseconds(600);
    }
    std::thread busy([&mesh] { mesh.send("Authorization: Token " + other_key + "\r\n", "/busy"); });
    while (mesh.received().empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    int status = 0;
    std::thread waiting([&mesh, &status, through_entry] {
        status = mesh.send("Authorization: Token " + key + "\r\n", "/waiting", through_entry);
    });
    // On a busy machine the request takes a while to get to the queue.
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    mesh.configure(next);
    busy.join();
    waiting.join();
    return status;
}

} // namespace

// Guards against an upstream that sees a key or is not told the tenant, at the entry's own upstream and at another's.
BOOST_DATA_TEST_CASE(upstream_is_told_the_tenant_and_never_the_key, boost::unit_test::data::make({true, false}),
                     through_entry) {
    const recording_mesh mesh;
    BOOST_TEST(mesh.send("Authorization: Token " + key + "\r\n", "/x", through_entry) == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.received().front().header("X-Tenant") == "acme");
    BOOST_TEST(mesh.send("aUTHORIZATION: Token " + other_key + "\r\n", "/open", through_entry) == 200);
    BOOST_REQUIRE(mesh.received().size() == 2U);
    BOOST_TEST(mesh.received().back().header("X-Tenant") == "other");
    BOOST_TEST(mesh.never_received("authorization"));
    BOOST_TEST(mesh.never_received(key));
    BOOST_TEST(mesh.never_received(key_digest(key)));
}

// Guards against a key in what an entry sends to another daemon: it may cross a network that the caller's own request
// does not.
BOOST_AUTO_TEST_CASE(other_daemons_are_told_the_tenant_and_a_digest) {
    recording_mesh mesh;
    mesh.mesh.record.owner = mesh.upstream.address(); // Takes the place of the owner.
    mesh.mesh.entry->set_upstreams({mesh.mesh.record});
    mesh.send("Authorization: Token " + key + "\r\nX-Tenant: other\r\n");
    mesh.send("", "/open");
    const std::vector<scripted_request> received = mesh.received();
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_TEST(received.front().header("x-amaranthladder-tenant") == "acme");
    BOOST_TEST(received.front().header("x-amaranthladder-key-digest") == key_digest(key));
    BOOST_TEST(received.back().head.find("x-amaranthladder-tenant") == std::string::npos);
    BOOST_TEST(mesh.never_received("authorization"));
    BOOST_TEST(mesh.never_received("x-tenant"));
    BOOST_TEST(mesh.never_received(key));
}

// Guards against requests that run without a right key, and against refusals of anonymous ones (R-KEY-2).
BOOST_DATA_TEST_CASE(refuses_by_key_and_route, boost::unit_test::data::make({true, false}), through_entry) {
    const recording_mesh mesh;
    BOOST_TEST(mesh.send("", "/x", through_entry) == 401);
    BOOST_TEST(mesh.send("Authorization: Token wrong\r\n", "/x", through_entry) == 401);
    BOOST_TEST(mesh.send("Authorization: Token wrong\r\n", "/open", through_entry) == 401);
    BOOST_TEST(mesh.send("Authorization: Token " + key + "x\r\n", "/x", through_entry) == 401);
    BOOST_TEST(mesh.send("Authorization: Token " + key + "\r\nAuthorization: Token " + other_key + "\r\n", "/x",
                         through_entry) == 401);
    BOOST_TEST(mesh.received().empty());
    BOOST_TEST(mesh.send("", "/open", through_entry) == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.never_received("x-tenant"));
}

// Guards against refusals that callers cannot act on: RFC 9110, section 15.5.2 asks for a challenge.
BOOST_AUTO_TEST_CASE(refusal_names_the_scheme_and_says_not_run) {
    const recording_mesh mesh;
    const auto refused = mesh.mesh.client().Get("/x");
    BOOST_REQUIRE(refused);
    BOOST_TEST(code_of(refused) == "1424");
    BOOST_TEST(refused->get_header_value("x-amaranthladder-outcome") == "not-run");
    BOOST_TEST(refused->get_header_value("WWW-Authenticate") == "Token");
    BOOST_TEST(!refused->has_header("Retry-After"));
}

const std::string claims[] = {
    "X-Tenant: other\r\n",
    "x-tenant: other\r\nX-TENANT: other\r\n",
    "X_Tenant: other\r\n",
    "x-amaranthladder-tenant: other\r\n",
    "x-amaranthladder-tenant: other\r\nx-amaranthladder-upstream: tienda-1\r\nx-amaranthladder-mesh: litoral\r\n",
    "Connection: X-Tenant\r\nX-Tenant: other\r\n",
    "Connection: authorization, x-tenant, x-amaranthladder-tenant, x-amaranthladder-key-digest\r\n",
    "Connection: keep-alive\r\nConnection: x-amaranthladder-tenant, x-amaranthladder-route\r\n",
};

// Guards against a caller that passes for another tenant, or removes the header that the daemon sets.
BOOST_DATA_TEST_CASE(claims_of_callers_are_ignored,
                     boost::unit_test::data::make(claims) * boost::unit_test::data::make({true, false}), headers,
                     through_entry) {
    const recording_mesh mesh;
    BOOST_TEST(mesh.send(headers, "/open", through_entry) == 200);
    BOOST_TEST(mesh.send(headers + "Authorization: Token " + key + "\r\n", "/x", through_entry) == 200);
    BOOST_TEST(mesh.send(headers, "/x", through_entry) == 401);
    const std::vector<scripted_request> received = mesh.received();
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_TEST(received.front().header("X-Tenant") == "");
    BOOST_TEST(received.back().header("X-Tenant") == "acme");
    BOOST_TEST(mesh.never_received("other"));
    BOOST_TEST(mesh.never_received(key));
}

// Guards against a key or a tenant in the trailers of a chunked body, which the parser adds to the headers: it neither
// counts nor passes on.
BOOST_DATA_TEST_CASE(trailers_are_ignored, boost::unit_test::data::make({true, false}), through_entry) {
    const recording_mesh mesh;
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string trailers = "3\r\nabc\r\n0\r\nAuthorization: Token " + key +
                                 "\r\nX-Tenant: other\r\nx-amaranthladder-tenant: other\r\n\r\n";
    BOOST_TEST(mesh.send(chunked, "/x", through_entry, trailers) == 401);
    BOOST_TEST(mesh.received().empty());
    BOOST_TEST(mesh.send(chunked, "/open", through_entry, trailers) == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.received().back().header("X-Tenant") == "");
    BOOST_TEST(mesh.send(chunked + "Authorization: Token " + key + "\r\n", "/x", through_entry, trailers) == 200);
    BOOST_REQUIRE(mesh.received().size() == 2U);
    BOOST_TEST(mesh.received().back().header("X-Tenant") == "acme");
    BOOST_TEST(mesh.never_received("other"));
    BOOST_TEST(mesh.never_received(key));
}

// Guards against a change for meshes without tenants: both headers are the callers' own.
BOOST_DATA_TEST_CASE(without_tenants_both_headers_pass, boost::unit_test::data::make({true, false}), through_entry) {
    const recording_mesh mesh;
    mesh.configure(make_state({}));
    BOOST_TEST(mesh.send("Authorization: Basic dXNlcg==\r\nX-Tenant: mine\r\n", "/x", through_entry) == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.received().front().header("Authorization") == "Basic dXNlcg==");
    BOOST_TEST(mesh.received().front().header("X-Tenant") == "mine");
}

// Guards against an owner with an older configuration that passes a claim on, or drops the tenant that its entry found.
BOOST_AUTO_TEST_CASE(owner_without_tenants_uses_the_header_of_the_entry) {
    const recording_mesh mesh;
    mesh.mesh.owner->set_configuration(make_state({}));
    BOOST_TEST(mesh.send("Authorization: Token " + key + "\r\nX-Tenant: other\r\n") == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.received().front().header("X-Tenant") == "acme");
    BOOST_TEST(mesh.never_received(key));
}

// Guards against refusals of a key that the entry knows already and the owner does not yet.
BOOST_AUTO_TEST_CASE(owner_with_an_older_configuration_accepts_a_new_key) {
    const recording_mesh mesh;
    mesh.mesh.owner->set_configuration(make_state({make_tenant("other", other_key)}));
    BOOST_TEST(mesh.send("Authorization: Token " + key + "\r\n") == 200);
    BOOST_REQUIRE(mesh.received().size() == 1U);
    BOOST_TEST(mesh.received().front().header("X-Tenant") == "acme");
}

// Guards against 401 or 404 of a daemon that has not heard of any configuration (R-KEY-2).
BOOST_AUTO_TEST_CASE(daemon_without_a_configuration_answers_503) {
    proxy_options options;
    options.mesh = "litoral";
    options.listen_address = {"127.0.0.1", 0};
    const steady_clock clock;
    event_log log{event_log_options{log_level::off, "", 64}};
    request_proxy proxy(options, {}, {}, clock, log,
                        {[](const upstream_call_result& /*call*/) {}, [](const std::string& /*id*/) {}});
    std::thread loop([&proxy] { proxy.run(); });
    for (const std::string& headers : {std::string(), "Authorization: Bearer " + key + "\r\n"}) {
        const std::string answer =
            send_raw(proxy.address(), "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
    }
    proxy.stop();
    loop.join();
}

/// The change that happens while a request waits for a slot.
struct change_row {
    const char* name;
    std::shared_ptr<intended_state> state;
    int status;
    const char* tenant;

    friend std::ostream& operator<<(std::ostream& out, const change_row& row) {
        return out << row.name;
    }
};

const change_row change_rows[] = {
    {"key removed", make_state({make_tenant("other", other_key)}), 401, ""},
    {"key replaced", make_state({make_tenant("acme", "k-new"), make_tenant("other", other_key)}), 401, ""},
    {"key still there", make_state({make_tenant("acme", key), make_tenant("new", "k-new")}), 200, "acme"},
    {"all tenants removed", make_state({}), 200, "acme"},
};

// Guards against a request that runs although its key was removed while it waited for a slot, in the entry's own queue
// and in another owner's (R-KEY-3): a wait may be longer than the time in which a removal must be in force.
BOOST_DATA_TEST_CASE(change_while_waiting_is_honoured, change_rows* boost::unit_test::data::make({true, false}), row,
                     through_entry) {
    recording_mesh mesh(1);
    const int status = send_during_change(mesh, row.state, through_entry);
    BOOST_TEST(status == row.status);
    const std::vector<scripted_request> received = mesh.received();
    BOOST_REQUIRE(received.size() == (row.status == 200 ? 2U : 1U));
    if (row.status == 200) {
        BOOST_TEST(received.back().header("X-Tenant") == row.tenant);
    }
}

// Guards against a forged tenant where callers and daemons share an address: with tenants, no request that names an
// upstream is believed there.
BOOST_AUTO_TEST_CASE(shared_address_believes_no_daemon) {
    const recording_mesh mesh(16, use_shared_address);
    const std::string forged = "x-amaranthladder-mesh: litoral\r\nx-amaranthladder-upstream: tienda-1\r\n"
                               "x-amaranthladder-route: orders\r\nx-amaranthladder-tenant: acme\r\n";
    BOOST_TEST(mesh.send(forged, "/x", false) == 503);
    BOOST_TEST(mesh.received().empty());
    mesh.configure(make_state({}));
    BOOST_TEST(mesh.send(forged, "/x", false) == 200);
    BOOST_TEST(mesh.never_received("acme"));
    // A daemon's own upstream needs no other daemon.
    mesh.configure(make_state({make_tenant("acme", key)}));
    BOOST_TEST(mesh.send("Authorization: Token " + key + "\r\n", "/x", false) == 200);
}

// Guards against refusals that no metric shows.
BOOST_AUTO_TEST_CASE(counts_refusals) {
    const recording_mesh mesh;
    mesh.send("");
    mesh.send("Authorization: Token wrong\r\n");
    mesh.send("Authorization: Token wrong\r\n", "/open");
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    const proxy_counters counters = mesh.mesh.entry->counters();
    BOOST_TEST(counters.refusals_missing_key == 1U);
    BOOST_TEST(counters.refusals_unknown_key == 2U);
    BOOST_TEST(counters.refusals_not_run == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
