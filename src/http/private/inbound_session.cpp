#include "http/private/inbound_session.h"

#include "common/error.h"
#include "http/private/disconnect_watch.h"
#include "http/private/entry_call.h"
#include "http/private/owner_call.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::size_t first_read_bytes = std::size_t{8} * 1024;
/// Above the depth of the longest call chains; stops requests that loop between upstreams and daemons.
constexpr int max_hops = 64;
/// HTTP/1.1; earlier versions do not allow requests before the response to an earlier one.
constexpr unsigned min_pipelined_version = 11;
/// Limit for the rest of a request body that is read and discarded before a connection is closed.
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
constexpr auto discard_timeout = std::chrono::seconds(2);

bool expects_continue(const http::request_header<>& head) {
    return beast::iequals(head[http::field::expect], "100-continue");
}

} // namespace

inbound_session::inbound_session(proxy_state& proxy, asio::ip::tcp::socket socket, peer_type peer)
    : m_proxy(proxy), m_peer_type(peer), m_stream(std::move(socket)),
      m_buffer(proxy.options.max_header_bytes + proxy.options.body_buffer_bytes),
      m_pipeline(1 + proxy.options.max_requests_ahead) {
    // A daemon serves the requests of its own host itself, so those of daemons come over the link.
    if (peer == peer_type::daemon || !has_local_peer(m_stream)) {
        m_stream.rate_policy().count_in(&proxy.link_bytes);
    }
}

asio::awaitable<void> inbound_session::run() {
    try {
        bool is_open = true;
        while (is_open) {
            const request_pointer next = co_await next_request();
            is_open = next && co_await serve_front(next);
        }
    } catch (const std::exception& problem) {
        m_proxy.log.error(fmt::format("session-failed reason=\"{}\"", problem.what()));
        m_stream.close();
    }
    // Requests that are still being served refer to this session.
    co_await end_pipeline();
    m_stream.close();
}

void inbound_session::close_if_idle() {
    error_code ignored;
    if (m_is_idle && m_stream.socket().available(ignored) == 0) {
        // A read that has completed but is not handled yet is unaffected by cancel(), so its request is answered.
        // After close() the request would be forwarded and its response lost.
        m_stream.cancel();
    }
}

void inbound_session::close() {
    m_stream.close();
}

asio::awaitable<inbound_session::request_pointer> inbound_session::next_request() {
    if (m_pipeline.is_empty()) {
        co_await stop_reading_ahead();
    }
    if (!m_pipeline.is_empty()) {
        co_return m_pipeline.front();
    }
    error_code failure = m_read_failure;
    if (!failure) {
        if (!m_reading) {
            m_is_idle = true;
            if (!(co_await wait_for_request())) {
                co_return nullptr;
            }
            m_is_idle = false;
            m_reading = make_pending_request();
        }
        if (!m_reading->parser.is_header_done()) {
            m_stream.expires_after(absl::ToChronoNanoseconds(m_proxy.options.header_timeout));
            failure = co_await read_header(*m_reading);
        }
    }
    if (failure) {
        co_await refuse_header(failure);
        co_return nullptr;
    }
    const request_pointer read = std::exchange(m_reading, nullptr);
    add_read_request(read);
    co_return read;
}

asio::awaitable<bool> inbound_session::wait_for_request() {
    if (m_buffer.size() > 0) {
        co_return true;
    }
    const caller_limits* limits = m_peer_type == peer_type::daemon ? nullptr : m_proxy.find_caller_limits();
    const absl::Duration idle = limits == nullptr ? absl::ZeroDuration() : limits->idle_timeout;
    m_stream.expires_after(absl::ToChronoNanoseconds(std::max(idle, m_proxy.options.keep_alive_timeout)));
    const auto [failure, size] = co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), as_result);
    m_buffer.commit(size);
    co_return !failure;
}

inbound_session::request_pointer inbound_session::make_pending_request() {
    auto reading = std::make_shared<pending_request>(m_stream.get_executor(), m_proxy.clock.now());
    reading->parser.header_limit(static_cast<std::uint32_t>(m_proxy.options.max_header_bytes));
    reading->parser.body_limit(boost::none);
    return reading;
}

asio::awaitable<error_code> inbound_session::read_header(pending_request& reading) {
    const auto [failure, size] = co_await http::async_read_header(m_stream, m_buffer, reading.parser, as_result);
    co_return failure;
}

asio::awaitable<void> inbound_session::refuse_header(error_code failure) {
    ++m_proxy.counters.malformed_requests;
    if (!is_malformed(failure)) {
        co_return;
    }
    const http::request_header<> no_header;
    const request_pointer reading = m_reading ? std::exchange(m_reading, nullptr) : make_pending_request();
    request_body no_body(m_stream, m_buffer, reading->parser, 0, m_proxy.options.body_idle_timeout);
    served_request request{m_stream, no_header, no_body, {}, reading->received_at, false, false};
    std::string detail = failure.message();
    m_proxy.log.warning(fmt::format("malformed-request reason=\"{}\"", detail));
    co_await write_refusal(request,
                           is_too_large(failure) ? result_code::headers_too_large : result_code::request_malformed,
                           execution::not_run, std::move(detail));
    co_await close_after_response();
}

void inbound_session::add_read_request(const request_pointer& read) {
    prepare(*read);
    if (!m_pipeline.is_empty()) {
        ++m_proxy.requests_ahead;
    }
    const served_request& request = *read->request;
    const bool is_last = !read->body->is_at_end() || request.expects_continue || !request.keeps_connection ||
                         request.head.version() < min_pipelined_version || !read->problem.empty() ||
                         request.info.is_from_entry();
    m_pipeline.push(read, is_repeatable(*read), is_last);
}

void inbound_session::prepare(pending_request& next) {
    const http::request_header<>& head = next.parser.get();
    next.body.emplace(m_stream, m_buffer, next.parser, m_proxy.options.body_buffer_bytes,
                      m_proxy.options.body_idle_timeout);
    next.request.emplace(served_request{
        m_stream, head, *next.body, {}, next.received_at, expects_continue(head), next.parser.keep_alive()});
    next.request->turn = &next.turn;
    next.request->must_close = [this, &next] {
        return !next.request->info.is_from_entry() && must_close_after_response();
    };
    try {
        next.request->info = read_forwarding_info(head);
        deduct_transit_delay(*next.request);
    } catch (const error& failure) {
        next.problem = failure.what();
    }
}

bool inbound_session::must_close_after_response() const {
    // Requests that have been read must be answered first.
    return m_proxy.drain.has_started() && m_pipeline.size() <= 1 && !m_reading && m_buffer.size() == 0;
}

bool inbound_session::is_repeatable(const pending_request& next) const {
    const served_request& request = *next.request;
    if (!next.problem.empty() || request.expects_continue || !next.body->is_at_end() || request.info.is_from_entry()) {
        return false;
    }
    const auto path = request.head.target();
    const auto host = request.head[http::field::host];
    const route_match found =
        m_proxy.request_router.match({host.data(), host.size()}, request.method(), {path.data(), path.size()});
    return found.refusal == result_code::ok &&
           found.matched->may_repeat(retry_policy::is_idempotent_method(request.method()));
}

asio::awaitable<bool> inbound_session::serve_front(const request_pointer& next) {
    next->turn.set();
    if (m_pipeline.start_front()) {
        co_await serve_logged(next);
    } else {
        start_reading_ahead();
        const std::unique_ptr<disconnect_watch> watch = watch_for_disconnect();
        co_await next->ended.wait();
    }
    if (m_pipeline.is_empty()) {
        co_return false; // The caller has left.
    }
    pop_front();
    if (!next->request->keeps_connection || !next->body->is_at_end()) {
        co_await end_pipeline();
        co_await close_after_response();
        co_return false;
    }
    co_return m_stream.socket().is_open();
}

asio::awaitable<void> inbound_session::serve_logged(request_pointer next) {
    try {
        co_await serve_request(next);
    } catch (const std::exception& problem) {
        m_proxy.log.error(
            fmt::format("request-failed request={} reason=\"{}\"", next->request->info.request_id, problem.what()));
        next->request->keeps_connection = false;
    }
    next->ended.set();
}

asio::awaitable<void> inbound_session::serve_request(const request_pointer& next) {
    ++m_proxy.counters.requests_in_flight;
    const absl::Cleanup ended = [&proxy = m_proxy] { --proxy.counters.requests_in_flight; };
    served_request& request = *next->request;
    if (!next->problem.empty()) {
        request.keeps_connection = false;
        co_await write_refusal(request, result_code::request_malformed, execution::not_run, next->problem);
    } else if (request.info.is_from_entry()) {
        co_await serve_as_owner(*next);
    } else {
        co_await serve_as_entry(*next);
    }
}

bool inbound_session::may_read_ahead() {
    return m_peer_type != peer_type::daemon && !m_is_read_stopping && !m_read_failure && !m_proxy.drain.has_started() &&
           m_pipeline.may_read() && m_proxy.requests_ahead < m_proxy.options.max_requests_ahead_total;
}

void inbound_session::start_reading_ahead() {
    if (!m_read_end && may_read_ahead()) {
        m_read_end = std::make_shared<one_shot_event>(m_stream.get_executor());
        asio::co_spawn(m_proxy.context, read_ahead(), asio::detached);
    }
}

std::unique_ptr<disconnect_watch> inbound_session::watch_for_disconnect() {
    if (m_read_end) {
        return nullptr;
    }
    return std::make_unique<disconnect_watch>(
        m_stream, [this] { disconnect(); }, [this] { start_reading_ahead(); });
}

asio::awaitable<void> inbound_session::read_ahead() {
    const std::shared_ptr<one_shot_event> end = m_read_end;
    try {
        co_await read_ahead_until_stopped();
    } catch (const std::exception& problem) {
        m_proxy.log.error(fmt::format("session-failed reason=\"{}\"", problem.what()));
        m_read_failure = asio::error::connection_aborted;
    }
    m_read_end = nullptr;
    end->set();
    if (m_read_failure && !is_malformed(m_read_failure)) {
        disconnect();
    }
}

asio::awaitable<void> inbound_session::read_ahead_until_stopped() {
    while (may_read_ahead()) {
        // Without a time limit: a timeout would close the connection under the requests that are being served.
        m_stream.expires_never();
        error_code failure;
        if (!m_reading && m_buffer.size() == 0) {
            const auto [read_failure, size] =
                co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), as_result);
            m_buffer.commit(size);
            failure = read_failure;
        } else {
            if (!m_reading) {
                m_reading = make_pending_request();
            }
            if (!m_reading->parser.is_header_done()) {
                failure = co_await read_header(*m_reading);
            }
        }
        if (failure) {
            m_read_failure = m_is_read_stopping && failure == asio::error::operation_aborted ? error_code{} : failure;
            co_return;
        }
        // Other connections may have read ahead meanwhile, so the limit is checked again.
        if (m_reading && m_reading->parser.is_header_done() && may_read_ahead()) {
            add_read_request(std::exchange(m_reading, nullptr));
            start_behind();
        }
    }
}

void inbound_session::start_behind() {
    for (const request_pointer& next : m_pipeline.start_behind()) {
        m_proxy.log.info(fmt::format("request-ahead request={} in_front={} outstanding={} outstanding_in_all={}",
                                     next->request->info.request_id, m_pipeline.front()->request->info.request_id,
                                     m_pipeline.size(), m_proxy.requests_ahead));
        asio::co_spawn(m_proxy.context, serve_logged(next), asio::detached);
    }
}

asio::awaitable<void> inbound_session::stop_reading_ahead() {
    if (const std::shared_ptr<one_shot_event> end = m_read_end) {
        m_is_read_stopping = true;
        m_stream.cancel();
        co_await end->wait();
        m_is_read_stopping = false;
    }
}

void inbound_session::pop_front() {
    m_pipeline.pop();
    m_proxy.requests_ahead -= m_pipeline.is_empty() ? 0 : 1;
}

void inbound_session::cancel_all() {
    m_proxy.requests_ahead -= m_pipeline.is_empty() ? 0 : m_pipeline.size() - 1;
    for (request_pointer& started : m_pipeline.clear()) {
        started->is_cancelled = true;
        if (started->cancel) {
            started->cancel();
        }
        started->turn.set();
        m_cancelled.push_back(std::move(started));
    }
}

void inbound_session::disconnect() {
    m_stream.close();
    cancel_all();
}

asio::awaitable<void> inbound_session::end_pipeline() {
    co_await stop_reading_ahead();
    cancel_all();
    for (const request_pointer& started : std::exchange(m_cancelled, {})) {
        co_await started->ended.wait();
    }
}

forwarding_info inbound_session::read_forwarding_info(const http::request_header<>& head) const {
    const bool names_upstream = !field_value(head, header::upstream).empty();
    if (m_peer_type == peer_type::daemon && !names_upstream) {
        throw error(result_code::request_malformed, "the request does not name an upstream");
    }
    if (!names_upstream || m_peer_type == peer_type::caller) {
        return read_caller_headers(head, m_proxy.options.headers);
    }
    forwarding_info info = read_forwarding_headers(head);
    if (m_peer_type != peer_type::daemon) {
        info.tenant.clear(); // Callers use this address, too, and could claim any tenant.
    }
    return info;
}

void inbound_session::deduct_transit_delay(served_request& request) {
    forwarding_info& info = request.info;
    if (!info.sent) {
        return;
    }
    const absl::Duration delay = m_proxy.transit_delays.observe(*info.sent, request.received_at);
    if (delay == absl::ZeroDuration()) {
        return;
    }
    ++m_proxy.counters.delayed_requests;
    const auto deduct = [delay](std::optional<absl::Duration>& left) {
        if (left) {
            left = std::max(absl::ZeroDuration(), *left - delay);
        }
    };
    deduct(info.time_left);
    deduct(info.target_time_left);
    m_proxy.log.info(fmt::format("transit-delay request={} delay_ms={} time_left_ms={}", info.request_id,
                                 absl::ToInt64Milliseconds(delay),
                                 absl::ToInt64Milliseconds(info.time_left.value_or(absl::InfiniteDuration()))));
}

absl::Duration inbound_session::time_left(const served_request& request) const {
    return request.received_at + request.info.time_left.value_or(m_proxy.options.default_timeout) - m_proxy.clock.now();
}

asio::awaitable<serve_result> inbound_session::serve_as_entry(pending_request& next) {
    served_request& request = *next.request;
    if (request.info.request_id.empty()) {
        request.info.request_id = make_request_id();
    }
    if (++request.info.hop > max_hops) {
        request.keeps_connection = false;
        co_return co_await write_refusal(request, result_code::too_many_hops, execution::not_run, "");
    }
    if (request.expects_continue && !(co_await write_continue(request, m_proxy.options.body_idle_timeout))) {
        request.keeps_connection = false;
        co_return serve_result{result_code::caller_disconnected, 0};
    }
    if (!request.body.is_at_end()) {
        if (const error_code failure = co_await request.body.read_prefix(time_left(request))) {
            request.keeps_connection = false;
            co_return co_await write_refusal(request, result_code::request_malformed, execution::not_run,
                                             failure.message());
        }
        if (request.body.is_whole() && request.head.version() >= min_pipelined_version && request.keeps_connection) {
            m_pipeline.reopen();
        }
    }
    if (next.is_cancelled) {
        request.keeps_connection = false;
        co_return serve_result{result_code::caller_disconnected, 0};
    }
    entry_call call(m_proxy, request);
    next.cancel = [&call] { call.cancel(); };
    const absl::Cleanup forget = [&next] { next.cancel = nullptr; };
    const bool is_front = next.turn.is_set();
    if (!is_front || !request.body.is_whole()) {
        // A disconnect is detected by what reads from the connection: read_ahead(), or the transfer of the body.
        co_return co_await call.serve();
    }
    if (m_buffer.size() > 0) {
        start_reading_ahead();
    }
    const std::unique_ptr<disconnect_watch> watch = watch_for_disconnect();
    co_return co_await call.serve();
}

asio::awaitable<serve_result> inbound_session::serve_as_owner(pending_request& next) {
    served_request& request = *next.request;
    ++m_proxy.counters.owner_requests;
    if (request.info.mesh != m_proxy.options.mesh) {
        request.keeps_connection = false;
        co_return co_await write_refusal(request, result_code::request_malformed, execution::not_run,
                                         "the request belongs to another mesh");
    }
    std::optional<body_permit> permit;
    if (request.expects_continue) {
        if (const std::optional<serve_result> ended = co_await receive_requested_body(request, permit)) {
            co_return *ended;
        }
    } else if (const error_code failure = co_await request.body.read_prefix(time_left(request))) {
        request.keeps_connection = false;
        co_return serve_result{result_code::caller_disconnected, 0};
    }
    if (m_peer_type != peer_type::daemon && m_proxy.tenants.is_in_use()) {
        // A caller could name a tenant without its key.
        m_proxy.log.error(fmt::format("owner-address-missing request={} reason=\"requests of other daemons are refused "
                                      "at the callers' address while there are tenants\"",
                                      request.info.request_id));
        request.keeps_connection = request.keeps_connection && request.body.is_at_end();
        co_return co_await write_refusal(request, result_code::no_upstream, execution::not_run,
                                         "tenants need a separate address for daemons");
    }
    // Must follow the read of the body: the upstream may be removed while this coroutine is suspended.
    const local_upstream* upstream = m_proxy.find_local_upstream(request.info.upstream);
    if (upstream == nullptr || upstream->is_version_refused) {
        // After this refusal an entry that has not yet learned of the rollback retries at another upstream.
        request.keeps_connection = request.keeps_connection && request.body.is_at_end();
        co_return co_await write_refusal(request, result_code::no_upstream, execution::not_run, request.info.upstream);
    }
    const absl::Time deadline = request.received_at + request.info.time_left.value_or(m_proxy.options.default_timeout);
    owner_call call(m_proxy, *upstream, request, request.info.route, request.info.is_idempotent, deadline);
    std::optional<disconnect_watch> watch;
    if (request.body.is_whole()) {
        watch.emplace(m_stream, [&call] { call.cancel(); });
    }
    co_return co_await respond_as_owner(request, call);
}

body_offer inbound_session::make_body_offer(const served_request& request, const local_upstream& upstream) const {
    const slot_limiter& limiter = upstream.semaphore->limiter();
    const absl::Time now = m_proxy.clock.now();
    const absl::Duration work = limiter.expected_service_time(request.info.route) + limiter.backlog(now);
    body_offer offered;
    offered.id = m_proxy.next_request_id++;
    offered.bytes = request.body.declared_size().value_or(m_proxy.options.requested_body_buffer_bytes);
    offered.latest_arrival = now + time_left(request) - work;
    if (request.info.target_time_left) {
        const absl::Time target = request.received_at + *request.info.target_time_left - work;
        // A late request must not delay those that can still meet their targets.
        offered.may_wait = target > now;
        offered.latest_arrival = offered.may_wait ? std::min(target, offered.latest_arrival) : offered.latest_arrival;
    }
    return offered;
}

asio::awaitable<std::optional<serve_result>>
inbound_session::receive_requested_body(served_request& request, std::optional<body_permit>& permit) {
    const absl::Time started_at = m_proxy.clock.now();
    const local_upstream* const upstream = m_proxy.find_local_upstream(request.info.upstream);
    const body_offer offered = upstream == nullptr ? body_offer{} : make_body_offer(request, *upstream);
    result_code admitted = result_code::no_upstream;
    if (upstream != nullptr) {
        // The entry sends nothing until it is asked for the body, so that only a disconnect can be noticed.
        const disconnect_watch watch(m_stream, [this, id = offered.id] { m_proxy.bodies.cancel(id); });
        admitted = co_await m_proxy.bodies.acquire(offered);
    }
    const absl::Duration waited = m_proxy.clock.now() - started_at;
    if (m_proxy.log.is_enabled(log_level::info)) {
        const body_admission& admission = m_proxy.bodies.admission();
        m_proxy.log.info(fmt::format("body-admission request={} upstream={} result={} bytes={} waited_ms={} "
                                     "transfers={} waiting={}",
                                     request.info.request_id, request.info.upstream, name(admitted), offered.bytes,
                                     absl::ToInt64Milliseconds(waited), admission.transfers(), admission.waiting()));
    }
    if (admitted == result_code::caller_disconnected) {
        request.keeps_connection = false;
        co_return serve_result{admitted, 0};
    }
    if (admitted != result_code::ok) {
        ++m_proxy.counters.bodies_refused;
        // The rest of the connection would be taken for the body.
        request.keeps_connection = false;
        if (const local_upstream* const known = m_proxy.find_local_upstream(request.info.upstream)) {
            request.backlog = known->semaphore->limiter().backlog(m_proxy.clock.now());
        }
        co_return co_await write_refusal(request, admitted, execution::not_run, request.info.upstream);
    }
    ++m_proxy.counters.bodies_received;
    permit.emplace(m_proxy.bodies, offered.id);
    if (offered.bytes <= m_proxy.options.requested_body_buffer_bytes) {
        request.body.raise_prefix_limit(offered.bytes);
    }
    if (!(co_await write_continue(request, m_proxy.options.body_idle_timeout)) ||
        co_await request.body.read_prefix(time_left(request))) {
        request.keeps_connection = false;
        co_return serve_result{result_code::caller_disconnected, 0};
    }
    request.expects_continue = false;
    if (request.body.is_whole()) {
        m_proxy.bodies.on_transferred(offered.id);
    }
    co_return std::nullopt;
}

asio::awaitable<serve_result> inbound_session::respond_as_owner(served_request& request, owner_call& call) {
    const exchange_status started = co_await call.start();
    relay_result relayed{started.code, false};
    execution request_execution = started.request_execution;
    if (started.code == result_code::ok) {
        relayed = co_await call.relay_response();
        request_execution = execution::may_have_run;
    }
    if (relayed.code != result_code::ok) {
        request.keeps_connection = request.keeps_connection && request.body.is_at_end() && !relayed.has_begun;
    }
    if (relayed.code == result_code::ok || relayed.has_begun || relayed.code == result_code::caller_disconnected) {
        co_return serve_result{relayed.code, 0};
    }
    request.may_have_reached_upstream = call.may_have_reached_upstream();
    request.backlog = call.backlog();
    request.report = call.report();
    co_return co_await write_refusal(request, relayed.code, request_execution, request.info.upstream);
}

asio::awaitable<void> inbound_session::close_after_response() {
    // Closing a socket with unread data resets the connection, and the peer may lose the response just sent.
    error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::size_t discarded = 0;
    m_stream.expires_after(discard_timeout);
    while (discarded < max_discarded_bytes) {
        m_buffer.clear();
        const auto [failure, size] = co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), as_result);
        if (failure) {
            break;
        }
        discarded += size;
    }
}

std::string inbound_session::make_request_id() {
    return fmt::format("{}-{:016x}", m_proxy.options.worker, absl::Uniform<std::uint64_t>(m_proxy.random));
}

} // namespace amaranthladder
