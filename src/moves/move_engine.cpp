#include "moves/move_engine.h"

#include "common/error.h"
#include "common/state_chart.h"
#include "moves/private/move_controller.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Progress of a move that this daemon's configuration does not declare (yet, or any more).
struct undeclared_record {
    move_progress progress;
    absl::Time merged_at;
    bool is_changed = true;
};

/// @return true if the move comes from an operator's order in the store.
bool is_order(const move& declared) {
    return declared.from_version.empty();
}

} // namespace

class move_engine::implementation {
public:
    implementation(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy,
                   const move_policy& order_policy)
        : m_daemon_id(std::move(daemon_id)), m_incarnation(incarnation), m_policy(policy), m_order_policy(order_policy),
          m_chart(state_chart::embedded("move")) {
        for (const char* state :
             {"waiting", "trial", "growing", "suspended", "held", "watched", "finished", "rolled_back", "replaced"}) {
            if (!m_chart.has_state(state)) {
                throw error(result_code::chart_unknown_state, std::string("charts/move.ini has no state ") + state);
            }
        }
    }

    void set_moves(const std::map<std::string, move>& moves, absl::Time now) {
        for (auto& [identity, controller] : m_controllers) {
            const auto declared = moves.find(identity.name);
            m_is_declared[identity] =
                declared != moves.end() && declared->second.introduced_in == identity.introduced_in;
            if (!m_is_declared[identity]) {
                controller.replace();
            }
        }
        for (const auto& [move_name, declared] : moves) {
            const move_identity identity{move_name, declared.introduced_in};
            if (m_controllers.contains(identity)) {
                continue;
            }
            move_controller& controller = m_controllers
                                              .try_emplace(identity, declared, m_chart, m_daemon_id, m_incarnation,
                                                           is_order(declared) ? m_order_policy : m_policy, now)
                                              .first->second;
            m_is_declared[identity] = true;
            controller.set_upstream(m_service, m_version);
            const auto earlier = m_undeclared.find(identity);
            if (earlier != m_undeclared.end()) {
                controller.merge(earlier->second.progress, now);
                m_undeclared.erase(earlier);
            }
        }
    }

    void set_upstream(const std::string& service, const std::string& version) {
        m_service = service;
        m_version = version;
        for (auto& [identity, controller] : m_controllers) {
            controller.set_upstream(service, version);
        }
    }

    void set_is_decider(bool is_decider) {
        m_is_decider = is_decider;
    }

    void observe(const call_sample& sample) {
        for (auto& [identity, controller] : m_controllers) {
            controller.observe(sample);
        }
    }

    bool merge_remote(const move_record& record, absl::Time now) {
        const auto found = m_controllers.find(record.identity);
        if (found != m_controllers.end()) {
            return std::visit([&](const auto& content) { return found->second.merge(content, now); }, record.content);
        }
        const auto* progress = std::get_if<move_progress>(&record.content);
        // Call counts of an unknown move are dropped: they are cumulative, so the next row includes them.
        return progress != nullptr && keep_undeclared(record.identity, *progress, now);
    }

    std::vector<move_record> tick(absl::Time now) {
        // After a pause of this process its counts are stale and other daemons may have decided, so it first receives
        // their records.
        if (m_ticked_at != absl::InfinitePast() && now - m_ticked_at > m_policy.max_tick_gap) {
            m_decisions_resume_at = now + m_policy.pause_grace;
        }
        m_ticked_at = std::max(m_ticked_at, now);
        std::vector<move_record> changed;
        for (auto& [identity, controller] : m_controllers) {
            controller.tick(m_is_decider, now >= m_decisions_resume_at, now);
            for (move_record& record : controller.take_due(now)) {
                changed.push_back(std::move(record));
            }
        }
        for (auto& [identity, held] : m_undeclared) {
            if (std::exchange(held.is_changed, false)) {
                changed.push_back({identity, held.progress});
            }
        }
        prune(now);
        return changed;
    }

    std::map<std::string, std::map<std::string, double>> share_override() const {
        std::map<std::string, std::map<std::string, double>> shares;
        for (const auto& [identity, controller] : m_controllers) {
            if (m_is_declared.at(identity)) {
                const move& declared = controller.declared();
                shares[declared.service] = {{declared.from_version, 1 - controller.share()},
                                            {declared.to_version, controller.share()}};
            }
        }
        return shares;
    }

    bool refuses(std::string_view service, std::string_view version) const {
        return std::ranges::any_of(m_controllers, [&](const auto& entry) {
            const move& declared = entry.second.declared();
            return m_is_declared.at(entry.first) && declared.service == service && declared.to_version == version &&
                   entry.second.refuses_new_version();
        });
    }

    std::vector<move_record> records() const {
        std::vector<move_record> result;
        for (const auto& [identity, controller] : m_controllers) {
            for (move_record& record : controller.records()) {
                result.push_back(std::move(record));
            }
        }
        for (const auto& [identity, held] : m_undeclared) {
            result.push_back({identity, held.progress});
        }
        return result;
    }

    std::vector<move_status> statuses(absl::Time now) const {
        std::vector<move_status> result;
        result.reserve(m_controllers.size());
        for (const auto& [identity, controller] : m_controllers) {
            result.push_back(controller.status(now));
        }
        return result;
    }

private:
    bool keep_undeclared(const move_identity& identity, const move_progress& progress, absl::Time now) {
        const auto held = m_undeclared.find(identity);
        if (held == m_undeclared.end()) {
            if (m_undeclared.size() + m_controllers.size() >= m_policy.max_records) {
                return false;
            }
            m_undeclared.emplace(identity, undeclared_record{progress, now});
            return true;
        }
        const move_record before{identity, held->second.progress};
        const move_record joined = merge(before, {identity, progress});
        if (joined == before) {
            return false;
        }
        held->second = {std::get<move_progress>(joined.content), now};
        return true;
    }

    void prune(absl::Time now) {
        std::erase_if(m_undeclared,
                      [&](const auto& entry) { return now - entry.second.merged_at > m_policy.ended_retention; });
        std::erase_if(m_controllers, [&](const auto& entry) {
            return !m_is_declared.at(entry.first) && now - entry.second.final_since() > m_policy.ended_retention;
        });
    }

    std::string m_daemon_id;
    std::uint64_t m_incarnation;
    move_policy m_policy;
    move_policy m_order_policy;
    state_chart m_chart;
    std::string m_service;
    std::string m_version;
    bool m_is_decider = true;
    std::map<move_identity, move_controller> m_controllers;
    std::map<move_identity, bool> m_is_declared;
    std::map<move_identity, undeclared_record> m_undeclared;
    absl::Time m_ticked_at = absl::InfinitePast();
    absl::Time m_decisions_resume_at = absl::InfinitePast();
};

move_engine::move_engine(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy,
                         const move_policy& order_policy)
    : m_implementation(std::make_unique<implementation>(std::move(daemon_id), incarnation, policy, order_policy)) {}

move_engine::~move_engine() = default;

void move_engine::set_moves(const std::map<std::string, move>& moves, absl::Time now) {
    m_implementation->set_moves(moves, now);
}

void move_engine::set_upstream(const std::string& service, const std::string& version, absl::Time /*now*/) {
    m_implementation->set_upstream(service, version);
}

void move_engine::set_is_decider(bool is_decider) {
    m_implementation->set_is_decider(is_decider);
}

void move_engine::observe(const call_sample& sample) {
    m_implementation->observe(sample);
}

bool move_engine::merge_remote(const move_record& record, absl::Time now) {
    return m_implementation->merge_remote(record, now);
}

std::vector<move_record> move_engine::tick(absl::Time now) {
    return m_implementation->tick(now);
}

std::map<std::string, std::map<std::string, double>> move_engine::share_override() const {
    return m_implementation->share_override();
}

bool move_engine::refuses(std::string_view service, std::string_view version) const {
    return m_implementation->refuses(service, version);
}

std::vector<move_record> move_engine::records() const {
    return m_implementation->records();
}

std::vector<move_status> move_engine::statuses(absl::Time now) const {
    return m_implementation->statuses(now);
}

std::optional<move_status> move_engine::status(std::string_view move_name, absl::Time now) const {
    std::optional<move_status> result;
    for (move_status& candidate : statuses(now)) {
        if (candidate.identity.name == move_name) {
            result = std::move(candidate); // Identities are ordered, so the newest declaration comes last.
        }
    }
    return result;
}

} // namespace amaranthladder
