#include "two_daemons.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace amaranthladder {

two_daemons::two_daemons(int slots, int queue_limit, const std::function<void(proxy_options&)>& adjust)
    : upstream({"127.0.0.1", 0}, "v1", {}), entry(make_proxy("entry", adjust)), owner(make_proxy("owner", adjust)),
      m_queue_limit(queue_limit), m_threads{std::thread([this] { upstream.run(); }),
                                            std::thread([this] { entry->run(); }),
                                            std::thread([this] { owner->run(); })} {
    record.id = "tienda-1";
    record.service = "tienda";
    record.version = "v1";
    record.data_center = "rosario-a";
    record.owner = owner->address();
    record.address = upstream.address();
    record.slots = slots;
    set_configuration(absl::ZeroDuration());
    for (auto* proxy : {entry.get(), owner.get()}) {
        proxy->set_upstreams({record});
    }
    owner->set_local_upstream(record, queue_limit);
}

two_daemons::~two_daemons() {
    upstream.stop();
    entry->stop();
    owner->stop();
    for (auto& thread : m_threads) {
        thread.join();
    }
}

httplib::Client two_daemons::client(bool through_entry) const {
    const endpoint address = through_entry ? entry->address() : owner->address();
    httplib::Client result(address.address, address.port);
    result.set_tcp_nodelay(true);
    result.set_keep_alive(true);
    result.set_read_timeout(std::chrono::seconds(30));
    return result;
}

void two_daemons::set_route_timeout(absl::Duration timeout) {
    set_configuration(timeout);
}

std::unique_ptr<request_proxy> two_daemons::make_proxy(const std::string& worker,
                                                       const std::function<void(proxy_options&)>& adjust) {
    proxy_options options;
    options.mesh = "litoral";
    options.worker = worker;
    options.listen_address = {"127.0.0.1", 0};
    options.header_timeout = absl::Milliseconds(300);
    options.first_byte_timeout = absl::Milliseconds(700);
    adjust(options);
    return std::make_unique<request_proxy>(
        options, router_settings{.data_center = "rosario-a"}, retry_budget_policy{}, clock, log,
        upstream_observer{[](const upstream_call_result& /*call*/) {}, [](const std::string& /*id*/) {}});
}

void two_daemons::set_configuration(absl::Duration route_timeout) {
    auto state = std::make_shared<intended_state>();
    state->services["tienda"] = {"tienda", absl::Seconds(5), m_queue_limit, {}};
    state->routes["orders"] = {"orders", "tienda", "/", {}, route_kind::by_method, route_timeout, {}};
    state->routes["reads"] = {"reads", "tienda", "/only-get", {"GET"}, route_kind::by_method, route_timeout, {}};
    state->routes["uploads"] = {"uploads", "tienda", "/upload", {}, route_kind::upload, route_timeout, {}};
    for (auto* proxy : {entry.get(), owner.get()}) {
        proxy->set_configuration(state);
    }
}

std::string code_of(const httplib::Result& result) {
    return result ? result->get_header_value("x-amaranthladder-code") : "no answer";
}

raw_connection::raw_connection(const endpoint& address, absl::Duration receive_timeout)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &remote.sin_addr);
    const timeval limit = absl::ToTimeval(receive_timeout);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    m_is_open = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0;
}

raw_connection::~raw_connection() {
    ::close(m_socket);
}

bool raw_connection::send(const std::string& bytes) {
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::string raw_connection::receive() {
    char chunk[4096];
    const auto size = ::recv(m_socket, chunk, sizeof(chunk), 0);
    return size > 0 ? std::string(chunk, static_cast<std::size_t>(size)) : std::string();
}

std::string raw_connection::receive_all() {
    std::string received;
    for (std::string piece = receive(); !piece.empty(); piece = receive()) {
        received += piece;
    }
    return received;
}

std::string raw_connection::receive_until(const std::string& text, int count) {
    std::string received;
    while (true) {
        int found = 0;
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + text.size())) {
            ++found;
        }
        if (found >= count) {
            return received;
        }
        const std::string piece = receive();
        if (piece.empty()) {
            return received;
        }
        received += piece;
    }
}

std::string send_raw(const endpoint& address, const std::string& bytes) {
    raw_connection connection(address);
    return connection.is_open() && connection.send(bytes) ? connection.receive_all() : "";
}

} // namespace amaranthladder
