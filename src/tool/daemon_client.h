#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Asks questions on a daemon's control port.
class daemon_client {
public:
    /// @param address the daemon's control port.
    /// @param deadline longest time to connect, and longest time to wait for the answer.
    daemon_client(endpoint address, absl::Duration deadline);

    /// @param path the path of a GET request, without a query.
    /// @param key name of a query parameter; empty: no query.
    /// @param value its value, not encoded.
    /// @return the body of the answer, JSON.
    /// @throws error with peer_unreachable, message_malformed (not JSON) or config_bad_value (the daemon refused).
    std::string get(const std::string& path, const std::string& key = {}, const std::string& value = {}) const;

private:
    endpoint m_address;
    absl::Duration m_deadline;
};

/// @param json a JSON text.
/// @return one line `PATH: VALUE` for each scalar, with the keys and positions of the path joined by dots.
/// @throws error with message_malformed if @p json is not JSON.
std::string flatten_json(const std::string& json);

} // namespace amaranthladder
