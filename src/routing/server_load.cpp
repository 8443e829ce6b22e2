#include "routing/server_load.h"

#include "common/parse_number.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace amaranthladder {

namespace {

constexpr std::size_t min_fields = 3;
constexpr std::size_t max_fields = 4;
/// Larger numbers of requests or slots are taken for errors.
constexpr int max_count = 1'000'000;
constexpr double usual_speed_percent = 100;
/// Range of a plausible work factor: a host at an eighth of its speed still answers, a faster one is not expected.
constexpr double max_work_factor = 8;
/// Cap on the influence of one response: 0.03 of the requests take seven times the work.
constexpr double max_sample = 1.2;
/// Weight of a response in the measured speed: one in which the noise of single requests averages out, and which still
/// follows a change of the speed within a few responses.
constexpr double sample_weight = 0.2;
/// Requests at the upstream from which a report of few is a contradiction; some may be on their way.
constexpr int min_contradicting = 6;
/// Share of contradicting reports from which reports of load are not believed.
constexpr double max_false_share = 0.5;

std::optional<double> parse_work_factor(std::string_view text) {
    const std::optional<double> percent = parse_number<double>(text);
    if (!percent || !std::isfinite(*percent) || *percent <= 0) {
        return std::nullopt;
    }
    return *percent / usual_speed_percent;
}

double decay(absl::Duration age, absl::Duration constant) {
    return std::exp(-absl::FDivDuration(std::max(age, absl::ZeroDuration()), constant));
}

} // namespace

std::optional<server_load_report> parse_server_load(std::string_view text) {
    std::array<std::string_view, max_fields> fields;
    std::size_t count = 0;
    while (true) {
        if (count == max_fields) {
            return std::nullopt;
        }
        const std::size_t comma = text.find(',');
        fields.at(count++) = text.substr(0, comma);
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    if (count < min_fields) {
        return std::nullopt;
    }
    for (std::string_view& field : fields) {
        field.remove_prefix(std::min(field.find_first_not_of(' '), field.size()));
        field.remove_suffix(field.size() - std::min(field.find_last_not_of(' ') + 1, field.size()));
    }
    const auto valid_count = [](std::string_view field, int low) -> std::optional<int> {
        const std::optional<int> number = parse_number<int>(field);
        return number && *number >= low && *number <= max_count ? number : std::nullopt;
    };
    const auto running = valid_count(fields[0], 0);
    const auto waiting = valid_count(fields[1], 0);
    const auto slots = valid_count(fields[2], 1);
    const auto work_factor = count == max_fields ? parse_work_factor(fields[3]) : std::nullopt;
    if (!running || !waiting || !slots || (count == max_fields && !work_factor)) {
        return std::nullopt;
    }
    return server_load_report{*running, *waiting, *slots, work_factor};
}

server_load::server_load(server_load_policy policy) : m_policy(policy), m_reported_speed(policy.decay, policy.memory) {}

void server_load::observe(const std::optional<server_load_report>& report, const std::string& route,
                          absl::Duration work_time, int own_running, absl::Time now) {
    route_times& times =
        m_routes.try_emplace(route, route_times{recent_value(m_policy.decay, m_policy.memory), 1}).first->second;
    if (work_time > absl::ZeroDuration()) {
        observe_speed(report, times, work_time, now);
    }
    if (report) {
        observe_counts(*report, own_running, now);
    }
    const double factor = work_factor(now);
    times.recent_factor += (factor - times.recent_factor) * m_policy.service_weight;
    m_recent_factor += (factor - m_recent_factor) * m_policy.service_weight;
}

void server_load::observe_speed(const std::optional<server_load_report>& report, route_times& times,
                                absl::Duration work_time, absl::Time now) {
    const double log_time = std::log(absl::ToDoubleSeconds(work_time));
    if (times.log_time.has_value()) {
        const double sample = std::clamp(log_time - times.log_time.mean(), -max_sample, max_sample);
        const double measured = measured_deviation(now);
        if (m_reported_speed.has_value()) {
            const double report_error = std::abs(sample - m_reported_speed.deviation(now));
            m_report_error += (report_error - m_report_error) * m_policy.error_weight;
            m_own_error += (std::abs(sample - measured) - m_own_error) * m_policy.error_weight;
            ++m_samples;
        }
        m_measured = measured + (sample - measured) * sample_weight;
        m_measured_at = now;
    }
    times.log_time.observe(log_time, now);
    if (report && report->work_factor) {
        m_reported_speed.observe(std::log(*report->work_factor), now);
    }
}

void server_load::observe_health_check(const server_load_report& report, int own_running, absl::Time now) {
    if (report.work_factor) {
        m_reported_speed.observe(std::log(*report.work_factor), now);
    }
    observe_counts(report, own_running, now);
}

void server_load::observe_counts(const server_load_report& report, int own_running, absl::Time now) {
    m_report = report;
    m_reported_at = now;
    if (own_running < min_contradicting) {
        return;
    }
    const bool is_contradiction = 2 * (report.running + report.waiting) < own_running;
    m_false_share += ((is_contradiction ? 1 : 0) - m_false_share) * m_policy.count_weight;
}

double server_load::measured_deviation(absl::Time now) const {
    return m_measured * decay(now - m_measured_at, m_policy.decay);
}

bool server_load::uses_reported_speed(absl::Time now) const {
    if (!m_reported_speed.has_value() || m_reported_speed.age(now) > m_policy.max_report_age) {
        return false;
    }
    return m_samples < m_policy.min_samples || m_report_error <= m_own_error * m_policy.own_preference;
}

double server_load::work_factor(absl::Time now) const {
    const double deviation = uses_reported_speed(now) ? m_reported_speed.deviation(now) : measured_deviation(now);
    return std::clamp(std::exp(deviation), 1 / max_work_factor, max_work_factor);
}

absl::Duration server_load::usual_service_time(absl::Duration recent) const {
    return recent / m_recent_factor;
}

absl::Duration server_load::usual_service_time(absl::Duration recent, const std::string& route) const {
    const auto known = m_routes.find(route);
    return recent / (known == m_routes.end() ? m_recent_factor : known->second.recent_factor);
}

bool server_load::is_load_false() const {
    return m_false_share > max_false_share;
}

double server_load::load(double own_load, absl::Time now) const {
    if (!m_report || is_load_false()) {
        return own_load;
    }
    const double reported = static_cast<double>(m_report->running + m_report->waiting) / m_report->slots;
    const double excess = std::clamp(reported - own_load, 0.0, m_policy.max_excess_load);
    return own_load + excess * decay(now - m_reported_at, m_policy.decay);
}

} // namespace amaranthladder
