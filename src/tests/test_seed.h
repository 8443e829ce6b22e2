#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

namespace amaranthladder {

/// Prints the seed, so that a failed run can be repeated.
/// @return the seed of a randomized test: TEST_SEED from the environment, or a random number.
inline std::uint32_t test_seed() {
    const char* const given = std::getenv("TEST_SEED");
    const std::uint32_t seed =
        given != nullptr ? static_cast<std::uint32_t>(std::stoul(given)) : std::random_device()();
    std::cout << "TEST_SEED=" << seed << std::endl;
    return seed;
}

} // namespace amaranthladder
