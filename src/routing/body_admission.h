#pragma once

#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace amaranthladder {

/// Parameters of body_admission; docs/design/uploads.md gives the reasons.
struct body_admission_policy {
    double link_bytes_per_second = 0; ///< Capacity of the host's link; 0: unknown, so that it limits nothing.
    /// Bytes of bodies that may be under way, as the time that the link needs for them. Responses and smaller requests
    /// of the host wait behind these bytes.
    absl::Duration max_link_delay = absl::Milliseconds(80);
    int max_transfers = 32;                                    ///< Bodies that may be under way.
    std::size_t max_held_bytes = std::size_t{8} * 1024 * 1024; ///< Bodies under way or held, all together.
    /// Largest part of one body that is held; longer bodies are passed on while they arrive.
    std::size_t max_held_bytes_per_body = std::size_t{512} * 1024;
    /// A transfer that takes this multiple of the time that the link needs is limited by its sender, and no longer
    /// counts as link load. Otherwise a few slow senders would keep all others waiting.
    double slow_sender_factor = 4;
    absl::Duration min_slow_sender_time = absl::Milliseconds(200); ///< Lower bound of that time.
};

/// A request whose body is still with its sender.
struct body_offer {
    request_id id = 0;
    std::size_t bytes = 0;                              ///< Size of the body.
    absl::Time latest_arrival = absl::InfiniteFuture(); ///< When the body must be complete.
    bool may_wait = true;                               ///< False: received at once or refused.
};

/// Decides when an owner asks for the body of a request, so that bodies neither fill the host's link nor its memory,
/// and a request that would come too late is refused before its body has been sent.
///
/// Each offered request is received, refused, cancelled or dropped by expire; a received one holds memory until
/// release.
class body_admission {
public:
    enum class verdict { receive, wait, refused };

    explicit body_admission(body_admission_policy policy);

    /// @return receive: ask for the body now; wait: until finish, release or expire names it.
    verdict offer(const body_offer& offered, absl::Time now);

    /// Records that a body is complete or that its transfer has failed.
    void on_transferred(request_id id);

    /// Frees the memory of a body.
    void release(request_id id);

    /// @return waiting requests whose bodies can be asked for now.
    std::vector<request_id> start_waiting(absl::Time now);

    /// @return waiting requests that would come too late; they are to be refused.
    std::vector<request_id> expire(absl::Time now);

    /// Removes a waiting request.
    void cancel(request_id id);

    int transfers() const {
        return static_cast<int>(m_transfers.size());
    }

    int waiting() const {
        return static_cast<int>(m_waiting.size());
    }

private:
    struct transfer {
        request_id id;
        std::size_t bytes;
        absl::Time counts_until; ///< When it is known to be limited by its sender.
    };
    struct held_body {
        request_id id;
        std::size_t bytes;
    };

    absl::Duration link_time(std::size_t bytes) const;
    std::size_t link_bytes(absl::Time now) const;
    std::size_t held_bytes() const;
    /// @return the memory that a body takes.
    std::size_t memory_of(std::size_t bytes) const;
    bool may_start(std::size_t bytes, absl::Time now) const;
    void start(request_id id, std::size_t bytes, absl::Time now);

    body_admission_policy m_policy;
    std::vector<transfer> m_transfers; // Few, so a scan is faster than a table.
    std::vector<held_body> m_held;     ///< Under way or complete.
    std::vector<body_offer> m_waiting; // In order of arrival.
};

} // namespace amaranthladder
