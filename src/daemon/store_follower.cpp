#include "daemon/store_follower.h"

#include "common/backoff.h"
#include "common/error.h"
#include "store/config_head.h"
#include "store/head_reader.h"

#include <fmt/format.h>

namespace amaranthladder {

namespace {

constexpr absl::Duration first_delay = absl::Milliseconds(200);
constexpr absl::Duration longest_delay = absl::Seconds(10);
/// Time for all pieces of one version.
constexpr absl::Duration read_limit = absl::Seconds(5);

} // namespace

store_follower::store_follower(const daemon_settings::store_section& settings, configuration_keeper& keeper,
                               const steady_clock& clock, event_log& log)
    : m_settings(settings), m_keeper(keeper), m_clock(clock), m_log(log), m_store(settings.address, m_calls),
      m_thread([this] { run(); }) {}

store_follower::~store_follower() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_stopped = true;
    }
    m_store.close();
    m_thread.join();
}

store_status store_follower::status() const {
    const absl::MutexLock lock(&m_mutex);
    return {m_unreachable_since, m_calls.total(), !m_unreachable_since};
}

void store_follower::run() {
    backoff delays(first_delay, longest_delay);
    while (true) {
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_is_stopped) {
                return;
            }
        }
        const bool is_answered = follow_once();
        note_answer(is_answered);
        if (is_answered) {
            delays.reset();
        } else {
            wait(delays.next_delay(m_random));
        }
    }
}

bool store_follower::follow_once() {
    const auto found = m_revision == 0 ? m_store.get(config_head_key, m_settings.call_timeout)
                                       : m_store.watch(config_head_key, m_revision, m_settings.watch);
    if (found.outcome == store_outcome::absent) {
        const auto created = m_store.watch(config_head_key, 0, m_settings.watch);
        return created.outcome == store_outcome::unchanged || (created.is_ok() && take_head(created.value->value));
    }
    if (found.outcome == store_outcome::unchanged) {
        return true;
    }
    if (!found.is_ok() || !take_head(found.value->value)) {
        return false;
    }
    m_revision = found.value->key_revision;
    return true;
}

bool store_follower::take_head(const std::string& text) {
    try {
        const config_head head = config_head::parse(text);
        const auto held = m_keeper.current();
        if (held && head.version <= held->version()) {
            return true;
        }
        head_reader<http_store> reader(m_store);
        const auto bytes = reader.read_pieces(head, absl::Now() + read_limit);
        if (!bytes) {
            // A newer head has replaced this one; the watch reports it.
            return true;
        }
        const pull_outcome outcome = m_keeper.offer_whole(*bytes, head.hash);
        if (outcome != pull_outcome::applied) {
            m_log.error(fmt::format("configuration-refused version={} source=store", head.version));
        }
        return true;
    } catch (const error& problem) {
        m_log.warning(fmt::format("store-read-failed reason=\"{}\"", problem.what()));
        return problem.code() != result_code::store_unavailable;
    }
}

void store_follower::note_answer(bool is_answered) {
    const absl::MutexLock lock(&m_mutex);
    if (is_answered) {
        if (m_unreachable_since) {
            m_log.info(fmt::format("store-reachable after_ms={}",
                                   absl::ToInt64Milliseconds(m_clock.now() - *m_unreachable_since)));
        }
        m_unreachable_since.reset();
    } else if (!m_unreachable_since && !m_is_stopped) {
        m_unreachable_since = m_clock.now();
        m_log.warning("store-unreachable");
    }
}

void store_follower::wait(absl::Duration delay) {
    const absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&m_is_stopped), delay);
}

} // namespace amaranthladder
