#include "quota/quota_message.h"

#include "common/error.h"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstddef>
#include <memory>

namespace amaranthladder {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// A datagram holds fewer; bounds the memory that a malformed message takes.
constexpr std::int32_t max_items = 256;

std::int32_t read_count(TCompactProtocolT<TMemoryBuffer>& protocol) {
    std::int32_t count = 0;
    protocol.readI32(count);
    if (count < 0 || count > max_items) {
        throw error(result_code::message_malformed, "a quota message has too many items");
    }
    return count;
}

std::uint32_t read_number(TCompactProtocolT<TMemoryBuffer>& protocol) {
    std::int32_t value = 0;
    protocol.readI32(value);
    return static_cast<std::uint32_t>(value);
}

std::uint64_t read_id(TCompactProtocolT<TMemoryBuffer>& protocol) {
    std::int64_t value = 0;
    protocol.readI64(value);
    return static_cast<std::uint64_t>(value);
}

void read_transfers(TCompactProtocolT<TMemoryBuffer>& protocol, quota_message& result) {
    for (std::int32_t left = read_count(protocol); left > 0; --left) {
        quota_answer answer;
        answer.id = read_id(protocol);
        answer.status = quota_status::moved;
        std::string to;
        protocol.readString(to);
        answer.moved_to = parse_endpoint(to);
        result.answers.push_back(std::move(answer));
    }
    for (std::int32_t left = read_count(protocol); left > 0; --left) {
        quota_transfer transfer;
        const std::uint32_t what = read_number(protocol);
        if (what > static_cast<std::uint32_t>(quota_transfer::kind::hand_over)) {
            throw error(result_code::message_malformed, "a quota message has an unknown kind of transfer");
        }
        transfer.what = static_cast<quota_transfer::kind>(what);
        transfer.id = read_id(protocol);
        protocol.readString(transfer.tenant);
        transfer.tokens = read_number(protocol);
        result.transfers.push_back(std::move(transfer));
    }
}

quota_message read_message(TCompactProtocolT<TMemoryBuffer>& protocol, TMemoryBuffer& buffer) {
    quota_message result;
    std::string from;
    protocol.readString(from);
    result.from = parse_endpoint(from);
    for (std::int32_t left = read_count(protocol); left > 0; --left) {
        quota_ask ask;
        ask.id = read_id(protocol);
        protocol.readString(ask.tenant);
        ask.wanted = read_number(protocol);
        ask.fallback_ms = read_number(protocol);
        result.asks.push_back(std::move(ask));
    }
    for (std::int32_t left = read_count(protocol); left > 0; --left) {
        quota_answer answer;
        answer.id = read_id(protocol);
        const std::uint32_t status = read_number(protocol);
        if (status > static_cast<std::uint32_t>(quota_status::unknown)) {
            throw error(result_code::message_malformed, "a quota message has an unknown status");
        }
        answer.status = static_cast<quota_status>(status);
        answer.granted = read_number(protocol);
        answer.retry_ms = read_number(protocol);
        result.answers.push_back(answer);
    }
    if (buffer.available_read() > 0) {
        read_transfers(protocol, result);
    }
    return result;
}

} // namespace

std::string quota_message::encode() const {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    protocol.writeString(to_string(from));
    protocol.writeI32(static_cast<std::int32_t>(asks.size()));
    for (const quota_ask& ask : asks) {
        protocol.writeI64(static_cast<std::int64_t>(ask.id));
        protocol.writeString(ask.tenant);
        protocol.writeI32(static_cast<std::int32_t>(ask.wanted));
        protocol.writeI32(static_cast<std::int32_t>(ask.fallback_ms));
    }
    const auto is_moved = [](const quota_answer& answer) { return answer.status == quota_status::moved; };
    const auto moved = std::ranges::count_if(answers, is_moved);
    protocol.writeI32(static_cast<std::int32_t>(static_cast<std::ptrdiff_t>(answers.size()) - moved));
    for (const quota_answer& answer : answers) {
        if (is_moved(answer)) {
            continue;
        }
        protocol.writeI64(static_cast<std::int64_t>(answer.id));
        protocol.writeI32(static_cast<std::int32_t>(answer.status));
        protocol.writeI32(static_cast<std::int32_t>(answer.granted));
        protocol.writeI32(static_cast<std::int32_t>(answer.retry_ms));
    }
    if (moved == 0 && transfers.empty()) {
        return buffer->getBufferAsString();
    }
    protocol.writeI32(static_cast<std::int32_t>(moved));
    for (const quota_answer& answer : answers) {
        if (is_moved(answer)) {
            protocol.writeI64(static_cast<std::int64_t>(answer.id));
            protocol.writeString(to_string(answer.moved_to));
        }
    }
    protocol.writeI32(static_cast<std::int32_t>(transfers.size()));
    for (const quota_transfer& transfer : transfers) {
        protocol.writeI32(static_cast<std::int32_t>(transfer.what));
        protocol.writeI64(static_cast<std::int64_t>(transfer.id));
        protocol.writeString(transfer.tenant);
        protocol.writeI32(static_cast<std::int32_t>(transfer.tokens));
    }
    return buffer->getBufferAsString();
}

quota_message quota_message::decode(std::string_view bytes) {
    // TMemoryBuffer takes a pointer to mutable bytes, but does not change them in this mode.
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())), static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    try {
        return read_message(protocol, *buffer);
    } catch (const apache::thrift::TException& problem) {
        throw error(result_code::message_malformed, problem.what());
    }
}

} // namespace amaranthladder
