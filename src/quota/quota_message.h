#pragma once

#include "common/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Key of the opaque records that carry quota messages.
inline constexpr std::string_view quota_record_key = "quota";

/// Request for tokens. Without a tenant it only asks for an answer, to learn whether the receiver can be reached. With
/// a tenant and no wanted tokens it says that the sender uses the tokens of the second-ranked daemon for now.
struct quota_ask {
    std::uint64_t id = 0;
    std::string tenant;
    std::uint32_t wanted = 0;
    /// Time for which the sender still uses the tokens of the second-ranked daemon; 0: it uses the coordinator's.
    std::uint32_t fallback_ms = 0;

    friend bool operator==(const quota_ask&, const quota_ask&) = default;
};

enum class quota_status {
    granted, ///< At least one token, or the tenant has no limit here.
    none,    ///< The quota is used up.
    unknown, ///< The daemon does not know: it has just started, or other daemons keep the tenant's bucket.
    moved,   ///< Another daemon keeps the tenant's bucket; see quota_answer::moved_to.
};

struct quota_answer {
    std::uint64_t id = 0; ///< Of the quota_ask.
    quota_status status = quota_status::unknown;
    std::uint32_t granted = 0;
    std::uint32_t retry_ms = 0; ///< With quota_status::none: time until tokens are expected.
    endpoint moved_to = {};     ///< With quota_status::moved.

    friend bool operator==(const quota_answer&, const quota_answer&) = default;
};

/// Moves a tenant's bucket, or its tokens, between two daemons that may grant them.
struct quota_transfer {
    enum class kind {
        spent,     ///< The sender has granted `tokens` in place of the receiver, which subtracts them.
        claim,     ///< The sender has joined, ranks above the receiver and can grant; it asks for the bucket.
        yielded,   ///< Answer to a claim: the sender no longer grants; its bucket held `tokens`.
        hand_over, ///< The sender leaves; the receiver takes its bucket, which held `tokens`.
    };

    kind what = kind::spent;
    std::uint64_t id = 0; ///< For the receiver to recognize repetitions.
    std::string tenant;
    std::uint32_t tokens = 0;

    friend bool operator==(const quota_transfer&, const quota_transfer&) = default;
};

/// Messages from one daemon to another. They may be lost, repeated or delayed.
struct quota_message {
    endpoint from;
    std::vector<quota_ask> asks;
    std::vector<quota_answer> answers;
    std::vector<quota_transfer> transfers = {};

    bool is_empty() const {
        return asks.empty() && answers.empty() && transfers.empty();
    }

    /// @return the message in the Thrift compact protocol. Moved answers and transfers follow the other items, where
    /// earlier versions do not read.
    std::string encode() const;

    /// @throws error with result_code::message_malformed.
    static quota_message decode(std::string_view bytes);

    friend bool operator==(const quota_message&, const quota_message&) = default;
};

} // namespace amaranthladder
