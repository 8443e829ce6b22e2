#include "peers/message_codec.h"

#include "common/error.h"
#include "common/stable_hash.h"
#include "peers/private/wire_conversion.h"

#include <peers_types.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace amaranthladder::message_codec {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int recursion_limit = 8;
// Limits the list sizes that are accepted, since Thrift reserves memory for a list before reading it.
constexpr int max_elements = 256;
constexpr std::size_t max_record_bytes = max_opaque_bytes + 1024;

template <typename Wire> std::string write(const Wire& value) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Wire> Wire read(std::string_view bytes) {
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const auto limits =
        std::make_shared<TConfiguration>(static_cast<int>(size) + 1, static_cast<int>(size) + 1, recursion_limit);
    // TMemoryBuffer only reads the data, but its constructor takes a pointer to non-const.
    auto* const data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(data, size, TMemoryBuffer::OBSERVE, limits);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(size), max_elements);
    Wire value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException& problem) {
        throw error(result_code::message_malformed, problem.what());
    }
    if (buffer->available_read() != 0) {
        throw error(result_code::message_malformed, "trailing bytes after the message");
    }
    return value;
}

template <typename Wire> auto read_record(std::string_view bytes) {
    using record = decltype(wire_conversion::from_wire(Wire()));
    if (bytes.empty() || bytes.size() > max_record_bytes) {
        return std::optional<record>();
    }
    try {
        return std::optional<record>(wire_conversion::from_wire(read<Wire>(bytes)));
    } catch (const error&) {
        return std::optional<record>();
    }
}

} // namespace

std::uint64_t mesh_hash(std::string_view name) {
    return stable_hash(name);
}

std::string encode(const datagram& value, std::uint64_t mesh) {
    return write(wire_conversion::to_wire(value, mesh));
}

datagram decode_datagram(std::string_view bytes, std::uint64_t mesh) {
    if (bytes.size() > max_datagram_bytes) {
        throw error(result_code::message_too_large, "datagram");
    }
    if (bytes.empty()) {
        throw error(result_code::message_malformed, "empty datagram");
    }
    const auto read_value = read<wire::datagram>(bytes);
    if (static_cast<std::uint64_t>(read_value.mesh_hash) != mesh) {
        throw error(result_code::message_other_mesh, "datagram");
    }
    return wire_conversion::from_wire(read_value);
}

std::string encode(const member& value) {
    return write(wire_conversion::to_wire(value));
}

std::string encode(const upstream_record& value) {
    return write(wire_conversion::to_wire(value));
}

std::string encode(const opaque_record& value) {
    wire::opaque out;
    out.key = value.key;
    out.bytes = value.bytes;
    return write(out);
}

std::optional<member> decode_member(std::string_view bytes) {
    return read_record<wire::member>(bytes);
}

std::optional<upstream_record> decode_upstream(std::string_view bytes) {
    return read_record<wire::upstream>(bytes);
}

std::optional<opaque_record> decode_opaque(std::string_view bytes) {
    if (bytes.empty() || bytes.size() > max_record_bytes) {
        return std::nullopt;
    }
    try {
        auto value = read<wire::opaque>(bytes);
        if (value.key.empty()) {
            return std::nullopt;
        }
        return opaque_record{std::move(value.key), std::move(value.bytes)};
    } catch (const error&) {
        return std::nullopt;
    }
}

} // namespace amaranthladder::message_codec
