#pragma once

#include <span>
#include <string_view>

namespace amaranthladder {

/// Rule for names of sections and versions, for messages.
inline constexpr std::string_view name_rule =
    "a name has 1 to 64 letters, digits and -_. and starts with a letter or digit";

/// @return true if @p name follows name_rule. Such a name needs no escaping in URLs, JSON, metrics and log lines.
bool is_valid_name(std::string_view name);

/// @return true if @p name has 1 to 128 letters, digits and -_.
bool is_valid_file_name(std::string_view name);

/// Rule for hosts, for messages.
inline constexpr std::string_view host_rule = "a host has 1 to 253 lower-case letters, digits and -_.";

/// @return true if @p host follows host_rule.
bool is_valid_host(std::string_view host);

/// Rule for path prefixes, for messages.
inline constexpr std::string_view path_rule =
    "a path starts with '/', has no empty, '.' or '..' segment, no final '/' (except for '/' alone), no '%', '?', '#' "
    "or space, and at most 512 characters";

/// @return true if @p path follows path_rule, under which each path prefix has a single spelling.
bool is_valid_path(std::string_view path);

/// @return the HTTP methods that a route may name.
std::span<const std::string_view> route_methods();

} // namespace amaranthladder
