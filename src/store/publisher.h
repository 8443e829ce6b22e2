#pragma once

#include "store/key_value_store.h"
#include "store/publish_run.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

/// Publishes configuration versions to a store by executing the steps of publish_run.
template <key_value_store Store> class publisher {
public:
    /// @param store the platform's store; must outlive the publisher.
    /// @param call_deadline maximum duration of one store call.
    explicit publisher(Store& store, absl::Duration call_deadline = absl::Seconds(2))
        : m_store(store), m_call_deadline(call_deadline) {}

    /// Publishes one version and blocks until the publish has ended.
    /// @param request what to publish.
    /// @param deadline maximum duration of the publish; its last call may end up to the call deadline later.
    /// @param random source of the jitter of pauses.
    /// @return the result.
    publish_result publish(publish_request request, absl::Duration deadline, absl::BitGenRef random) {
        publish_run run(std::move(request), absl::Now() + deadline);
        while (const auto step = run.next(absl::Now(), random)) {
            if (step->kind == store_step::action::pause) {
                absl::SleepFor(step->delay);
            } else {
                run.on_reply(call(*step));
            }
        }
        return run.result();
    }

private:
    store_reply call(const store_step& step) {
        if (step.kind == store_step::action::get) {
            auto read = m_store.get(step.key, m_call_deadline);
            if (!read.is_ok()) {
                return {read.outcome, {}, 0};
            }
            return {read.outcome, std::move(read.value->value), read.value->key_revision};
        }
        const auto written = m_store.compare_and_swap(step.key, step.expected, step.value, m_call_deadline);
        return {written.outcome, {}, written.value.value_or(0)};
    }

    Store& m_store;
    absl::Duration m_call_deadline;
};

} // namespace amaranthladder
