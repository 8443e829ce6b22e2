#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Slots of one upstream that are kept for nested calls. Does no I/O; the time is an argument.
///
/// A request whose nested call finds no slot has done its work in vain. If the services that call one another form a
/// cycle, new work may hold all slots of one of them while it waits for nested calls to the same service; going first
/// in the queue does not help those, since no slot is freed before they end.
class nested_reserve {
public:
    /// Records that a nested call was offered.
    /// @param work expected service time.
    void on_offered(absl::Duration work, absl::Time now);

    /// @param slots slots of the upstream.
    /// @return slots that new work may not use, at most half of @p slots; 0 without recent nested calls.
    int reserved(int slots, absl::Time now) const;

private:
    double demand(absl::Time now) const;

    double m_demand = 0; ///< Slots that nested calls need on average, as of m_updated_at.
    absl::Time m_updated_at = absl::InfinitePast();
};

} // namespace amaranthladder
