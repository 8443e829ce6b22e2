#pragma once

#include "config/configuration_holder.h"
#include "config/snapshot.h"
#include "peers/messages.h"
#include "peers/pull_scheduler.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Holds the configuration in force, applies newer versions and serves updates to peers. Thread-safe.
///
/// Versions are applied one after the other and never in descending order; the listener sees them in that order.
class active_configuration {
public:
    using listener = std::function<void(const std::shared_ptr<const snapshot>& applied)>;

    /// @param on_applied told of each applied version, from the thread that offered it.
    explicit active_configuration(listener on_applied);

    /// Applies an update of a peer: a delta or a whole snapshot.
    pull_outcome apply_update(const std::string& bytes);

    /// Applies canonical bytes, as the store holds them.
    pull_outcome apply_encoded(std::string_view bytes, std::string_view hash);

    /// Applies a configuration that an adapter has translated.
    pull_outcome apply(std::shared_ptr<const snapshot> offered);

    /// @param held what the peer holds.
    /// @return the update from there, or empty bytes if nothing newer is in force.
    std::string update_since(const configuration_digest& held) const;

    /// @return the snapshot in force, or null before the first one.
    std::shared_ptr<const snapshot> current() const;

    /// @return the last version that was refused, if no newer one has been applied since.
    std::optional<snapshot_refusal> last_refusal() const;

private:
    pull_outcome finish_apply(const offer_result& result) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_apply_mutex);

    /// An earlier version, kept as the base of deltas. Its bytes are a fifth of what the decoded state takes.
    struct delta_base {
        std::uint64_t version = 0;
        std::string hash;
        std::string bytes;
    };

    /// Earlier versions that are kept; a peer that is further behind gets the whole.
    static constexpr std::size_t max_delta_bases = 15;

    listener m_on_applied;
    absl::Mutex m_apply_mutex; ///< Held while a version is applied, so that the listener sees versions in order.
    configuration_holder m_holder ABSL_GUARDED_BY(m_apply_mutex);
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const snapshot> m_current ABSL_GUARDED_BY(m_mutex);
    std::deque<delta_base> m_delta_bases ABSL_GUARDED_BY(m_mutex); ///< The newest is the last.
    std::optional<snapshot_refusal> m_refusal ABSL_GUARDED_BY(m_mutex);
};

} // namespace amaranthladder
