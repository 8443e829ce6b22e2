#include "announcer.h"

#include <boost/json.hpp>
#include <httplib.h>

#include <chrono>
#include <utility>

namespace amaranthladder {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(20);
constexpr int polls_per_announcement = 50;

} // namespace

std::string announcement_json(const announcement& value) {
    boost::json::object body;
    body["id"] = value.id;
    body["service"] = value.service;
    body["version"] = value.version;
    body["address"] = to_string(value.address);
    body["slots"] = value.slots;
    body["routes"] = boost::json::value_from(value.routes);
    body["load"] = value.load;
    body["leaving"] = value.is_leaving;
    return boost::json::serialize(body);
}

announcer::announcer(const endpoint& control, announcement value)
    : m_control(control), m_announcement(std::move(value)), m_thread([this] { run(); }) {}

announcer::~announcer() {
    m_is_stopped = true;
    m_thread.join();
}

void announcer::leave() {
    m_is_leaving = true;
}

void announcer::run() {
    httplib::Client client(m_control.address, m_control.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::milliseconds(500));
    while (!m_is_stopped) {
        m_announcement.is_leaving = m_is_leaving;
        client.Put("/v1/upstream", announcement_json(m_announcement), "application/json");
        for (int poll = 0; poll < polls_per_announcement && !m_is_stopped; ++poll) {
            if (m_is_leaving && !m_announcement.is_leaving) {
                break;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

} // namespace amaranthladder
