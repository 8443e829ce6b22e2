#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthladder {

enum class log_level { debug, info, warning, error, off };

/// @return the level named @p text.
/// @throws error with result_code::setting_bad_value.
log_level parse_log_level(std::string_view text);

/// @return the stable name of @p level.
std::string_view name(log_level level);

/// Destination, level and queue size of an event_log.
struct event_log_options {
    log_level level = log_level::info;
    std::string file;               ///< Empty: standard error; `-`: standard output.
    std::size_t queue_lines = 8192; ///< Capacity of the queue; when it is full, the oldest line is dropped.
};

/// Writes structured log lines (`event key=value ...`) from a background thread.
///
/// Callers never wait for the output: when the queue is full, the oldest line is dropped and counted.
class event_log {
public:
    explicit event_log(const event_log_options& options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// @return true if lines of @p level are written. Callers check this before formatting a line.
    bool is_enabled(log_level level) const;

    void write(log_level level, std::string_view line);
    void debug(std::string_view line) {
        write(log_level::debug, line);
    }
    void info(std::string_view line) {
        write(log_level::info, line);
    }
    void warning(std::string_view line) {
        write(log_level::warning, line);
    }
    void error(std::string_view line) {
        write(log_level::error, line);
    }

    /// @return the number of lines dropped since construction.
    std::uint64_t dropped_lines() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
    log_level m_level;
};

} // namespace amaranthladder
