#pragma once

#include "peers/messages.h"
#include "peers/peer_settings.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace amaranthladder {

/// A pull to be made from a peer.
struct pull_order {
    endpoint peer;
    configuration_digest held; ///< What the peer may send a delta from.
    std::uint64_t expected_version = 0;

    friend bool operator==(const pull_order&, const pull_order&) = default;
};

/// How a pull ended.
enum class pull_outcome {
    applied,     ///< The configuration in force is now at least the expected version.
    unreachable, ///< The peer did not answer, or had nothing newer.
    bad_content, ///< The bytes do not decode or have the wrong hash; another peer may have good ones.
    rejected,    ///< Validation refused the version; it is not pulled again from anybody.
};

} // namespace amaranthladder
