#include "common/steady_clock.h"

#include <absl/time/clock.h>

namespace amaranthladder {

steady_clock::steady_clock() : m_wall_start(absl::Now()), m_steady_start(std::chrono::steady_clock::now()) {}

absl::Time steady_clock::now() const {
    return m_wall_start + absl::FromChrono(std::chrono::steady_clock::now() - m_steady_start);
}

} // namespace amaranthladder
