#pragma once

#include <absl/time/time.h>

#include <vector>

namespace amaranthladder {

/// Compares how often the requests of each priority are refused at one upstream, so that a more urgent kind is not
/// served less often than a less urgent one. Does no I/O; the time is an argument.
class priority_balance {
public:
    /// Records that a request was offered.
    /// @param priority 0 is the most urgent.
    void on_offered(int priority, absl::Time now);

    /// Records that an offered request did not run.
    void on_refused(int priority, absl::Time now);

    /// Records that an offered request started.
    /// @param work expected service time.
    void on_started(int priority, absl::Duration work, absl::Time now);

    /// @return true if requests of any priority were refused recently.
    bool is_short(absl::Time now) const;

    /// @return part of the work that started recently which was more urgent.
    double more_urgent_share(int priority, absl::Time now) const;

    /// @return true if requests of this priority were refused recently, and more often than those of a less urgent one.
    bool is_disadvantaged(int priority, absl::Time now) const;

    /// @return part of the recent offers of a priority that did not run; 0 without any.
    double refused_share(int priority) const;

private:
    struct counts {
        int priority = 0;
        double offered = 0; ///< Decays, as do the refusals, so their ratio needs no update with time.
        double refused = 0;
        double work_s = 0; ///< Of started requests.
        absl::Time updated_at;
        absl::Time refused_at = absl::InfinitePast();

        double refused_share() const {
            return offered > 0 ? refused / offered : 0;
        }
    };

    static double decay(const counts& of, absl::Time now);
    counts& decayed(int priority, absl::Time now);

    std::vector<counts> m_counts; ///< By priority, the most urgent first; there are few.
};

} // namespace amaranthladder
