#pragma once

#include "common/asio_types.h"
#include "common/result_code.h"
#include "http/private/forwarding_headers.h"
#include "http/private/metered_stream.h"
#include "http/private/one_shot_event.h"
#include "http/private/request_body.h"
#include "routing/router.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// A request that is being served.
struct served_request {
    metered_stream& stream; ///< The caller's connection.
    const http::request_header<>& head;
    request_body& body;
    forwarding_info info;
    absl::Time received_at;
    bool expects_continue = false;                  ///< The sender waits for 100 (Continue) before it sends the body.
    bool keeps_connection = true;                   ///< The connection can carry another request after this one.
    bool may_have_reached_upstream = false;         ///< For refusals: an upstream may have received the request.
    std::optional<absl::Duration> backlog = {};     ///< For refusals to another daemon: expected wait for a slot.
    std::optional<owner_report> report = {};        ///< For refusals to another daemon.
    std::optional<absl::Duration> retry_after = {}; ///< For refusals: time after which the caller may retry.
    std::string challenge = {};     ///< For refusals with status 401: the scheme of the key that is asked for.
    one_shot_event* turn = nullptr; ///< Set once the responses to earlier requests on the connection have been sent.
    std::function<bool()> must_close = {}; ///< Asked before a response: the connection ends with it. Null: no.

    std::string_view method() const {
        const auto text = head.method_string();
        return {text.data(), text.size()};
    }

    /// @return true if responses to earlier requests have to be sent first; wait for `turn` before writing.
    bool is_behind() const {
        return turn != nullptr && !turn->is_set();
    }

    /// Decides whether the connection is kept after the response that is about to be written.
    /// @return true if it is.
    bool decide_keep_alive() {
        keeps_connection = keeps_connection && !(must_close && must_close());
        return keeps_connection;
    }

    bool is_head_only() const {
        return head.method() == http::verb::head;
    }
};

/// Result of serving a request.
struct serve_result {
    result_code code = result_code::ok;
    unsigned status = 0; ///< HTTP status sent to the caller; 0 if none was sent.
};

/// Sends a refusal with its result code in headers and in a JSON body.
/// @param detail description for humans; may be empty.
asio::awaitable<serve_result> write_refusal(served_request& request, result_code code, execution request_execution,
                                            std::string detail);

/// Sends 100 (Continue) to a sender that waits for it.
/// @param limit timeout of the write.
/// @return false if the write failed.
asio::awaitable<bool> write_continue(served_request& request, absl::Duration limit);

/// Resets a connection, so that the peer does not take a truncated response for a complete one.
void reset_connection(metered_stream& stream);

} // namespace amaranthladder
