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

/// Holds the active configuration, applies newer versions and builds updates for peers. Thread-safe.
///
/// Versions are applied one at a time in ascending order; the listener is called in the same order.
class active_configuration {
public:
    using listener = std::function<void(const std::shared_ptr<const snapshot>& applied)>;

    /// @param on_applied called for each applied version, on the thread that applies it.
    explicit active_configuration(listener on_applied);

    /// Applies an update received from a peer: a delta or a whole snapshot.
    pull_outcome apply_update(const std::string& bytes);

    /// Applies a snapshot in its canonical encoding, as stored in the store.
    /// @param hash expected hash of @p bytes.
    pull_outcome apply_encoded(std::string_view bytes, std::string_view hash);

    /// Applies a snapshot that a platform adapter has translated.
    pull_outcome apply(std::shared_ptr<const snapshot> offered);

    /// @param held version and hash that the peer holds.
    /// @return the update from @p held to the active version; empty if the active version is not newer.
    std::string update_since(const configuration_digest& held) const;

    /// @return the active snapshot; null before the first one is applied.
    std::shared_ptr<const snapshot> current() const;

    /// @return the last refused version, unless a newer one has been applied since.
    std::optional<snapshot_refusal> last_refusal() const;

private:
    pull_outcome finish_apply(const offer_result& result) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_apply_mutex);

    /// An earlier version that deltas are computed from. It is kept encoded, which takes a fifth of the memory of the
    /// decoded state.
    struct delta_base {
        std::uint64_t version = 0;
        std::string hash;
        std::string bytes;
    };

    /// A peer that is further behind gets the whole snapshot.
    static constexpr std::size_t max_delta_bases = 15;

    listener m_on_applied;
    absl::Mutex m_apply_mutex; ///< Held while a version is applied and the listener runs, which keeps the order.
    configuration_holder m_holder ABSL_GUARDED_BY(m_apply_mutex);
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const snapshot> m_current ABSL_GUARDED_BY(m_mutex);
    std::deque<delta_base> m_delta_bases ABSL_GUARDED_BY(m_mutex); ///< Oldest first.
    std::optional<snapshot_refusal> m_refusal ABSL_GUARDED_BY(m_mutex);
};

} // namespace amaranthladder
