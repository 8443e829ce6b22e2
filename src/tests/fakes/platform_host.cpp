#include "platform_host.h"

#include "platform_store.h"
#include "resident_memory.h"

#include <absl/time/clock.h>
#include <boost/algorithm/string/replace.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace amaranthladder {

namespace {

constexpr int request_port = 21001;
constexpr int owner_port = 21002;
constexpr int ready_port = 21003;
constexpr int control_port = 21004;
constexpr int upstream_port = 21005;
constexpr int peer_port = 21006;
/// The template names it.
constexpr int status_port = 9190;
constexpr absl::Duration poll_interval = absl::Milliseconds(10);

/// @return a loopback address that other test processes do not use.
std::string host_address(int number) {
    const int process = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + (process >> 8) % 250, process % 256, number);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

fake_upstream_behavior signed_responses() {
    fake_upstream_behavior behavior;
    behavior.headers["X-Response-Signature"] = "test";
    return behavior;
}

std::string fill_template(const std::string& address, int number, const endpoint& store, const std::string& limits) {
    std::string text = read_file(TEST_DEPLOY_FOLDER "/daemon.ini.in");
    boost::replace_all(text, "{{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}", limits);
    const std::pair<const char*, std::string> fields[] = {
        {"region", "litoral"},
        {"zone", "rosario-a"},
        {"node", fmt::format("host-{}", number)},
        {"service", "tienda"},
        {"ip", address},
        {"listen.outbound", fmt::format("{}:{}", address, request_port)},
        {"listen.inbound", fmt::format("{}:{}", address, owner_port)},
        {"listen.ready", fmt::format("{}:{}", address, ready_port)},
        {"listen.control", fmt::format("{}:{}", address, control_port)},
        {"port_range.0", std::to_string(peer_port)},
        {"platform.address", to_string(store)},
        {"platform.reads_per_s", "2000"},
        {"limits.link_mbps", "12.5"},
        {"seeds", ""},
    };
    for (const auto& [name, value] : fields) {
        boost::replace_all(text, fmt::format("{{{{{}}}}}", name), value);
    }
    return text;
}

} // namespace

platform_host::platform_host(const platform_store& store, int number, const std::string& limits)
    : upstream({host_address(number), upstream_port}, "v1", signed_responses()), m_address(host_address(number)),
      m_number(number), m_upstream_start(absl::Now()), m_upstream_thread([this] { upstream.run(); }) {
    const std::string base =
        (std::filesystem::temp_directory_path() / fmt::format("amaranthladder-{}-{}", ::getpid(), number)).string();
    m_settings_path = base + ".ini";
    m_log_path = base + ".log";
    std::ofstream(m_settings_path) << fill_template(m_address, number, store.address(), limits);
    start();
}

platform_host::~platform_host() {
    kill();
    upstream.stop();
    m_upstream_thread.join();
    std::filesystem::remove(m_settings_path);
    std::filesystem::remove(m_log_path);
}

void platform_host::start() {
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string program = TEST_PROGRAMS_FOLDER "/amaranthladderd";
    std::string option = "--settings";
    char* const arguments[] = {program.data(), option.data(), m_settings_path.data(), nullptr};
    const int failure = ::posix_spawn(&m_process, program.c_str(), &files, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0) {
        m_process = -1;
        throw std::runtime_error("the daemon cannot be started");
    }
}

void platform_host::kill() {
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

void platform_host::terminate() const {
    ::kill(m_process, SIGTERM);
}

int platform_host::wait_for_end(absl::Duration limit) {
    const absl::Time until = absl::Now() + limit;
    int status = -1;
    while (::waitpid(m_process, &status, WNOHANG) == 0) {
        if (absl::Now() >= until) {
            return -1;
        }
        absl::SleepFor(poll_interval);
    }
    m_process = -1;
    return status;
}

bool platform_host::is_running() {
    return m_process > 0 && wait_for_end(absl::ZeroDuration()) == -1;
}

long platform_host::resident_kib() const {
    return amaranthladder::resident_kib(m_process);
}

int platform_host::announce(std::uint64_t sequence, const std::string& state) {
    return call_control("PUT", upstream_id(), heartbeat(sequence, state));
}

int platform_host::announce_as(const std::string& id, std::uint64_t sequence) {
    return call_control("PUT", id, heartbeat(sequence, "ready"));
}

endpoint platform_host::request_address() const {
    return {m_address, request_port};
}

endpoint platform_host::control_address() const {
    return {m_address, status_port};
}

endpoint platform_host::peer_address() const {
    return {m_address, peer_port};
}

int platform_host::withdraw() {
    return call_control("DELETE", upstream_id(), "");
}

httplib::Client platform_host::client() const {
    httplib::Client result(m_address, request_port);
    result.set_tcp_nodelay(true);
    result.set_read_timeout(std::chrono::seconds(20));
    return result;
}

bool platform_host::wait_for_status(const std::string& path, int status, absl::Duration limit) const {
    const absl::Time until = absl::Now() + limit;
    while (absl::Now() < until) {
        const auto answer = client().Get(path);
        if (answer && answer->status == status) {
            return true;
        }
        absl::SleepFor(poll_interval);
    }
    return false;
}

std::string platform_host::heartbeat(std::uint64_t sequence, const std::string& state) const {
    return fmt::format(R"({{"address":"{}","born":{},"info":{{"service":"tienda","version":"v1","zone":"rosario-a",)"
                       R"("slots":{}}},"status":{{"state":"{}","sequence":{},"cold_ms":0}}}})",
                       to_string(upstream.address()), absl::ToUnixMillis(m_upstream_start), slots, state, sequence);
}

std::string platform_host::upstream_id() const {
    return fmt::format("i-{:08x}", m_number);
}

bool platform_host::start_upstream() {
    // Before the first configuration no request gets 404.
    return wait_for_status("/elsewhere", 404) && announce(1) == 200 && wait_for_status("/reads/x", 200);
}

void platform_host::set_upstream_delay(absl::Duration delay) {
    fake_upstream_behavior behavior = signed_responses();
    behavior.delay = delay;
    upstream.set_behavior(behavior);
}

void platform_host::set_upstream_endless(endless_kind kind) {
    fake_upstream_behavior behavior = signed_responses();
    behavior.endless = kind;
    upstream.set_behavior(behavior);
}

bool platform_host::wait_for_log(const std::string& text, absl::Duration limit) const {
    const absl::Time until = absl::Now() + limit;
    while (log().find(text) == std::string::npos) {
        if (absl::Now() >= until) {
            return false;
        }
        absl::SleepFor(poll_interval);
    }
    return true;
}

std::string platform_host::log() const {
    return read_file(m_log_path);
}

int platform_host::call_control(const std::string& method, const std::string& id, const std::string& body) const {
    httplib::Client control(m_address, control_port);
    httplib::Request request;
    request.method = method;
    request.path = "/amaranthladder/instances/" + id;
    request.body = body;
    request.headers = {{"Content-Length", std::to_string(body.size())}};
    const auto answer = control.send(request);
    return answer ? answer->status : 0;
}

void put_test_configuration(platform_store& store, int max_attempts) {
    const auto route = [max_attempts](const char* name, const char* kind) {
        return fmt::format(R"({{"name":"{0}","authority":"","prefix":"/{0}/","kind":"{1}","service":"tienda",)"
                           R"("target_latency_ms":1000,"priority":1,"max_attempts":{2}}})",
                           name, kind, max_attempts);
    };
    store.put("op/config", fmt::format(R"({{"version":"{:08x}","routes":[{},{}],)"
                                       R"("services":[{{"name":"tienda","health_path":"/health"}}]}})",
                                       10 + max_attempts, route("reads", "safe"), route("orders", "unsafe")));
}

} // namespace amaranthladder
