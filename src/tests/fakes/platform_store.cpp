#include "platform_store.h"

#include <absl/strings/escaping.h>
#include <boost/json.hpp>

#include <chrono>
#include <utility>

namespace amaranthladder {

namespace json = boost::json;

namespace {

/// Keeps daemons that watch without a pause from taking all processor time.
constexpr absl::Duration max_watch_wait = absl::Milliseconds(50);

json::object item_json(const std::string& key, const std::string& value, std::uint64_t revision, std::uint64_t lease) {
    return {{"key", key},
            {"value", absl::Base64Escape(value)},
            {"revision", revision},
            {"create_revision", revision},
            {"lease", lease}};
}

} // namespace

platform_store::platform_store() {
    m_server.set_tcp_nodelay(true);
    m_server.Get("/amaranthladder/kv-key", answer(&platform_store::get_key));
    m_server.Get("/amaranthladder/kv-range", answer(&platform_store::get_range));
    m_server.Get("/amaranthladder/kv-watch", answer(&platform_store::watch));
    m_server.Post("/amaranthladder/kv-txn", answer(&platform_store::commit));
    m_server.Post("/amaranthladder/kv-lease", answer(&platform_store::make_lease));
    m_server.Post(R"(/amaranthladder/kv-keep/(\d+))", answer(&platform_store::keep_lease));
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

platform_store::~platform_store() {
    m_server.stop();
    m_thread.join();
}

endpoint platform_store::address() const {
    return {"127.0.0.1", static_cast<std::uint16_t>(m_port)};
}

std::uint64_t platform_store::put(const std::string& key, const std::string& value) {
    const absl::MutexLock lock(&m_mutex);
    write(key, value, 0);
    return m_contents.revision;
}

void platform_store::remove(const std::string& key) {
    const absl::MutexLock lock(&m_mutex);
    m_contents.items.erase(key);
    m_contents.removals[key] = ++m_contents.revision;
}

std::uint64_t platform_store::grant_lease() {
    const absl::MutexLock lock(&m_mutex);
    return m_contents.next_lease++;
}

void platform_store::make_copy() {
    const absl::MutexLock lock(&m_mutex);
    m_copy = m_contents;
}

void platform_store::restore_copy() {
    const absl::MutexLock lock(&m_mutex);
    m_contents = m_copy;
    ++m_era;
}

bool platform_store::has(const std::string& key) const {
    const absl::MutexLock lock(&m_mutex);
    return m_contents.items.contains(key);
}

std::string platform_store::value_of(const std::string& key) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_contents.items.find(key);
    return found == m_contents.items.end() ? "" : found->second.value;
}

int platform_store::writes_of(const std::string& key) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_writes.find(key);
    return found == m_writes.end() ? 0 : found->second;
}

httplib::Server::Handler platform_store::answer(handler called) {
    return [this, called](const httplib::Request& request, httplib::Response& response) {
        const absl::MutexLock lock(&m_mutex);
        response.set_header("Store-Era", std::to_string(m_era));
        response.set_content((this->*called)(request, response), "application/json");
    };
}

std::string platform_store::get_key(const httplib::Request& request, httplib::Response& response) {
    const std::string key = request.get_param_value("key");
    const auto found = m_contents.items.find(key);
    if (found == m_contents.items.end()) {
        response.status = 404;
        return "{}";
    }
    return json::serialize(item_json(key, found->second.value, found->second.revision, found->second.lease));
}

std::string platform_store::get_range(const httplib::Request& request, httplib::Response& /*response*/) {
    json::array items;
    for (const auto& [key, held] : m_contents.items) {
        if (key.starts_with(request.get_param_value("prefix")) && key > request.get_param_value("after")) {
            items.push_back(item_json(key, held.value, held.revision, held.lease));
        }
    }
    return json::serialize(json::object{{"items", items}, {"truncated", false}, {"as_of", m_contents.revision}});
}

std::string platform_store::watch(const httplib::Request& request, httplib::Response& response) {
    const std::uint64_t after = std::stoull(request.get_param_value("after"));
    if (after > m_contents.revision) {
        response.status = 410;
        return "{}";
    }
    const auto has_changed = [this, after]()
                                 ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_contents.revision > after; };
    m_mutex.AwaitWithTimeout(absl::Condition(&has_changed), max_watch_wait);
    json::array events;
    for (const auto& [key, held] : m_contents.items) {
        if (key.starts_with(request.get_param_value("prefix")) && held.revision > after) {
            events.push_back(item_json(key, held.value, held.revision, held.lease));
        }
    }
    for (const auto& [key, revision] : m_contents.removals) {
        if (key.starts_with(request.get_param_value("prefix")) && revision > after && !m_contents.items.contains(key)) {
            events.push_back(json::object{{"key", key}, {"revision", revision}, {"deleted", true}});
        }
    }
    return json::serialize(json::object{{"events", events}, {"as_of", m_contents.revision}});
}

std::string platform_store::commit(const httplib::Request& request, httplib::Response& response) {
    const json::object body = json::parse(request.body).as_object();
    for (const json::value& row : body.at("if_revision").as_array()) {
        const auto held = m_contents.items.find(row.at("key").as_string().c_str());
        const std::uint64_t present = held == m_contents.items.end() ? 0 : held->second.revision;
        if (present != row.at("revision").to_number<std::uint64_t>()) {
            response.status = 412;
            return "{}";
        }
    }
    for (const json::value& row : body.at("writes").as_array()) {
        const std::string key = row.at("key").as_string().c_str();
        std::string value;
        absl::Base64Unescape(row.at("value").as_string().c_str(), &value);
        write(key, value, row.at("lease").to_number<std::uint64_t>());
        ++m_writes[key];
    }
    return json::serialize(json::object{{"revision", m_contents.revision}});
}

std::string platform_store::make_lease(const httplib::Request& /*request*/, httplib::Response& /*response*/) {
    return json::serialize(json::object{{"lease", m_contents.next_lease++}, {"ttl_ms", 60'000}});
}

std::string platform_store::keep_lease(const httplib::Request& request, httplib::Response& response) {
    response.status = std::stoull(request.matches[1]) < m_contents.next_lease ? 200 : 404;
    return "{}";
}

void platform_store::write(const std::string& key, const std::string& value, std::uint64_t lease) {
    m_contents.items[key] = {value, ++m_contents.revision, lease};
}

} // namespace amaranthladder
