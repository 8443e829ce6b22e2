#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthladder {

enum class log_level { debug, info, warning, error, off };

/// @return the level with that name.
/// @throws error with result_code::setting_bad_value.
log_level parse_log_level(std::string_view text);

/// @return the stable name of @p level.
std::string_view name(log_level level);

/// Where log lines go.
struct event_log_options {
    log_level level = log_level::info;
    std::string file;               ///< Empty: standard error; `-`: standard output.
    std::size_t queue_lines = 8192; ///< Lines that may wait to be written; older ones are dropped beyond that.
};

/// A log of structured lines (`event key=value ...`), written by a thread of its own.
///
/// A caller never waits for the output: when the queue is full the oldest line is dropped and counted.
class event_log {
public:
    explicit event_log(const event_log_options& options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// @return true if lines of @p level are written. Callers check it before they format a line.
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

    /// @return lines dropped since the start.
    std::uint64_t dropped_lines() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
    log_level m_level;
};

} // namespace amaranthladder
