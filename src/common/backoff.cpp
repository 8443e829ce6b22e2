#include "common/backoff.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

backoff::backoff(absl::Duration initial, absl::Duration cap) : m_initial(initial), m_cap(cap), m_limit(initial) {}

absl::Duration backoff::next_delay(absl::BitGenRef random) {
    const absl::Duration limit = std::exchange(m_limit, std::min(m_limit * 2, m_cap));
    return limit * absl::Uniform<double>(random, 0.0, 1.0);
}

void backoff::reset() {
    m_limit = m_initial;
}

} // namespace amaranthladder
