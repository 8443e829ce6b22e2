#include "http/private/entry_call.h"

#include "http/private/exchange.h"
#include "http/private/owner_call.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Owner refusals are small; a longer body is not one of ours.
constexpr std::size_t max_refusal_bytes = std::size_t{16} * 1024;
/// Choices of an upstream per request, those included that ended before an upstream saw it.
constexpr int max_tries = 5;
/// Time beyond the deadline that an owner has to deliver its own answer, which knows whether the request ran.
constexpr absl::Duration owner_answer_slack = absl::Milliseconds(30);
/// From this status on an answer is a failure of the upstream.
constexpr unsigned least_failure_status = 500;
/// With less time left a failed answer is passed on instead of being replaced by a second attempt.
constexpr absl::Duration least_second_attempt = absl::Milliseconds(50);
/// A refused caller comes back no sooner.
constexpr absl::Duration least_retry_after = absl::Milliseconds(40);
/// For callers that state no deadline.
constexpr absl::Duration most_retry_after = absl::Seconds(1);
/// Part of the time left that a caller waits at the most when it is told to.
constexpr double obeyed_share = 1.0 / 3;

attempt_outcome refusal_outcome(result_code code) {
    switch (code) {
    case result_code::upstream_leaving:
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

entry_call::entry_call(proxy_core& core, served_request& request) : m_core(core), m_request(request) {}

asio::awaitable<serve_result> entry_call::serve() {
    ++m_core.counters.entry_requests;
    if (!m_core.has_configuration) {
        co_return co_await refuse(result_code::no_configuration, execution::not_run, "");
    }
    const auto path = m_request.head.target();
    const auto host = m_request.head[http::field::host];
    const route_match found =
        m_core.requests.match({host.data(), host.size()}, m_request.method(), {path.data(), path.size()});
    if (found.refusal != result_code::ok) {
        co_return co_await refuse(found.refusal, execution::not_run,
                                  fmt::format("{} {}", m_request.method(), std::string_view(path.data(), path.size())));
    }
    co_return co_await serve_route(*found.matched);
}

void entry_call::give_up_if_unreachable(absl::Time now) {
    if (m_abandon_attempt && m_core.requests.is_unreachable(m_remote_upstream, now) &&
        m_core.budget.available(m_service, now) >= 1) {
        m_core.log.info(
            fmt::format("owner-unreachable request={} upstream={}", m_request.info.request_id, m_remote_upstream));
        m_abandon_attempt();
    }
}

void entry_call::abandon() {
    m_is_abandoned = true;
    if (m_abandon_attempt) {
        m_abandon_attempt();
    }
}

asio::awaitable<serve_result> entry_call::serve_route(const route& target) {
    m_service = choose_service(target);
    m_deadline = deadline_of(target);
    set_target(target);
    m_core.budget.on_request(m_service, m_core.clock.now());
    m_request.info.caller_service = m_core.options.caller_service;
    m_request.info.is_repeatable = is_idempotent(target);
    m_request.info.priority = target.priority;
    routing_request facts;
    facts.is_idempotent = is_idempotent(target);
    facts.deadline = m_deadline;
    facts.target_time = m_target;
    facts.service = m_service;
    attempt_end last;
    last.code = result_code::no_upstream;
    int attempts = 0;
    while (true) {
        const routing_decision decision = m_core.requests.choose(target, facts, m_core.clock.now(), m_core.random);
        log_decision(decision, attempts + 1);
        if (decision.is_refused()) {
            if (attempts == 0) {
                last.code = decision.refusal;
            }
            co_return co_await refuse_after(last, decision.service);
        }
        ++attempts;
        ++m_core.counters.attempts;
        m_request.info.attempt = attempts;
        m_core.requests.on_started(decision.upstream_id, m_core.clock.now());
        last = co_await attempt(target, decision);
        m_core.requests.on_finished(decision.upstream_id, last.outcome, last.latency, std::nullopt, m_core.clock.now());
        if (last.report) {
            m_core.requests.on_report(decision.upstream_id, target.name, *last.report, m_core.clock.now());
        }
        m_sends += last.has_reached ? 1 : 0;
        if (last.outcome == attempt_outcome::refused_load) {
            m_shortest_backlog = std::min(m_shortest_backlog, last.backlog);
        }
        log_end(decision, last);
        if (last.result) {
            co_return *last.result;
        }
        if (m_is_abandoned) {
            m_request.keeps_connection = false;
            co_return serve_result{result_code::caller_disconnected, 0};
        }
        if (attempts >= max_tries || !may_retry(target, last, std::max(m_sends, 1))) {
            co_return co_await refuse_after(last, decision.upstream_id);
        }
        if (last.request_execution != execution::not_run) {
            m_run_failure = last.code;
        }
        ++m_core.counters.retries;
        facts.tried_upstreams.push_back(decision.upstream_id);
    }
}

const std::string& entry_call::choose_service(const route& target) {
    return target.weight_by_service.empty() ? target.service
                                            : m_core.splits[target.name].pick(target.weight_by_service);
}

asio::awaitable<entry_call::attempt_end> entry_call::attempt(const route& target, const routing_decision& decision) {
    const absl::Time started_at = m_core.clock.now();
    attempt_end ended;
    if (m_core.find_local(decision.upstream_id) != nullptr) {
        ended = co_await attempt_here(target, decision);
    } else {
        ended = co_await attempt_at_owner(target, decision);
    }
    m_abandon_attempt = nullptr;
    if (ended.latency == absl::ZeroDuration()) {
        ended.latency = m_core.clock.now() - started_at;
    }
    if (m_is_abandoned) {
        ended.outcome = attempt_outcome::cancelled;
    }
    co_return ended;
}

asio::awaitable<entry_call::attempt_end> entry_call::attempt_here(const route& target,
                                                                  const routing_decision& decision) {
    owner_call call(m_core, *m_core.find_local(decision.upstream_id), m_request, target.name, is_idempotent(target),
                    m_deadline);
    m_abandon_attempt = [&call] { call.abandon(); };
    const absl::Cleanup forget = [this] { m_abandon_attempt = nullptr; };
    const exchange_start started = co_await call.open();
    if (started.code != result_code::ok) {
        attempt_end refused = end_of(started);
        refused.has_reached = call.has_reached_upstream();
        refused.backlog = call.backlog();
        refused.report = call.report();
        co_return refused;
    }
    const unsigned status = call.status();
    if (may_replace_answer(target, status)) {
        co_await call.discard_answer();
        co_return replaced_answer(call.latency(), call.report());
    }
    const relay_result relayed = co_await call.relay_answer();
    attempt_end ended = end_of(relayed, status);
    ended.latency = call.latency();
    ended.report = call.report();
    co_return ended;
}

asio::awaitable<entry_call::attempt_end> entry_call::attempt_at_owner(const route& target,
                                                                      const routing_decision& decision) {
    http::request_header<> head(m_request.head);
    remove_hop_by_hop_headers(head);
    forwarding_info info = m_request.info;
    info.mesh = m_core.options.mesh;
    info.route = target.name;
    info.upstream = decision.upstream_id;
    info.time_left = m_deadline - m_core.clock.now();
    if (m_target < absl::InfiniteFuture()) {
        info.target = std::max(absl::ZeroDuration(), m_target - m_core.clock.now());
    }
    write_forwarding_headers(head, info);
    exchange sent(m_core.pool, m_core.options, m_core.clock);
    m_abandon_attempt = [&sent] { sent.abort(); };
    m_remote_upstream = decision.upstream_id;
    if (is_idempotent(target)) {
        m_core.remote_calls.insert(this);
    }
    const absl::Cleanup forget = [this] {
        m_abandon_attempt = nullptr;
        m_core.remote_calls.erase(this);
    };
    const absl::Time started_at = m_core.clock.now();
    // The owner answers within its own first-byte timeout; it must be the one to report it.
    const exchange::request request{decision.owner,
                                    head,
                                    m_request.body,
                                    is_idempotent(target),
                                    !m_request.body.is_whole(),
                                    m_deadline + owner_answer_slack,
                                    m_core.options.first_byte_timeout + m_core.options.connect_timeout};
    const exchange_start started = co_await sent.start(request);
    if (started.code != result_code::ok) {
        attempt_end failed = end_of(started);
        failed.has_reached = sent.has_sent();
        co_return failed;
    }
    const absl::Duration latency = m_core.clock.now() - started_at;
    const http::fields& fields = sent.response().get();
    if (!field_value(fields, header::outcome).empty()) {
        co_return co_await take_owner_refusal(sent);
    }
    const unsigned status = sent.response().get().result_int();
    const std::optional<owner_report> report = read_report(fields);
    if (may_replace_answer(target, status)) {
        sent.abort();
        co_return replaced_answer(latency, report);
    }
    const std::string& id = m_request.info.request_id;
    const auto set_headers = [this, &id](http::fields& out) {
        out.set(beast_view(m_core.options.headers.request_id), id);
    };
    const relay_result relayed =
        co_await m_core.relay.relay(sent, m_request, m_core.options.answer_buffer_bytes, set_headers);
    attempt_end ended = end_of(relayed, status);
    ended.latency = latency;
    ended.report = report;
    co_return ended;
}

asio::awaitable<entry_call::attempt_end> entry_call::take_owner_refusal(exchange& sent) {
    const http::fields& fields = sent.response().get();
    attempt_end ended;
    ended.report = read_report(fields);
    ended.request_execution =
        field_value(fields, header::outcome) == name(execution::not_run) ? execution::not_run : execution::may_have_run;
    const auto codes = result_codes();
    const auto code = static_cast<result_code>(number_or_zero<int>(fields, header::code));
    const auto known = std::ranges::find(codes, code, &result_code_entry::code);
    ended.code = known == codes.end() ? result_code::response_malformed : known->code;
    ended.outcome =
        ended.request_execution == execution::not_run ? refusal_outcome(ended.code) : attempt_outcome::sent_no_answer;
    ended.has_reached = !field_value(fields, header::reached).empty();
    ended.backlog = absl::Milliseconds(number_or_zero<int>(fields, header::backlog_ms));
    co_await sent.discard(max_refusal_bytes);
    co_return ended;
}

asio::awaitable<serve_result> entry_call::refuse_after(const attempt_end& last, std::string detail) {
    // An earlier attempt may have run, so the last one's "not run" is not the whole truth.
    if (m_run_failure && last.request_execution == execution::not_run) {
        return refuse(*m_run_failure, execution::may_have_run, std::move(detail));
    }
    return refuse(last.code, last.request_execution, std::move(detail));
}

asio::awaitable<serve_result> entry_call::refuse(result_code code, execution request_execution, std::string detail) {
    auto& count = request_execution == execution::not_run ? m_core.counters.refusals_not_run
                                                          : m_core.counters.refusals_may_have_run;
    ++count;
    // An unread body would be taken for the next request.
    if (!m_request.body.is_at_end()) {
        m_request.keeps_connection = false;
    }
    set_retry_after(code);
    if (m_core.log.is_enabled(log_level::info)) {
        const absl::Time now = m_core.clock.now();
        m_core.log.info(fmt::format(
            "refusal request={} service={} code={} execution={} sends={} after_ms={} target_in_ms={} retry_after_ms={}",
            m_request.info.request_id, m_service, name(code), name(request_execution), m_sends,
            absl::ToInt64Milliseconds(now - m_request.received_at),
            m_target == absl::InfiniteFuture() ? 0 : absl::ToInt64Milliseconds(m_target - now),
            absl::ToInt64Milliseconds(m_request.retry_after.value_or(absl::ZeroDuration()))));
    }
    return write_refusal(m_request, code, request_execution, std::move(detail));
}

bool entry_call::may_replace_answer(const route& target, unsigned status) {
    const int limit = target.max_attempts > 0 ? target.max_attempts : 1;
    return status >= least_failure_status && is_idempotent(target) && m_request.body.is_replayable() &&
           m_sends + 1 < limit && m_core.clock.now() + least_second_attempt < m_deadline &&
           m_core.budget.available(m_service, m_core.clock.now()) >= 1;
}

entry_call::attempt_end entry_call::replaced_answer(absl::Duration latency, std::optional<owner_report> report) {
    attempt_end ended;
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
    const absl::Time now = m_core.clock.now();
    const absl::Duration backlog =
        m_shortest_backlog == absl::InfiniteDuration() ? least_retry_after : m_shortest_backlog;
    // The caller may still meet its target if the backlog clears in time; otherwise it only has to meet its deadline.
    // Callers obey up to a third of the time that they have left. All waits are spread, so that callers that were
    // refused together do not return together.
    const absl::Duration time_left =
        m_request.info.time_left.value_or(most_retry_after) - (now - m_request.received_at);
    const absl::Duration longest = time_left * obeyed_share;
    const absl::Duration base = now + backlog < m_target ? std::max(backlog, least_retry_after) : longest / 2;
    m_request.retry_after =
        std::max(least_retry_after, std::min(longest, base * absl::Uniform(m_core.random, 0.8, 1.6)));
}

void entry_call::set_target(const route& target) {
    if (target.target_latency <= absl::ZeroDuration()) {
        return;
    }
    const absl::Duration waited =
        m_request.info.time_left
            ? m_core.patience.time_already_waited(target.name, *m_request.info.time_left, m_request.received_at)
            : absl::ZeroDuration();
    m_target = m_request.received_at + target.target_latency - waited;
    m_request.info.target = std::max(absl::ZeroDuration(), m_target - m_request.received_at);
}

entry_call::attempt_end entry_call::end_of(const exchange_start& started) const {
    attempt_end ended;
    ended.code = started.code;
    ended.request_execution = started.request_execution;
    if (started.code == result_code::caller_disconnected) {
        ended.outcome = attempt_outcome::cancelled;
    } else if (started.request_execution == execution::not_run) {
        const bool is_connection = started.code == result_code::connection_lost;
        ended.outcome = is_connection ? attempt_outcome::connect_failed : refusal_outcome(started.code);
    } else {
        ended.outcome = attempt_outcome::sent_no_answer;
    }
    return ended;
}

entry_call::attempt_end entry_call::end_of(const relay_result& relayed, unsigned status) const {
    attempt_end ended;
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

bool entry_call::is_idempotent(const route& target) const {
    return target.may_repeat(retry_policy::is_idempotent_method(m_request.method()));
}

absl::Time entry_call::deadline_of(const route& target) const {
    absl::Duration limit = target.timeout;
    const auto found = m_core.state->services.find(m_service);
    if (limit <= absl::ZeroDuration() && found != m_core.state->services.end()) {
        limit = found->second.timeout;
    }
    if (limit <= absl::ZeroDuration()) {
        limit = m_core.options.default_timeout;
    }
    return m_request.received_at + std::min(limit, m_request.info.time_left.value_or(limit));
}

bool entry_call::may_retry(const route& target, const attempt_end& ended, int attempts) {
    failed_attempt failed;
    failed.service = m_service;
    failed.route_is_idempotent = is_idempotent(target);
    failed.max_attempts = target.max_attempts;
    failed.may_have_reached_upstream = ended.has_reached;
    failed.outcome = ended.outcome;
    failed.body_is_replayable = m_request.body.is_replayable();
    failed.deadline = m_deadline;
    failed.attempts = attempts;
    const retry_decision decided = m_core.retries.decide(failed, m_core.budget, m_core.clock.now());
    if (m_core.log.is_enabled(log_level::info)) {
        m_core.log.info(fmt::format("retry request={} allowed={} reason={}", m_request.info.request_id,
                                    decided.is_allowed, name(decided.reason)));
    }
    return decided.is_allowed;
}

void entry_call::log_decision(const routing_decision& decision, int attempt_number) const {
    if (!m_core.log.is_enabled(log_level::info)) {
        return;
    }
    m_core.log.info(fmt::format("routing request={} attempt={} {}", m_request.info.request_id, attempt_number,
                                to_log_line(decision)));
}

void entry_call::log_end(const routing_decision& decision, const attempt_end& ended) const {
    // A good answer needs no second line: the routing line and the absence of a failure say it.
    const log_level level = ended.outcome == attempt_outcome::answered ? log_level::debug : log_level::info;
    if (!m_core.log.is_enabled(level)) {
        return;
    }
    m_core.log.write(level,
                     fmt::format("attempt-end request={} upstream={} outcome={} code={} execution={} reached={} "
                                 "latency_ms={} backlog_ms={}",
                                 m_request.info.request_id, decision.upstream_id, name(ended.outcome), name(ended.code),
                                 name(ended.request_execution), ended.has_reached,
                                 absl::ToInt64Milliseconds(ended.latency), absl::ToInt64Milliseconds(ended.backlog)));
}

} // namespace amaranthladder
