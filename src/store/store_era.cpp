#include "store/store_era.h"

#include "common/parse_number.h"
#include "common/revision.h"

#include <optional>

namespace amaranthladder {

std::uint64_t store_era::observe(const std::string& text) {
    const std::optional<std::uint64_t> named = parse_number<std::uint64_t>(text);
    if (!named || *named > max_era) {
        return m_value;
    }
    raise(*named);
    return *named;
}

void store_era::raise(std::uint64_t era) {
    std::uint64_t known = m_value;
    while (era > known && era <= max_era && !m_value.compare_exchange_weak(known, era)) {
    }
}

} // namespace amaranthladder
