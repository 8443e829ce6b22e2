#pragma once

#include "peers/messages.h"
#include "peers/peer_settings.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace amaranthladder {

/// A pull to be made from a peer.
struct pull_task {
    endpoint peer;
    configuration_digest base; ///< Configuration of this daemon, from which the peer may send a delta.
    std::uint64_t expected_version = 0;

    friend bool operator==(const pull_task&, const pull_task&) = default;
};

/// How a pull ended.
enum class pull_outcome {
    applied,     ///< The current configuration is now at least the expected version.
    unreachable, ///< The peer did not answer or had no newer version.
    bad_content, ///< The bytes do not decode or have the wrong hash; another peer may send valid ones.
    rejected,    ///< Validation rejected the version; it is not pulled again from any peer.
};

/// Decides when to pull a newer configuration version and from which peer. Performs no I/O.
///
/// Only versions above the current one are pulled. A failed pull removes the peer from the candidates and delays the
/// next pull with exponential backoff, so that unresponsive peers are not asked repeatedly.
class pull_scheduler {
public:
    /// @param settings the settings; must outlive this object.
    explicit pull_scheduler(const peer_settings& settings);

    /// Adds @p peer to the candidates if @p digest has a version worth pulling.
    /// @param is_near true if the peer is in this daemon's data centre; such peers are preferred.
    void receive_digest(const endpoint& peer, const configuration_digest& digest, bool is_near, absl::Time now,
                        absl::BitGenRef random);

    /// @return the pulls to start now.
    std::vector<pull_task> tick(absl::Time now, absl::BitGenRef random);

    /// Records how a pull ended.
    void finish(const pull_task& task, pull_outcome outcome, absl::Time now, absl::BitGenRef random);

    /// Sets the current configuration if it is newer than the previous one.
    /// @return true if it was newer.
    bool set_current(const configuration_digest& current);

    const configuration_digest& current() const {
        return m_current;
    }

    std::uint64_t newest_heard_version() const {
        return m_newest_heard;
    }

private:
    struct candidate {
        endpoint peer;
        bool is_near = false;
    };

    struct running_pull {
        pull_task task;
        absl::Time started;
    };

    bool is_pull_allowed(absl::Time now) const;

    const peer_settings& m_settings;
    configuration_digest m_current;
    std::uint64_t m_newest_heard = 0;
    std::uint64_t m_wanted = 0; ///< Version offered by m_candidates; no pull is needed unless it is above m_current.
    std::uint64_t m_rejected = 0;
    std::vector<candidate> m_candidates;
    std::vector<running_pull> m_running;
    absl::Time m_next_pull = absl::InfinitePast();
    absl::Duration m_backoff;
};

} // namespace amaranthladder
