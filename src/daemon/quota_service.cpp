#include "daemon/quota_service.h"

#include "common/error.h"
#include "http/quota_transport.h"
#include "quota/quota_message.h"

#include <fmt/format.h>

namespace amaranthladder {

quota_service::quota_service(const quota_limits& limits, request_proxy& proxy, peer_server& peers, event_log& log)
    : m_proxy(proxy), m_peers(peers), m_log(log) {
    m_proxy.start_quota({peers.address(), limits, [&peers](const endpoint& to, const quota_message& message) {
                             peers.send_reports({to}, {{std::string(quota_record_key), message.encode()}});
                         }});
}

bool quota_service::handle_record(const opaque_record& record) {
    if (record.key != quota_record_key) {
        return false;
    }
    try {
        m_proxy.receive_quota(quota_message::decode(record.bytes));
    } catch (const error& problem) {
        m_log.warning(fmt::format("quota-message-refused reason=\"{}\"", problem.what()));
    }
    return true;
}

void quota_service::update(bool are_members_changed) {
    if (are_members_changed || !m_is_joined) {
        const bool is_joined = m_peers.is_joined();
        if (are_members_changed || is_joined) {
            m_is_joined = is_joined;
            m_proxy.set_quota_members(m_peers.members(), is_joined);
        }
    }
}

} // namespace amaranthladder
