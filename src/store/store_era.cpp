#include "store/store_era.h"

#include "common/revision.h"

#include <charconv>

namespace amaranthladder {

std::uint64_t store_era::observe(const std::string& text) {
    std::uint64_t named = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), named);
    if (text.empty() || failure != std::errc{} || end != text.data() + text.size() || named > max_era) {
        return m_value;
    }
    raise(named);
    return named;
}

void store_era::raise(std::uint64_t era) {
    std::uint64_t known = m_value;
    while (era > known && era <= max_era && !m_value.compare_exchange_weak(known, era)) {
    }
}

} // namespace amaranthladder
