#include "http/private/entry_call.h"

#include "common/parse_number.h"
#include "http/private/exchange.h"
#include "http/private/owner_call.h"
#include "routing/request_priority.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace amaranthladder {

namespace {

/// Refusals of owners are small; the connection is closed after a longer body.
constexpr std::size_t max_refusal_bytes = std::size_t{16} * 1024;
/// Limit of upstream choices per request, including attempts that did not reach an upstream.
constexpr int max_upstream_choices = 5;
/// Time after the deadline in which the owner can still deliver its refusal, which states whether the request ran.
constexpr absl::Duration owner_response_grace = absl::Milliseconds(30);
/// Bodies of uploads from this size on are sent only after the owner has asked for them. Smaller ones take less time on
/// the link than the question.
constexpr std::size_t min_announced_body_bytes = std::size_t{8} * 1024;
/// Lowest status that counts as a failure of the upstream.
constexpr unsigned min_failure_status = 500;
/// With less time left, a failed response is relayed instead of replaced by another attempt.
constexpr absl::Duration min_retry_time = absl::Milliseconds(50);
/// Lower limit of Retry-After.
constexpr absl::Duration min_retry_after = absl::Milliseconds(40);
/// Assumed for callers that do not send a deadline.
constexpr absl::Duration default_time_left = absl::Seconds(1);
/// Retry-After is at most this fraction of the time that the caller has left, but not below min_retry_after.
constexpr double max_wait_fraction = 1.0 / 3;
/// A request that is refused after this fraction of its target latency has lost nothing by having been held.
constexpr double max_free_hold_fraction = 1.0 / 8;

absl::Duration expected_latency(const routing_decision& decision) {
    return decision.chosen ? decision.chosen->latency : absl::ZeroDuration();
}

/// @return the declared size of a request's body; a chunked one, whose size is not declared, counts as none.
std::uint64_t body_bytes(const http::request_header<>& head) {
    const auto text = head[http::field::content_length];
    return parse_number<std::uint64_t>({text.data(), text.size()}).value_or(0);
}

attempt_outcome refusal_outcome(result_code code) {
    switch (code) {
    case result_code::upstream_leaving:
    case result_code::data_center_evacuated:
    case result_code::daemon_draining:
    case result_code::no_upstream:
        return attempt_outcome::refused_leaving;
    case result_code::connect_failed:
        return attempt_outcome::connect_failed;
    default:
        return attempt_outcome::refused_load;
    }
}

} // namespace

entry_call::entry_call(proxy_state& proxy, served_request& request) : m_proxy(proxy), m_request(request) {}

asio::awaitable<serve_result> entry_call::serve() {
    ++m_proxy.counters.entry_requests;
    if (!m_proxy.has_configuration) {
        co_return co_await refuse(result_code::no_configuration, execution::not_run, "");
    }
    const auto path = m_request.head.target();
    const auto host = m_request.head[http::field::host];
    const route_match found =
        m_proxy.request_router.match({host.data(), host.size()}, m_request.method(), {path.data(), path.size()});
    if (found.refusal != result_code::ok) {
        co_return co_await refuse(found.refusal, execution::not_run,
                                  fmt::format("{} {}", m_request.method(), std::string_view(path.data(), path.size())));
    }
    if (!identify(*found.matched, false)) {
        co_return co_await refuse(result_code::unknown_key, execution::not_run, "");
    }
    co_return co_await serve_route(*found.matched);
}

bool entry_call::identify(const route& matched_route, bool is_waiting) {
    const tenant_decision decided = m_proxy.tenants.decide(matched_route, m_request.info.key);
    m_request.info.tenant = decided.identified == nullptr ? "" : decided.identified->name;
    m_request.info.priority = request_priority(decided.identified, matched_route);
    if (decided.refusal == key_refusal::none) {
        return true;
    }
    proxy_counters& counters = m_proxy.counters;
    ++(is_waiting                                    ? counters.refusals_withdrawn_key
       : decided.refusal == key_refusal::missing_key ? counters.refusals_missing_key
                                                     : counters.refusals_unknown_key);
    // Without the digest: a wrong key may be a right one with a typing error.
    m_proxy.log.info(fmt::format("key-refused request={} route={} reason={} waited={} after_ms={}",
                                 m_request.info.request_id, matched_route.name, name(decided.refusal), is_waiting,
                                 absl::ToInt64Milliseconds(m_proxy.clock.now() - m_request.received_at)));
    return false;
}

void entry_call::cancel_attempt_if_unreachable(absl::Time now) {
    if (m_cancel_attempt && m_proxy.request_router.is_unreachable(m_remote_upstream, now) &&
        m_proxy.budget.available(m_service, now) >= 1) {
        m_proxy.log.info(
            fmt::format("owner-unreachable request={} upstream={}", m_request.info.request_id, m_remote_upstream));
        m_cancel_attempt();
    }
}

void entry_call::cancel() {
    m_is_cancelled = true;
    if (m_cancel_attempt) {
        m_cancel_attempt();
    }
}

entry_call::attempt_result entry_call::withdrawn_key_result() {
    attempt_result ended;
    ended.code = result_code::unknown_key;
    return ended;
}

asio::awaitable<serve_result> entry_call::serve_route(const route& matched_route) {
    m_service = choose_service(matched_route);
    m_deadline = deadline_of(matched_route);
    if (!m_proxy.drain.may_accept(m_proxy.clock.now(), m_deadline)) {
        co_return co_await refuse(result_code::daemon_draining, execution::not_run, "");
    }
    set_target_time(matched_route);
    m_proxy.budget.on_request(m_service, m_proxy.clock.now());
    if (must_shed(matched_route)) {
        co_return co_await refuse(result_code::service_short, execution::not_run, m_service);
    }
    if (const result_code refusal = co_await acquire_quota_token(); refusal != result_code::ok) {
        if (m_is_cancelled) {
            m_request.keeps_connection = false;
            co_return serve_result{result_code::caller_disconnected, 0};
        }
        co_return co_await refuse(refusal, execution::not_run, m_request.info.tenant);
    }
    m_request.info.caller_service = m_proxy.options.caller_service;
    m_request.info.is_idempotent = is_idempotent(matched_route);
    routing_request request_to_route;
    request_to_route.is_idempotent = is_idempotent(matched_route);
    request_to_route.deadline = m_deadline;
    request_to_route.target_time = m_target_time;
    request_to_route.service = m_service;
    attempt_result last;
    last.code = result_code::no_upstream;
    int attempts = 0;
    while (true) {
        if (attempts > 0 && !identify(matched_route, true)) {
            co_return co_await refuse_after_attempt(withdrawn_key_result(), "");
        }
        const routing_decision decision =
            m_proxy.request_router.choose(matched_route, request_to_route, m_proxy.clock.now(), m_proxy.random);
        log_decision(decision, attempts + 1);
        if (decision.is_refused()) {
            if (attempts == 0) {
                last.code = decision.refusal;
            }
            observe_refusal(matched_route, last);
            co_return co_await refuse_after_attempt(last, decision.service);
        }
        if (!m_proxy.drain.may_send(m_proxy.clock.now(), expected_latency(decision), m_deadline)) {
            if (attempts == 0) {
                last.code = result_code::daemon_draining;
            }
            co_return co_await refuse_after_attempt(last, decision.upstream_id);
        }
        ++attempts;
        ++m_proxy.counters.attempts;
        m_request.info.attempt = attempts;
        m_proxy.request_router.on_started(decision.upstream_id, m_proxy.clock.now());
        last = co_await attempt(matched_route, decision);
        m_proxy.request_router.on_finished(decision.upstream_id, last.outcome, last.latency, std::nullopt,
                                           m_proxy.clock.now(), decision.chosen->expected());
        if (last.report) {
            m_proxy.request_router.on_report(decision.upstream_id, matched_route.name, *last.report,
                                             m_proxy.clock.now());
        }
        record_transfer(matched_route, decision, last);
        m_attempts_sent += last.may_have_reached_upstream ? 1 : 0;
        if (last.outcome == attempt_outcome::refused_load) {
            m_shortest_backlog = std::min(m_shortest_backlog, last.backlog);
        }
        log_attempt_result(decision, last);
        const bool is_held_in_shortage = observe_shortage(matched_route, decision, last);
        if (last.result) {
            co_return *last.result;
        }
        if (m_is_cancelled) {
            m_request.keeps_connection = false;
            co_return serve_result{result_code::caller_disconnected, 0};
        }
        if (last.code == result_code::unknown_key &&
            m_proxy.tenants.decide(matched_route, m_request.info.key).refusal == key_refusal::none) {
            // The owner's configuration differs; the caller's key is not at fault.
            last.code = result_code::overloaded;
        }
        if (attempts >= max_upstream_choices || is_held_in_shortage ||
            !may_retry(matched_route, last, std::max(m_attempts_sent, 1))) {
            observe_refusal(matched_route, last);
            co_return co_await refuse_after_attempt(last, decision.upstream_id);
        }
        if (last.request_execution != execution::not_run) {
            m_may_have_run_code = last.code;
        }
        ++m_proxy.counters.retries;
        request_to_route.tried_upstreams.push_back(decision.upstream_id);
    }
}

asio::awaitable<result_code> entry_call::acquire_quota_token() {
    const std::string& tenant = m_request.info.tenant;
    if (!m_proxy.quotas.is_limited(tenant)) {
        co_return result_code::ok;
    }
    const request_id waiter = m_proxy.next_request_id++;
    m_cancel_attempt = [this, waiter] { m_proxy.quotas.cancel(m_request.info.tenant, waiter); };
    const absl::Cleanup forget = [this] { m_cancel_attempt = nullptr; };
    const quota_verdict verdict = co_await m_proxy.quotas.acquire(tenant, waiter, m_deadline);
    if (verdict.result == quota_verdict::kind::run) {
        m_quota_token_expires = verdict.token_expires;
        co_return result_code::ok;
    }
    if (verdict.result == quota_verdict::kind::refused_over) {
        // The jitter keeps callers that were refused together from retrying together.
        m_request.retry_after = verdict.retry_after * absl::Uniform(m_proxy.random, 0.9, 1.4);
        co_return result_code::quota_exceeded;
    }
    co_return result_code::quota_unknown;
}

std::optional<shortage_request> entry_call::make_shortage_request(const route& matched_route) const {
    if (m_target_time == absl::InfiniteFuture()) {
        return std::nullopt;
    }
    const absl::Time now = m_proxy.clock.now();
    return shortage_request{.service = m_service,
                            .kind = matched_route.name,
                            .priority = m_request.info.priority,
                            .time_to_target = m_target_time - now,
                            .time_left =
                                m_request.info.time_left.value_or(default_time_left) - (now - m_request.received_at),
                            .has_returned = m_has_returned,
                            .is_nested = m_request.info.is_nested};
}

bool entry_call::must_shed(const route& matched_route) {
    const std::optional<shortage_request> described = make_shortage_request(matched_route);
    if (!described) {
        return false;
    }
    const shortage_decision decision = m_proxy.shortage.admit(*described, m_proxy.clock.now(), m_proxy.random);
    if (decision.is_refused) {
        ++m_proxy.counters.refusals_for_shortage;
        m_request.retry_after = decision.retry_after;
        m_proxy.log.info(fmt::format("shortage request={} service={} route={} priority={} returned={} "
                                     "refused_share={:.3f} retry_after_ms={}",
                                     m_request.info.request_id, m_service, matched_route.name, described->priority,
                                     m_has_returned, decision.refused_share,
                                     absl::ToInt64Milliseconds(decision.retry_after)));
    }
    return decision.is_refused;
}

bool entry_call::observe_shortage(const route& matched_route, const routing_decision& decision,
                                  const attempt_result& ended) {
    const std::optional<shortage_request> described = make_shortage_request(matched_route);
    if (!described) {
        return false;
    }
    const absl::Time now = m_proxy.clock.now();
    if (ended.report && ended.report->wait) {
        m_proxy.shortage.on_report(*described, decision.upstream_id, *ended.report->wait,
                                   ended.report->route_service_time, now);
    }
    if (ended.outcome == attempt_outcome::answered) {
        m_proxy.shortage.on_served(*described, now);
    }
    return ended.outcome == attempt_outcome::refused_load &&
           now - m_request.received_at > matched_route.target_latency * max_free_hold_fraction &&
           m_proxy.shortage.is_short(*described, now);
}

void entry_call::observe_refusal(const route& matched_route, const attempt_result& ended) {
    if (const auto described = make_shortage_request(matched_route);
        described && ended.outcome == attempt_outcome::refused_load) {
        m_proxy.shortage.on_refused(*described, m_proxy.clock.now());
    }
}

void entry_call::record_transfer(const route& matched_route, const routing_decision& decision,
                                 const attempt_result& ended) {
    const std::uint64_t request_bytes = body_bytes(m_request.head);
    if (ended.response_bytes) {
        m_proxy.request_router.on_transfer(matched_route.name, static_cast<double>(request_bytes),
                                           static_cast<double>(*ended.response_bytes));
    }
    if (!decision.is_local) {
        ++m_proxy.counters.remote_attempts;
        m_proxy.counters.remote_bytes += ended.response_bytes ? request_bytes + *ended.response_bytes : 0;
    }
}

const std::string& entry_call::choose_service(const route& matched_route) {
    return matched_route.weight_by_service.empty()
               ? matched_route.service
               : m_proxy.service_rotations[matched_route.name].pick(matched_route.weight_by_service);
}

asio::awaitable<entry_call::attempt_result> entry_call::attempt(const route& matched_route,
                                                                const routing_decision& decision) {
    const absl::Time started_at = m_proxy.clock.now();
    attempt_result ended;
    if (m_proxy.find_local_upstream(decision.upstream_id) != nullptr) {
        ended = co_await attempt_locally(matched_route, decision);
    } else {
        ended = co_await attempt_at_owner(matched_route, decision);
    }
    m_cancel_attempt = nullptr;
    if (ended.latency == absl::ZeroDuration()) {
        ended.latency = m_proxy.clock.now() - started_at;
    }
    if (m_is_cancelled) {
        ended.outcome = attempt_outcome::cancelled;
    }
    co_return ended;
}

asio::awaitable<entry_call::attempt_result> entry_call::attempt_locally(const route& matched_route,
                                                                        const routing_decision& decision) {
    owner_call call(m_proxy, *m_proxy.find_local_upstream(decision.upstream_id), m_request, matched_route.name,
                    is_idempotent(matched_route), m_deadline);
    m_cancel_attempt = [&call] { call.cancel(); };
    const absl::Cleanup forget = [this] { m_cancel_attempt = nullptr; };
    const exchange_status started = co_await call.start();
    if (started.code != result_code::ok) {
        attempt_result refused = make_attempt_result(started);
        refused.may_have_reached_upstream = call.may_have_reached_upstream();
        refused.backlog = call.backlog();
        refused.report = call.report();
        co_return refused;
    }
    observe_leaving(decision.upstream_id, call.report());
    const unsigned status = call.status();
    if (may_replace_response(matched_route, status)) {
        co_await call.discard_response();
        co_return make_replaced_result(call.latency(), call.report());
    }
    const relay_result relayed = co_await call.relay_response();
    attempt_result ended = make_attempt_result(relayed, status);
    ended.response_bytes = call.response_bytes();
    ended.latency = call.latency();
    ended.report = call.report();
    co_return ended;
}

asio::awaitable<entry_call::attempt_result> entry_call::attempt_at_owner(const route& matched_route,
                                                                         const routing_decision& decision) {
    http::request_header<> head(m_request.head);
    remove_hop_by_hop_headers(head);
    if (m_proxy.tenants.is_in_use()) {
        remove_identity_headers(head, m_proxy.options.headers);
    }
    forwarding_info info = m_request.info;
    info.mesh = m_proxy.options.mesh;
    info.route = matched_route.name;
    info.upstream = decision.upstream_id;
    const absl::Time now = m_proxy.clock.now();
    info.sent = send_stamp{m_proxy.process_number, absl::ToUnixMillis(now)};
    info.time_left = m_deadline - now;
    if (m_target_time < absl::InfiniteFuture()) {
        info.target_time_left = std::max(absl::ZeroDuration(), m_target_time - now);
    }
    write_forwarding_headers(head, info);
    exchange owner_exchange(m_proxy.pool, m_proxy.options, m_proxy.clock);
    m_cancel_attempt = [&owner_exchange] { owner_exchange.abort(); };
    m_remote_upstream = decision.upstream_id;
    if (is_idempotent(matched_route)) {
        m_proxy.remote_calls.insert(this);
    }
    const absl::Cleanup forget = [this] {
        m_cancel_attempt = nullptr;
        m_proxy.remote_calls.erase(this);
    };
    const absl::Time started_at = m_proxy.clock.now();
    // The owner applies its own first-byte timeout and must be the one to report it, so the entry waits longer.
    const exchange::request request{decision.owner,
                                    head,
                                    m_request.body,
                                    is_idempotent(matched_route),
                                    must_ask_before_body(matched_route),
                                    m_deadline + owner_response_grace,
                                    m_proxy.options.first_byte_timeout + m_proxy.options.connect_timeout};
    const exchange_status started = co_await owner_exchange.start(request);
    if (started.code != result_code::ok) {
        attempt_result failed = make_attempt_result(started);
        failed.may_have_reached_upstream = owner_exchange.may_have_sent();
        co_return failed;
    }
    const absl::Duration latency = m_proxy.clock.now() - started_at;
    const http::fields& fields = owner_exchange.response().get();
    if (!field_value(fields, header::outcome).empty()) {
        co_return co_await handle_owner_refusal(owner_exchange);
    }
    const unsigned status = owner_exchange.response().get().result_int();
    const std::optional<owner_report> report = read_report(fields);
    observe_leaving(decision.upstream_id, report);
    const auto response_bytes = owner_exchange.response().content_length();
    if (may_replace_response(matched_route, status)) {
        owner_exchange.abort();
        co_return make_replaced_result(latency, report);
    }
    const std::string& id = m_request.info.request_id;
    const auto set_headers = [this, &id](http::fields& out) {
        out.set(beast_view(m_proxy.options.headers.request_id), id);
    };
    const relay_result relayed =
        co_await m_proxy.relay.relay(owner_exchange, m_request, m_proxy.options.response_buffer_bytes, set_headers);
    attempt_result ended = make_attempt_result(relayed, status);
    if (response_bytes) {
        ended.response_bytes = *response_bytes;
    }
    ended.latency = latency;
    ended.report = report;
    co_return ended;
}

bool entry_call::must_ask_before_body(const route& matched_route) const {
    return !m_request.body.is_whole() ||
           (matched_route.kind == route_kind::upload && m_request.body.prefix().size() >= min_announced_body_bytes);
}

asio::awaitable<entry_call::attempt_result> entry_call::handle_owner_refusal(exchange& owner_exchange) {
    const http::fields& fields = owner_exchange.response().get();
    attempt_result ended;
    ended.report = read_report(fields);
    observe_leaving(m_remote_upstream, ended.report);
    ended.request_execution =
        field_value(fields, header::outcome) == name(execution::not_run) ? execution::not_run : execution::may_have_run;
    const auto codes = result_codes();
    const auto code = static_cast<result_code>(number_or_zero<int>(fields, header::code));
    const auto known = std::ranges::find(codes, code, &result_code_entry::code);
    ended.code = known == codes.end() ? result_code::response_malformed : known->code;
    ended.outcome =
        ended.request_execution == execution::not_run ? refusal_outcome(ended.code) : attempt_outcome::sent_no_answer;
    ended.may_have_reached_upstream = !field_value(fields, header::reached_upstream).empty();
    ended.backlog = absl::Milliseconds(number_or_zero<int>(fields, header::backlog_ms));
    co_await owner_exchange.discard(max_refusal_bytes);
    co_return ended;
}

void entry_call::observe_leaving(const std::string& upstream_id, const std::optional<owner_report>& report) {
    // Before the response is relayed: its caller's next request may arrive while the body is still on its way.
    if (report && report->is_leaving && m_proxy.request_router.on_leaving(upstream_id, m_proxy.clock.now())) {
        m_proxy.log.info(
            fmt::format("upstream-leaving-heard upstream={} request={}", upstream_id, m_request.info.request_id));
    }
}

asio::awaitable<serve_result> entry_call::refuse_after_attempt(const attempt_result& last, std::string detail) {
    // An earlier attempt may have run even if the last one did not.
    if (m_may_have_run_code && last.request_execution == execution::not_run) {
        return refuse(*m_may_have_run_code, execution::may_have_run, std::move(detail));
    }
    return refuse(last.code, last.request_execution, std::move(detail));
}

asio::awaitable<serve_result> entry_call::refuse(result_code code, execution request_execution, std::string detail) {
    auto& count = request_execution == execution::not_run ? m_proxy.counters.refusals_not_run
                                                          : m_proxy.counters.refusals_may_have_run;
    ++count;
    if (request_execution == execution::not_run && m_quota_token_expires > m_proxy.clock.now()) {
        m_proxy.quotas.give_back(m_request.info.tenant, std::exchange(m_quota_token_expires, absl::InfinitePast()));
    }
    // The rest of an unread body would be parsed as the next request.
    if (!m_request.body.is_at_end()) {
        m_request.keeps_connection = false;
    }
    if (code != result_code::service_short) {
        set_retry_after(code);
    }
    m_request.challenge = code == result_code::unknown_key ? m_proxy.options.headers.authorization_scheme : "";
    if (m_proxy.log.is_enabled(log_level::info)) {
        const absl::Time now = m_proxy.clock.now();
        m_proxy.log.info(fmt::format(
            "refusal request={} service={} code={} execution={} sends={} after_ms={} target_in_ms={} retry_after_ms={}",
            m_request.info.request_id, m_service, name(code), name(request_execution), m_attempts_sent,
            absl::ToInt64Milliseconds(now - m_request.received_at),
            m_target_time == absl::InfiniteFuture() ? 0 : absl::ToInt64Milliseconds(m_target_time - now),
            absl::ToInt64Milliseconds(m_request.retry_after.value_or(absl::ZeroDuration()))));
    }
    return write_refusal(m_request, code, request_execution, std::move(detail));
}

bool entry_call::may_replace_response(const route& matched_route, unsigned status) {
    const int limit = matched_route.max_attempts > 0 ? matched_route.max_attempts : 1;
    return status >= min_failure_status && is_idempotent(matched_route) && m_request.body.is_replayable() &&
           m_attempts_sent + 1 < limit && m_proxy.clock.now() + min_retry_time < m_deadline &&
           m_proxy.budget.available(m_service, m_proxy.clock.now()) >= 1;
}

entry_call::attempt_result entry_call::make_replaced_result(absl::Duration latency,
                                                            std::optional<owner_report> report) {
    attempt_result ended;
    ended.outcome = attempt_outcome::sent_no_answer;
    ended.code = result_code::upstream_failed;
    ended.request_execution = execution::may_have_run;
    ended.latency = latency;
    ended.report = report;
    return ended;
}

void entry_call::set_retry_after(result_code code) {
    if (describe(code).http_status != static_cast<int>(http::status::service_unavailable)) {
        return;
    }
    const absl::Time now = m_proxy.clock.now();
    const absl::Duration backlog =
        m_shortest_backlog == absl::InfiniteDuration() ? min_retry_after : m_shortest_backlog;
    // If the backlog clears before the target time, a retry can still meet it. Otherwise only the deadline matters.
    // Callers wait for at most a third of their time left. The jitter keeps callers that were refused together from
    // retrying together.
    const absl::Duration time_left =
        m_request.info.time_left.value_or(default_time_left) - (now - m_request.received_at);
    const absl::Duration max_wait = time_left * max_wait_fraction;
    const absl::Duration base_wait = now + backlog < m_target_time ? std::max(backlog, min_retry_after) : max_wait / 2;
    m_request.retry_after =
        std::max(min_retry_after, std::min(max_wait, base_wait * absl::Uniform(m_proxy.random, 0.8, 1.6)));
}

void entry_call::set_target_time(const route& matched_route) {
    if (matched_route.target_latency <= absl::ZeroDuration()) {
        return;
    }
    const absl::Duration waited = m_request.info.time_left
                                      ? m_proxy.caller_timeouts.time_already_waited(
                                            matched_route.name, *m_request.info.time_left, m_request.received_at)
                                      : absl::ZeroDuration();
    m_has_returned = waited > absl::ZeroDuration();
    m_target_time = m_request.received_at + matched_route.target_latency - waited;
    m_request.info.target_time_left = std::max(absl::ZeroDuration(), m_target_time - m_request.received_at);
}

entry_call::attempt_result entry_call::make_attempt_result(const exchange_status& started) const {
    attempt_result ended;
    ended.code = started.code;
    ended.request_execution = started.request_execution;
    if (started.code == result_code::caller_disconnected) {
        ended.outcome = attempt_outcome::cancelled;
    } else if (started.request_execution == execution::not_run) {
        const bool is_connection_lost = started.code == result_code::connection_lost;
        ended.outcome = is_connection_lost ? attempt_outcome::connect_failed : refusal_outcome(started.code);
    } else {
        ended.outcome = attempt_outcome::sent_no_answer;
    }
    return ended;
}

entry_call::attempt_result entry_call::make_attempt_result(const relay_result& relayed, unsigned status) const {
    attempt_result ended;
    ended.code = relayed.code;
    ended.request_execution = execution::may_have_run;
    if (relayed.code == result_code::ok) {
        ended.outcome = status < 500 ? attempt_outcome::answered : attempt_outcome::answered_error;
    } else if (relayed.code == result_code::caller_disconnected) {
        ended.outcome = attempt_outcome::cancelled;
    } else {
        ended.outcome = attempt_outcome::answer_broken;
    }
    if (relayed.has_begun) {
        ended.result = serve_result{relayed.code, status};
        if (relayed.code != result_code::ok) {
            m_request.keeps_connection = false;
        }
    }
    return ended;
}

bool entry_call::is_idempotent(const route& matched_route) const {
    return matched_route.may_repeat(retry_policy::is_idempotent_method(m_request.method()));
}

absl::Time entry_call::deadline_of(const route& matched_route) const {
    absl::Duration limit = matched_route.timeout;
    const auto found = m_proxy.configuration->services.find(m_service);
    if (limit <= absl::ZeroDuration() && found != m_proxy.configuration->services.end()) {
        limit = found->second.timeout;
    }
    if (limit <= absl::ZeroDuration()) {
        limit = m_proxy.options.default_timeout;
    }
    return m_request.received_at + std::min(limit, m_request.info.time_left.value_or(limit));
}

bool entry_call::may_retry(const route& matched_route, const attempt_result& ended, int attempts) {
    failed_attempt failed;
    failed.service = m_service;
    failed.route_is_idempotent = is_idempotent(matched_route);
    failed.max_attempts = matched_route.max_attempts;
    failed.may_have_reached_upstream = ended.may_have_reached_upstream;
    failed.outcome = ended.outcome;
    failed.body_is_replayable = m_request.body.is_replayable();
    failed.deadline = m_deadline;
    failed.attempts = attempts;
    const retry_decision decision = m_proxy.retries.decide(failed, m_proxy.budget, m_proxy.clock.now());
    if (m_proxy.log.is_enabled(log_level::info)) {
        m_proxy.log.info(fmt::format("retry request={} allowed={} reason={}", m_request.info.request_id,
                                     decision.is_allowed, name(decision.reason)));
    }
    return decision.is_allowed;
}

void entry_call::log_decision(const routing_decision& decision, int attempt_number) const {
    if (!m_proxy.log.is_enabled(log_level::info)) {
        return;
    }
    m_proxy.log.info(fmt::format("routing request={} attempt={} {}", m_request.info.request_id, attempt_number,
                                 to_log_line(decision)));
}

void entry_call::log_attempt_result(const routing_decision& decision, const attempt_result& ended) const {
    // Successful attempts are logged at debug level only, since the routing line already names the upstream.
    const log_level level = ended.outcome == attempt_outcome::answered ? log_level::debug : log_level::info;
    if (!m_proxy.log.is_enabled(level)) {
        return;
    }
    m_proxy.log.write(level,
                      fmt::format("attempt-end request={} upstream={} outcome={} code={} execution={} reached={} "
                                  "latency_ms={} backlog_ms={}",
                                  m_request.info.request_id, decision.upstream_id, name(ended.outcome),
                                  name(ended.code), name(ended.request_execution), ended.may_have_reached_upstream,
                                  absl::ToInt64Milliseconds(ended.latency), absl::ToInt64Milliseconds(ended.backlog)));
}

} // namespace amaranthladder
