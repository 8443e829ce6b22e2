#pragma once

#include "config/move_stamp.h"
#include "config/snapshot.h"
#include "store/head_reader.h"
#include "store/publisher.h"
#include "tool/state_difference.h"

#include <absl/random/distributions.h>
#include <absl/time/clock.h>
#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Result of folder_publisher::apply().
struct apply_result {
    result_code code = result_code::ok;   ///< As in publish_result, or publish_unchanged.
    std::uint64_t version = 0;            ///< Version in force in the store, as last read.
    std::string publish_id;               ///< Publish id of that version.
    std::string operator_name;            ///< Operator who published that version.
    std::vector<std::string> differences; ///< From the version in force; after a race, from the other operator's.
};

/// Publishes the intended state of a folder as the next version.
template <key_value_store Store> class folder_publisher {
public:
    /// @param store the platform's store; outlives the publisher.
    /// @param operator_name name of the publishing operator.
    folder_publisher(Store& store, std::string operator_name)
        : m_store(store), m_operator_name(std::move(operator_name)) {}

    /// @param state a valid state.
    /// @param expected_version the version that must be in force; without it, any version may be.
    /// @param deadline timeout of each read and of the publish.
    /// @param random source of the publish id and of the publisher's jitter.
    /// @return the result.
    /// @throws error if the version in force cannot be read.
    apply_result apply(intended_state state, std::optional<std::uint64_t> expected_version, absl::Duration deadline,
                       absl::BitGenRef random) {
        const auto base = read(deadline);
        const std::uint64_t base_version = base == nullptr ? 0 : base->version();
        const std::string publish_id =
            fmt::format("{:016x}{:016x}", absl::Uniform<std::uint64_t>(random), absl::Uniform<std::uint64_t>(random));
        stamp_moves(base == nullptr ? nullptr : &base->state(), state, base_version + 1);
        const auto next = snapshot::create(base_version + 1, absl::Now(), publish_id, std::move(state));
        apply_result result;
        result.version = base_version;
        result.publish_id = base == nullptr ? "" : base->publish_id();
        result.differences = state_differences(base == nullptr ? intended_state{} : base->state(), next->state());
        if (expected_version && *expected_version != base_version) {
            result.code = result_code::publish_raced;
            return result;
        }
        if (base != nullptr && base->state() == next->state()) {
            result.code = result_code::publish_unchanged;
            return result;
        }
        const publish_result published = publisher<Store>(m_store).publish(
            {next->version(), next->hash(), next->canonical_bytes(), publish_id, next->publish_time(), m_operator_name},
            deadline, random);
        result.code = published.code;
        result.version = published.store_version;
        result.publish_id = published.store_publish_id;
        result.operator_name = published.store_operator;
        if (published.code == result_code::publish_raced) {
            const auto other = read(deadline);
            result.differences = state_differences(other == nullptr ? intended_state{} : other->state(), next->state());
        }
        return result;
    }

private:
    std::shared_ptr<const snapshot> read(absl::Duration deadline) {
        const auto content = head_reader<Store>(m_store).read(deadline);
        return content ? snapshot::decode(content->bytes, content->head.hash) : nullptr;
    }

    Store& m_store;
    std::string m_operator_name;
};

} // namespace amaranthladder
