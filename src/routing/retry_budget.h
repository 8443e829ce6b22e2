#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace amaranthladder {

/// Parameters of retry_budget; docs/routing.md gives the reasons.
struct retry_budget_policy {
    double retries_per_request = 0.08; ///< Retries per caller request of the same service, in any window.
    double reserve_per_request = 0.01; ///< Retries that each caller request adds to the reserve of all services.
    double reserve = 2;                ///< Retries in the reserve at the start, and its upper limit.
    absl::Duration window = absl::Seconds(10);
};

/// Limits the retries of one entry to a share of its caller requests.
///
/// In any window: retries granted <= (retries_per_request + reserve_per_request) * caller requests + reserve. With the
/// defaults, upstream calls are under 1.1 times caller calls from 200 caller calls on. Retries that were not used do
/// not add to those of the next window: a service that begins to fail after a quiet period would get twice the share,
/// and so would the services that its repeated calls need.
class retry_budget {
public:
    explicit retry_budget(retry_budget_policy policy = {});

    /// Counts a request of a caller. Do not call it for retries.
    void on_request(const std::string& service, absl::Time now);

    /// Takes one retry from the budget of a service or, if that is empty, from the reserve.
    /// @return false if both are empty.
    bool try_spend(const std::string& service, absl::Time now);

    /// @return retries available to @p service now, including fractions of a retry.
    double available(const std::string& service, absl::Time now) const;

private:
    static constexpr std::size_t buckets_per_window = 20;
    /// Retries are counted for one bucket longer than requests, so that no window holds more than its share although
    /// the oldest bucket is dropped as a whole.
    static constexpr std::size_t bucket_count = buckets_per_window + 1;

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    struct service_budget {
        std::array<bucket, bucket_count> buckets{};
        std::int64_t newest_bucket = 0;
    };

    std::int64_t bucket_number(absl::Time now) const;
    void advance_window(service_budget& budget, absl::Time now) const;
    double unused_retries(const service_budget& budget) const;
    static bucket& newest(service_budget& budget);

    retry_budget_policy m_policy;
    double m_reserve;
    absl::flat_hash_map<std::string, service_budget> m_budgets;
};

} // namespace amaranthladder
