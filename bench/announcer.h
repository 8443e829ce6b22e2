#pragma once

#include "common/endpoint.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace amaranthladder {

/// The announcement of an upstream to the daemon on its host; docs/interfaces.md describes the fields.
struct announcement {
    std::string id;
    std::string service;
    std::string version;
    endpoint address;
    int slots = 1;
    std::vector<std::string> routes;
    double load = 0;
    bool is_leaving = false;
};

/// @return @p value as the JSON body of `PUT /v1/upstream`.
std::string announcement_json(const announcement& value);

/// Announces one upstream to a daemon every second, from its construction to its destruction.
class announcer {
public:
    /// @param control address of the daemon's control port.
    /// @param value the announcement to repeat.
    announcer(const endpoint& control, announcement value);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Announces immediately, and in all later announcements, that the upstream is leaving.
    void leave();

private:
    void run();

    endpoint m_control;
    announcement m_announcement;
    std::atomic<bool> m_is_leaving = false;
    std::atomic<bool> m_is_stopped = false;
    std::thread m_thread;
};

} // namespace amaranthladder
