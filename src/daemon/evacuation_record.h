#pragma once

#include "common/revision.h"

#include <string>
#include <string_view>

namespace amaranthladder {

/// State of the order to evacuate a data centre, as daemons exchange it in an opaque record. The revision, which
/// contains the store's era, orders the states: a late message can neither restore an ended order nor end a newer one.
struct evacuation_record {
    /// Of the key, or of its removal. If the key was missing from a list, the revision of the list.
    revision changed_in = 0;
    bool is_active = false;

    /// @return the encoded record, as decode() accepts it.
    std::string encode() const;

    /// @throws error with result_code::message_malformed.
    static evacuation_record decode(std::string_view bytes);

    friend bool operator==(const evacuation_record&, const evacuation_record&) = default;
};

/// @return the record with the higher revision; of two with one revision, the ended one: a key that was written at the
///         revision of a list and is missing from it was removed while the list was read.
evacuation_record merge(const evacuation_record& left, const evacuation_record& right);

/// Prefix of the keys of evacuations in the opaque records that daemons exchange; the rest is the data centre.
inline constexpr std::string_view evacuation_key_prefix = "evacuation/";

} // namespace amaranthladder
