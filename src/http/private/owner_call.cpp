#include "http/private/owner_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthladder {

namespace {

/// 421 (Misdirected Request), RFC 9110, section 15.5.20: another upstream uses the address now.
constexpr unsigned misdirected_status = 421;
/// Time for which requests are refused after a failed connection. Otherwise each of them would hold a slot until its
/// own connection fails, although other upstreams can serve it.
constexpr absl::Duration unreachable_pause = absl::Milliseconds(400);
/// Number of responses to earlier requests that are skipped before the connection is closed.
constexpr int max_surplus_responses = 2;
/// Refusals of upstreams are small; the connection is closed after a longer body.
constexpr std::size_t max_refusal_bytes = std::size_t{4} * 1024;
/// The owner streams larger responses; the entry buffers them, so that it can replace a truncated one.
constexpr std::size_t owner_buffer_bytes = std::size_t{64} * 1024;

upstream_call_result::outcome outcome_of(unsigned status) {
    if (status == static_cast<unsigned>(http::status::service_unavailable)) {
        return upstream_call_result::outcome::refused;
    }
    return status >= 500 ? upstream_call_result::outcome::failed : upstream_call_result::outcome::succeeded;
}

} // namespace

owner_call::owner_call(proxy_state& proxy, const local_upstream& upstream, served_request& request, std::string route,
                       bool is_idempotent, absl::Time deadline)
    : m_proxy(proxy), m_upstream(upstream.record), m_semaphore(upstream.semaphore), m_request(request),
      m_route(std::move(route)), m_is_idempotent(is_idempotent), m_deadline(deadline), m_id(proxy.next_request_id++),
      m_exchange(proxy.pool, proxy.options, proxy.clock), m_was_permitted(is_permitted()) {}

asio::awaitable<exchange_status> owner_call::start() {
    if (const local_upstream* known = m_proxy.find_local_upstream(m_upstream.id);
        known != nullptr && m_proxy.clock.now() < known->unreachable_until) {
        co_return exchange_status{result_code::connect_failed, execution::not_run};
    }
    detect_nested_call();
    // Must be a named variable: GCC 12 destroys an aggregate temporary in a co_await expression twice.
    slot_request wanted;
    wanted.id = m_id;
    wanted.deadline = m_deadline;
    wanted.kind = m_route;
    wanted.priority = m_request.info.priority;
    wanted.tenant = m_request.info.tenant;
    if (const auto known = m_proxy.configuration->tenants.find(wanted.tenant);
        known != m_proxy.configuration->tenants.end()) {
        wanted.tenant_weight = known->second.rate_per_second;
    }
    wanted.is_nested = m_request.info.is_nested;
    if (m_request.info.target_time_left) {
        wanted.target_time = m_request.received_at + *m_request.info.target_time_left;
    }
    const result_code granted = co_await m_semaphore->acquire(wanted);
    log_admission(granted, wanted);
    if (granted != result_code::ok) {
        if (is_version_refusal(granted)) {
            report_call(upstream_call_result::outcome::refused);
        }
        co_return exchange_status{granted, execution::not_run};
    }
    m_permit.emplace(*m_semaphore, m_id);
    m_started_at = m_proxy.clock.now();
    const exchange_status started = co_await send_request();
    observe_connection(started.code);
    m_latency = m_proxy.clock.now() - m_started_at;
    if (m_is_cancelled) {
        co_return exchange_status{result_code::caller_disconnected, started.request_execution};
    }
    if (started.code == result_code::ok) {
        m_proxy.latency_by_route[m_route].observe(m_latency);
        report_call(outcome_of(status()));
    } else if (started.request_execution == execution::not_run && may_have_reached_upstream()) {
        report_call(upstream_call_result::outcome::refused);
    } else if (started.code != result_code::caller_disconnected) {
        report_call(upstream_call_result::outcome::failed);
    }
    co_return started;
}

bool owner_call::is_version_refusal(result_code refusal) {
    if (refusal == result_code::data_center_evacuated) {
        ++m_proxy.counters.refusals_evacuated;
        return false;
    }
    if (refusal == result_code::upstream_leaving || refusal == result_code::caller_disconnected) {
        return false;
    }
    // A cold upstream says nothing of its version, and those of a new version are all cold at first.
    const bool is_cold = m_semaphore->limiter().cold_starts().is_limiting(m_proxy.clock.now());
    m_proxy.counters.refusals_cold += is_cold ? 1 : 0;
    return !is_cold;
}

void owner_call::observe_connection(result_code outcome) {
    const bool is_failed = outcome == result_code::connect_failed || outcome == result_code::connection_lost;
    if (is_failed && !m_is_cancelled) {
        // The process may have been replaced by a cold one.
        m_semaphore->cold_starts().on_connection_failed(m_proxy.clock.now());
    }
}

void owner_call::detect_nested_call() {
    const nested_route_detector::verdict found =
        m_proxy.nested_routes.observe(m_route, m_request.info.caller_service, m_proxy.clock.now());
    m_request.info.is_nested = m_request.info.is_nested || found.is_nested;
    m_proxy.counters.nested_requests += m_request.info.is_nested ? 1 : 0;
    if (found.has_changed) {
        m_proxy.log.info(fmt::format("nested-route route={} nested={} caller_service={} request={}", m_route,
                                     found.is_nested, m_request.info.caller_service, m_request.info.request_id));
    }
}

void owner_call::log_admission(result_code granted, const slot_request& wanted) {
    if (!m_proxy.log.is_enabled(log_level::info)) {
        return;
    }
    const absl::Time now = m_proxy.clock.now();
    const slot_limiter& limiter = m_semaphore->limiter();
    const local_upstream* const known = m_proxy.find_local_upstream(m_upstream.id);
    const std::optional<double> limit = known == nullptr ? std::nullopt : known->rate_limit.value();
    m_proxy.log.info(fmt::format(
        "admission request={} upstream={} route={} result={} attempt={} running={} queued={} limit_per_s={} "
        "limit_age_ms={} cold={} priority={} nested={} waited_ms={} target_in_ms={} deadline_in_ms={} service_ms={} "
        "reserved={}",
        m_request.info.request_id, m_upstream.id, m_route, name(granted), m_request.info.attempt, limiter.running(),
        limiter.queued(), limiter.rate_limit_knowledge().is_unknown() ? "unknown" : proxy_state::rate_limit_text(limit),
        limit ? absl::ToInt64Milliseconds(now - known->rate_limit.named_at()) : 0,
        limiter.cold_starts().is_limiting(now), wanted.priority, m_request.info.is_nested,
        absl::ToInt64Milliseconds(now - m_request.received_at),
        m_request.info.target_time_left ? absl::ToInt64Milliseconds(wanted.target_time - now) : 0,
        absl::ToInt64Milliseconds(m_deadline - now), absl::ToInt64Milliseconds(limiter.service_time(m_route)),
        limiter.reserved_slots(now)));
}

asio::awaitable<exchange_status> owner_call::send_request() {
    const bool may_use_idle = m_is_idempotent && m_proxy.pool.health().can_time_out_early(route_latency());
    const exchange_status connected = co_await m_exchange.connect(m_upstream.address, may_use_idle, m_deadline);
    if (connected.code != result_code::ok) {
        if (local_upstream* const known = m_proxy.find_local_upstream(m_upstream.id);
            known != nullptr && !m_is_cancelled) {
            known->unreachable_until = m_proxy.clock.now() + unreachable_pause;
            m_proxy.log.warning(fmt::format("upstream-unreachable upstream={} address={} pause_ms={}", m_upstream.id,
                                            to_string(m_upstream.address),
                                            absl::ToInt64Milliseconds(unreachable_pause)));
        }
        co_return connected;
    }
    if (m_request.expects_continue && !(co_await write_continue(m_request, m_proxy.options.body_idle_timeout))) {
        co_return exchange_status{result_code::caller_disconnected, execution::not_run};
    }
    if (const error_code failure = co_await m_request.body.read_prefix(m_deadline - m_proxy.clock.now())) {
        m_request.keeps_connection = false;
        co_return exchange_status{result_code::caller_disconnected, execution::not_run};
    }
    // Both the connection and the body of a slow caller may take time.
    if (!m_semaphore->limiter().may_send(m_proxy.clock.now())) {
        const result_code reason = m_semaphore->limiter().drop_reason();
        m_proxy.counters.refusals_evacuated += reason == result_code::data_center_evacuated ? 1 : 0;
        co_return exchange_status{reason, execution::not_run};
    }
    if (is_permission_withdrawn()) {
        co_return exchange_status{result_code::unknown_key, execution::not_run};
    }
    const http::request_header<> head = make_request_header();
    const exchange::request outgoing{m_upstream.address,
                                     head,
                                     m_request.body,
                                     m_is_idempotent,
                                     false,
                                     m_deadline,
                                     m_proxy.options.first_byte_timeout,
                                     first_byte_timeout()};
    exchange_status started = co_await m_exchange.start(outgoing);
    if (started.code == result_code::response_timeout && may_resend()) {
        m_proxy.log.info(fmt::format("resend request={} upstream={} reason=silent-connection after_ms={}",
                                     m_request.info.request_id, m_upstream.id,
                                     absl::ToInt64Milliseconds(m_proxy.clock.now() - m_started_at)));
        m_exchange.reset();
        started = co_await m_exchange.start(outgoing);
    }
    if (started.code != result_code::ok) {
        co_return started;
    }
    co_return co_await check_response(outgoing);
}

asio::awaitable<exchange_status> owner_call::check_response(const exchange::request& outgoing) {
    const header_names& names = m_proxy.options.headers;
    // An upstream may answer an earlier request twice. The second response precedes the response to this request.
    for (int surplus = 0; !is_own_response(); ++surplus) {
        ++m_proxy.counters.surplus_responses;
        m_proxy.log.warning(
            fmt::format("surplus-response upstream={} request={} answered={} status={} not_run={} number={}",
                        m_upstream.id, m_request.info.request_id,
                        field_value(m_exchange.response().get(), names.request_id), status(), says_not_run(), surplus));
        const exchange_status next = surplus < max_surplus_responses
                                         ? co_await m_exchange.read_next_response(outgoing)
                                         : exchange_status{result_code::response_mismatched, execution::may_have_run};
        if (next.code != result_code::ok) {
            m_exchange.abort();
            co_return exchange_status{result_code::response_mismatched, execution::may_have_run};
        }
    }
    if (says_not_run()) {
        observe_signals(false);
        co_return co_await handle_upstream_refusal();
    }
    // Requests do not ask for a content encoding, so an encoded body does not come from the upstream.
    const bool is_encoded = m_exchange.response().get().count(http::field::content_encoding) > 0;
    if (!names.signature.empty() && (!has_field(names.signature) || is_encoded)) {
        m_exchange.abort();
        co_return exchange_status{result_code::response_malformed, execution::may_have_run};
    }
    observe_signals(true);
    co_return exchange_status{};
}

bool owner_call::is_own_response() {
    const std::string_view answered_id = field_value(m_exchange.response().get(), m_proxy.options.headers.request_id);
    local_upstream* const known = m_proxy.find_local_upstream(m_upstream.id);
    if (answered_id.empty()) {
        // Whether a request has run is too important to be told by a response that may be to another one.
        return !says_not_run() || known == nullptr || !known->echoes_request_ids;
    }
    const bool is_own = answered_id == m_request.info.request_id;
    if (is_own && known != nullptr) {
        known->echoes_request_ids = true;
    }
    return is_own;
}

bool owner_call::says_not_run() {
    return has_field(m_proxy.options.headers.not_executed) || status() == misdirected_status;
}

void owner_call::observe_signals(bool is_complete) {
    local_upstream* const known = m_proxy.find_local_upstream(m_upstream.id);
    if (known == nullptr || status() == misdirected_status || !is_same_start(known->record, m_upstream)) {
        return;
    }
    const upstream_signals signals = read_upstream_signals(m_exchange.response().get(), m_proxy.options.headers);
    if (signals.is_rate_limit_malformed) {
        ++m_proxy.counters.malformed_rate_limits;
        m_proxy.log.warning(fmt::format("upstream-limit-ignored upstream={} request={} code={}", m_upstream.id,
                                        m_request.info.request_id, name(result_code::response_malformed)));
        // As for an upstream that names none; otherwise one that always does so would get few requests at a time.
        m_proxy.end_unknown_rate_limit(*known, "malformed");
    } else if (signals.rate_limit || is_complete) {
        m_proxy.observe_rate_limit(*known, signals.rate_limit, m_started_at, m_request.info.request_id);
    }
    observe_server_load(*known, signals, is_complete);
    if (signals.is_leaving && !std::exchange(known->has_said_leaving, true)) {
        m_proxy.set_leaving(*known, "response");
        m_proxy.upstreams.on_leaving(m_upstream.id);
        m_proxy.log.info(fmt::format("upstream-leaving upstream={} request={} record_leaving={}", m_upstream.id,
                                     m_request.info.request_id, known->record.is_leaving));
    }
}

void owner_call::observe_server_load(local_upstream& known, const upstream_signals& signals, bool is_complete) {
    if (signals.is_server_load_malformed) {
        ++m_proxy.counters.malformed_server_loads;
    }
    const absl::Time now = m_proxy.clock.now();
    const bool was_reported = known.load.uses_reported_speed(now);
    known.load.observe(signals.server_load, m_route, is_complete ? now - m_started_at : absl::ZeroDuration(),
                       m_semaphore->limiter().running(), now);
    if (known.load.uses_reported_speed(now) != was_reported) {
        m_proxy.log.info(fmt::format("upstream-speed upstream={} request={} source={} speed={:.2f} load_false={}",
                                     m_upstream.id, m_request.info.request_id, was_reported ? "measured" : "reported",
                                     known.load.work_factor(now), known.load.is_load_false()));
    }
}

asio::awaitable<exchange_status> owner_call::handle_upstream_refusal() {
    const bool is_other_upstream = status() == misdirected_status;
    const bool is_unnamed = field_value(m_exchange.response().get(), m_proxy.options.headers.request_id).empty();
    if (is_unnamed && m_exchange.is_connection_reused()) {
        // It may be a second copy of an earlier refusal, while this request runs.
        m_exchange.abort();
        co_return exchange_status{result_code::response_mismatched, execution::may_have_run};
    }
    co_await discard_response();
    co_return exchange_status{is_other_upstream ? result_code::no_upstream : result_code::overloaded,
                              execution::not_run};
}

asio::awaitable<void> owner_call::discard_response() {
    return m_exchange.discard(max_refusal_bytes);
}

bool owner_call::has_field(const std::string& name) {
    return !name.empty() && m_exchange.response().get().count(beast_view(name)) > 0;
}

http::request_header<> owner_call::make_request_header() const {
    http::request_header<> head(m_request.head);
    remove_hop_by_hop_headers(head);
    if (m_proxy.tenants.is_in_use() || !m_request.info.tenant.empty()) {
        remove_identity_headers(head, m_proxy.options.headers);
    }
    forwarding_info info;
    info.tenant = m_request.info.tenant;
    info.request_id = m_request.info.request_id;
    info.route = m_route;
    info.hop = m_request.info.hop;
    info.attempt = m_request.info.attempt;
    info.caller_service = m_request.info.caller_service;
    info.time_left = m_deadline - m_proxy.clock.now();
    write_upstream_headers(head, info, m_proxy.options.headers, m_upstream.id);
    return head;
}

bool owner_call::is_permission_withdrawn() {
    // What was not permitted on arrival is left to the entry, which may have a newer configuration.
    if (!m_was_permitted || is_permitted()) {
        return false;
    }
    ++m_proxy.counters.refusals_withdrawn_key;
    m_proxy.log.info(fmt::format("key-withdrawn request={} upstream={} route={} tenant={} waited_ms={}",
                                 m_request.info.request_id, m_upstream.id, m_route, m_request.info.tenant,
                                 absl::ToInt64Milliseconds(m_proxy.clock.now() - m_request.received_at)));
    return true;
}

bool owner_call::is_permitted() const {
    return m_proxy.tenants.permits(m_route, m_request.info.tenant, m_request.info.key.digest);
}

bool owner_call::may_resend() {
    return m_exchange.has_idle_connection_timed_out() && m_is_idempotent && !m_is_cancelled &&
           m_request.body.is_replayable() && !is_permission_withdrawn() && m_semaphore->try_repeat() &&
           m_proxy.budget.try_spend(m_upstream.service, m_proxy.clock.now());
}

absl::Duration owner_call::first_byte_timeout() const {
    const absl::Duration remaining = m_deadline - m_proxy.clock.now();
    return std::min(m_proxy.options.first_byte_timeout,
                    m_proxy.pool.health().first_byte_timeout(route_latency(), m_is_idempotent, remaining));
}

first_byte_latency owner_call::route_latency() const {
    const auto known = m_proxy.latency_by_route.find(m_route);
    return known == m_proxy.latency_by_route.end() ? first_byte_latency{} : known->second;
}

asio::awaitable<relay_result> owner_call::relay_response() {
    const bool is_for_entry = m_request.info.is_from_entry();
    const owner_report reported = report();
    const std::string& id = m_request.info.request_id;
    const auto set_headers = [&](http::fields& fields) {
        fields.set(beast_view(m_proxy.options.headers.request_id), id);
        if (is_for_entry) {
            write_report(fields, reported);
        }
    };
    // The slot is free once the response is here, however long its caller takes to accept it.
    const auto free_slot = [this] { m_permit.reset(); };
    const relay_result relayed = co_await m_proxy.relay.relay(
        m_exchange, m_request, is_for_entry ? owner_buffer_bytes : m_proxy.options.response_buffer_bytes, set_headers,
        free_slot);
    if (relayed.code == result_code::response_truncated) {
        report_call(upstream_call_result::outcome::failed);
    }
    co_return relayed;
}

owner_report owner_call::report() const {
    const slot_limiter& limiter = m_semaphore->limiter();
    const local_upstream* const known = m_proxy.find_local_upstream(m_upstream.id);
    const absl::Time now = m_proxy.clock.now();
    owner_report result{.load = limiter.load(now),
                        .service_time = limiter.service_time(),
                        .route_service_time = limiter.service_time(m_route),
                        .rate_limit = limiter.rate_limit(now),
                        .is_leaving = known != nullptr && known->has_said_leaving,
                        // Reports with a response are written before the request frees its slot.
                        .wait = limiter.wait_of(m_request.info.priority, now, m_permit ? 1 : 0)};
    if (known != nullptr) {
        result.load = known->load.load(result.load, now);
        result.service_time = known->load.usual_service_time(result.service_time);
        result.route_service_time = known->load.usual_service_time(result.route_service_time, m_route);
        result.work_factor = known->load.work_factor(now);
    }
    // The owner's own requests to its upstream do not use the link.
    if (m_request.info.is_from_entry()) {
        m_proxy.measure_link();
        result.link_utilisation = m_proxy.link.utilisation();
        result.link_mbps = m_proxy.link.megabits_per_second();
    }
    return result;
}

void owner_call::cancel() {
    m_is_cancelled = true;
    m_semaphore->cancel(m_id);
    m_exchange.abort();
}

void owner_call::report_call(upstream_call_result::outcome outcome) {
    m_proxy.upstreams.on_call(
        {m_upstream.service, m_upstream.version, m_route, outcome, m_latency, m_proxy.clock.now()});
}

} // namespace amaranthladder
