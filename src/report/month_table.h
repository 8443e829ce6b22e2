#pragma once

#include "common/error.h"
#include "report/month_record.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Keeps the records of each month in the store.
///
/// The store cannot list keys, so the records of a month are kept in numbered pages: values with one record per line,
/// written by compare-and-swap. When a page is full, the next one is started; read() counts up from page 0 until a page
/// is absent. add() skips a record whose id it finds in a page; read() drops duplicates that remain.
template <key_value_store Store> class month_table {
public:
    /// Maximum size of a page in bytes, far below the store's limit of 1 MB, so that a compare-and-swap stays cheap.
    static constexpr std::size_t max_page_size = 65'536;
    static constexpr int max_pages = 4'096;

    /// @param store the store; must outlive this object.
    /// @param mesh name of the mesh.
    /// @param call_timeout timeout of one store call.
    month_table(Store& store, std::string mesh, absl::Duration call_timeout)
        : m_store(store), m_mesh(std::move(mesh)), m_call_timeout(call_timeout) {}

    /// Adds a record unless it is already present.
    /// @return ok once the record is in the store, otherwise the outcome of the failed call. After `unknown` the record
    /// may have been written; adding it again resolves this.
    store_outcome add(const month_record& record) {
        const std::string line = record.encode() + "\n";
        for (int page = m_last_page[record.month]; page < max_pages;) {
            const std::string key = page_key(record.month, page);
            const auto stored = m_store.get(key, m_call_timeout);
            if (!stored.is_ok() && stored.outcome != store_outcome::absent) {
                return stored.outcome;
            }
            const std::string text = stored.is_ok() ? stored.value->value : "";
            if (has_id(text, record.id)) {
                return store_outcome::ok;
            }
            if (text.size() + line.size() > max_page_size) {
                m_last_page[record.month] = ++page;
                continue;
            }
            const revision expected_revision = stored.is_ok() ? stored.value->key_revision : 0;
            const auto written = m_store.compare_and_swap(key, expected_revision, text + line, m_call_timeout);
            if (written.outcome != store_outcome::conflict) {
                return written.outcome;
            }
        }
        return store_outcome::conflict;
    }

    /// @param month YYYY-MM.
    /// @return the month's records, each id once.
    /// @throws error with result_code::store_unavailable if a page cannot be read, or report_record_malformed.
    std::vector<month_record> read(const std::string& month) {
        std::vector<month_record> records;
        std::set<std::string> ids;
        for (int page = 0; page < max_pages; ++page) {
            const auto stored = m_store.get(page_key(month, page), m_call_timeout);
            if (stored.outcome == store_outcome::absent) {
                break;
            }
            if (!stored.is_ok()) {
                throw error(result_code::store_unavailable, fmt::format("page {} of {} cannot be read", page, month));
            }
            std::vector<std::string> lines;
            boost::algorithm::split(lines, stored.value->value, boost::algorithm::is_any_of("\n"));
            for (const std::string& line : lines) {
                if (line.empty()) {
                    continue;
                }
                month_record record = month_record::decode(line);
                if (ids.insert(record.id).second) {
                    records.push_back(std::move(record));
                }
            }
        }
        return records;
    }

private:
    std::string page_key(const std::string& month, int page) const {
        return fmt::format("amaranthladder/{}/report/{}/{}", m_mesh, month, page);
    }

    static bool has_id(const std::string& text, const std::string& id) {
        return text.find(fmt::format("{{\"id\":\"{}\",", id)) != std::string::npos;
    }

    Store& m_store;
    std::string m_mesh;
    absl::Duration m_call_timeout;
    std::map<std::string, int> m_last_page;
};

} // namespace amaranthladder
