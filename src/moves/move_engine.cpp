#include "moves/move_engine.h"

#include "common/state_chart.h"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthladder {

class move_engine::implementation {
public:
    implementation(std::string daemon_id, const move_policy& policy)
        : m_daemon_id(std::move(daemon_id)), m_policy(policy) {}

    void set_moves(const std::map<std::string, move>& moves, absl::Time now) {
        m_moves = moves;
        for (const auto& [move_name, declared] : moves) {
            const move_identity identity{move_name, declared.introduced_in};
            move_progress& progress = m_progress[identity];
            progress.deadline = declared.deadline;
            progress.started_at = std::min(progress.started_at, now);
        }
    }

    bool merge_remote(const move_record& record) {
        const auto* progress = std::get_if<move_progress>(&record.content);
        if (progress == nullptr) {
            return false;
        }
        move_record held{record.identity, m_progress[record.identity]};
        const move_record joined = merge(held, record);
        if (joined == held) {
            return false;
        }
        m_progress[record.identity] = std::get<move_progress>(joined.content);
        m_changed.insert(record.identity);
        return true;
    }

    std::vector<move_record> tick(absl::Time now) {
        for (const auto& [move_name, declared] : m_moves) {
            const move_identity identity{move_name, declared.introduced_in};
            move_progress& progress = m_progress[identity];
            if (progress.rollback || progress.stage >= move_policy::completed_stage) {
                continue;
            }
            const double passed =
                absl::FDivDuration(now - progress.started_at, declared.deadline - progress.started_at);
            const int stage = std::clamp(static_cast<int>(passed * 12), 0, move_policy::completed_stage);
            if (stage > progress.stage) {
                progress.stage = stage;
                if (stage == move_policy::completed_stage) {
                    progress.completed_at = now;
                }
                m_changed.insert(identity);
            }
        }
        std::vector<move_record> changed;
        for (const move_identity& identity : m_changed) {
            changed.push_back({identity, m_progress[identity]});
        }
        m_changed.clear();
        return changed;
    }

    std::map<std::string, std::map<std::string, double>> share_override() const {
        std::map<std::string, std::map<std::string, double>> shares;
        for (const auto& [move_name, declared] : m_moves) {
            const move_progress& progress = m_progress.at({move_name, declared.introduced_in});
            const double share =
                progress.rollback ? 0.0 : move_policy::stage_shares.at(static_cast<std::size_t>(progress.stage));
            shares[declared.service] = {{declared.from_version, 1.0 - share}, {declared.to_version, share}};
        }
        return shares;
    }

    bool refuses(std::string_view service, std::string_view version) const {
        return std::ranges::any_of(m_moves, [&](const auto& entry) {
            const move& declared = entry.second;
            return declared.service == service && declared.to_version == version &&
                   m_progress.at({declared.name, declared.introduced_in}).rollback;
        });
    }

    std::vector<move_record> records() const {
        std::vector<move_record> result;
        for (const auto& [identity, progress] : m_progress) {
            result.push_back({identity, progress});
        }
        return result;
    }

    std::vector<move_status> statuses() const {
        std::vector<move_status> result;
        for (const auto& [move_name, declared] : m_moves) {
            const move_progress& progress = m_progress.at({move_name, declared.introduced_in});
            move_status status;
            status.identity = {move_name, declared.introduced_in};
            status.service = declared.service;
            status.from_version = declared.from_version;
            status.to_version = declared.to_version;
            status.stage = progress.stage;
            status.started_at = progress.started_at;
            status.deadline = declared.deadline;
            status.verdict = progress.verdict();
            result.push_back(std::move(status));
        }
        return result;
    }

private:
    std::string m_daemon_id;
    move_policy m_policy;
    std::map<std::string, move> m_moves;
    std::map<move_identity, move_progress> m_progress;
    std::set<move_identity> m_changed;
};

move_engine::move_engine(std::string daemon_id, std::uint64_t /*incarnation*/, const move_policy& policy)
    : m_implementation(std::make_unique<implementation>(std::move(daemon_id), policy)) {}

move_engine::~move_engine() = default;

void move_engine::set_moves(const std::map<std::string, move>& moves, absl::Time now) {
    m_implementation->set_moves(moves, now);
}

void move_engine::set_upstream(const std::string& /*service*/, const std::string& /*version*/, absl::Time /*now*/) {}

void move_engine::observe(const call_sample& /*sample*/) {}

bool move_engine::merge_remote(const move_record& record, absl::Time /*now*/) {
    return m_implementation->merge_remote(record);
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

std::vector<move_status> move_engine::statuses(absl::Time /*now*/) const {
    return m_implementation->statuses();
}

std::optional<move_status> move_engine::status(std::string_view move_name, absl::Time now) const {
    for (move_status& candidate : statuses(now)) {
        if (candidate.identity.name == move_name) {
            return std::move(candidate);
        }
    }
    return std::nullopt;
}

} // namespace amaranthladder
