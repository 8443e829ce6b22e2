#pragma once

#include "common/asio_types.h"
#include "http/private/metered_stream.h"

#include <functional>
#include <memory>

namespace amaranthladder {

/// Detects that a caller closes its connection, or sends more, while its request is being served.
///
/// Nothing may be read from the connection while the watch exists.
class disconnect_watch {
public:
    /// @param stream the caller's connection; outlives the watch.
    /// @param on_disconnect called at most once, on the event loop's thread.
    /// @param on_data called at most once, if the caller sends data; afterwards a disconnect is not detected and the
    ///        connection may be read from.
    disconnect_watch(
        metered_stream& stream, std::function<void()> on_disconnect, std::function<void()> on_data = [] {});
    ~disconnect_watch();
    disconnect_watch(const disconnect_watch&) = delete;
    disconnect_watch& operator=(const disconnect_watch&) = delete;

    /// @return true if the caller has closed its connection.
    bool has_disconnected() const {
        return m_state->has_disconnected;
    }

private:
    struct state {
        metered_stream* stream = nullptr;
        std::function<void()> on_disconnect;
        std::function<void()> on_data;
        bool is_stopped = false;
        bool has_fired = false;
        bool has_disconnected = false;
    };

    static void on_readable(const std::shared_ptr<state>& shared);

    std::shared_ptr<state> m_state;
};

} // namespace amaranthladder
