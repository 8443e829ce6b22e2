#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Queries a daemon's control port over HTTP.
class daemon_client {
public:
    /// @param address the daemon's control port.
    /// @param timeout limit for connecting and, separately, for the response.
    daemon_client(endpoint address, absl::Duration timeout);

    /// @param path the path of a GET request, without a query.
    /// @param key name of the query parameter; empty: no query.
    /// @param value value of the query parameter, not encoded.
    /// @return the body of the response, JSON.
    /// @throws error with peer_unreachable, message_malformed (not JSON) or config_bad_value (status 4xx).
    std::string get(const std::string& path, const std::string& key = {}, const std::string& value = {}) const;

private:
    endpoint m_address;
    absl::Duration m_timeout;
};

/// @param json a JSON text.
/// @return one line `PATH: VALUE` for each scalar; a path joins keys and array positions with dots.
/// @throws error with message_malformed if @p json is not JSON.
std::string flatten_json(const std::string& json);

} // namespace amaranthladder
