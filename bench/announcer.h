#pragma once

#include "common/endpoint.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace amaranthladder {

/// What an upstream announces to the daemon beside it; docs/interfaces.md gives the shape.
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

/// Announces one upstream to a daemon every second until it is destroyed.
class announcer {
public:
    /// @param control address of the daemon's control port.
    /// @param value what to announce.
    announcer(const endpoint& control, announcement value);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Announces that the upstream leaves, at once and from then on.
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
