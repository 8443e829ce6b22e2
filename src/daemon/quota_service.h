#pragma once

#include "common/event_log.h"
#include "http/request_proxy.h"
#include "peers/opaque_record.h"
#include "peers/peer_server.h"
#include "quota/quota_limits.h"

#include <cstdint>

namespace amaranthladder {

/// Carries the messages of the tenants' quotas between the data path and the peers.
class quota_service {
public:
    /// @param proxy, @param peers and @param log outlive this object's use by their threads.
    quota_service(const quota_limits& limits, request_proxy& proxy, peer_server& peers, event_log& log);

    /// Handles a record from a peer. Called on a peers thread.
    /// @return false if the record is of another kind.
    bool handle_record(const opaque_record& record);

    /// Passes the members to the data path if they have changed. Called on the control loop's thread.
    void update(bool are_members_changed);

private:
    request_proxy& m_proxy;
    peer_server& m_peers;
    event_log& m_log;
    bool m_is_joined = false;
};

} // namespace amaranthladder
