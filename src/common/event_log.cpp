#include "common/event_log.h"

#include "common/error.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/periodic_worker.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>

namespace amaranthladder {

namespace {

constexpr std::array<std::string_view, 5> level_names{"debug", "info", "warning", "error", "off"};
constexpr std::array spdlog_levels{spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err,
                                   spdlog::level::off};
constexpr std::chrono::seconds flush_interval{1};

spdlog::sink_ptr make_sink(const std::string& file) {
    if (file.empty()) {
        return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }
    if (file == "-") {
        return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
}

} // namespace

log_level parse_log_level(std::string_view text) {
    for (std::size_t index = 0; index < level_names.size(); ++index) {
        if (level_names[index] == text) {
            return static_cast<log_level>(index);
        }
    }
    throw error(result_code::setting_bad_value, fmt::format("'{}' is not a log level", text));
}

std::string_view name(log_level level) {
    return level_names[static_cast<std::size_t>(level)];
}

class event_log::implementation {
public:
    explicit implementation(const event_log_options& options)
        : m_pool(std::make_shared<spdlog::details::thread_pool>(options.queue_lines, 1)),
          m_logger(std::make_shared<spdlog::async_logger>("amaranthladder", make_sink(options.file), m_pool,
                                                          spdlog::async_overflow_policy::overrun_oldest)),
          m_flusher(
              [this] {
                  m_logger->flush();
                  report_dropped();
              },
              flush_interval) {
        m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
        m_logger->set_level(spdlog_levels[static_cast<std::size_t>(options.level)]);
        m_logger->flush_on(spdlog::level::warn);
    }

    spdlog::async_logger& logger() {
        return *m_logger;
    }

    std::uint64_t dropped_lines() const {
        return m_pool->overrun_counter();
    }

private:
    void report_dropped() {
        const std::uint64_t dropped = dropped_lines();
        if (dropped != m_reported_dropped) {
            m_logger->warn("log-lines-dropped total={} since_last={}", dropped, dropped - m_reported_dropped);
            m_reported_dropped = dropped;
        }
    }

    std::shared_ptr<spdlog::details::thread_pool> m_pool;
    std::shared_ptr<spdlog::async_logger> m_logger;
    std::uint64_t m_reported_dropped = 0;
    spdlog::details::periodic_worker m_flusher; // Declared last: its thread uses the other members.
};

event_log::event_log(const event_log_options& options)
    : m_implementation(std::make_unique<implementation>(options)), m_level(options.level) {}

event_log::~event_log() = default;

bool event_log::is_enabled(log_level level) const {
    return level >= m_level && level != log_level::off;
}

void event_log::write(log_level level, std::string_view line) {
    m_implementation->logger().log(spdlog_levels[static_cast<std::size_t>(level)],
                                   spdlog::string_view_t(line.data(), line.size()));
}

std::uint64_t event_log::dropped_lines() const {
    return m_implementation->dropped_lines();
}

} // namespace amaranthladder
