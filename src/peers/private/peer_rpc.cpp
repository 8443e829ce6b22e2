#include "peers/private/peer_rpc.h"

#include "common/error.h"
#include "peers/message_codec.h"
#include "peers/private/wire_conversion.h"

#include <absl/synchronization/notification.h>
#include <fmt/format.h>
#include <peer_exchange.h>
#include <thrift/TConfiguration.h>
#include <thrift/TOutput.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadPoolServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <thread>
#include <utility>

namespace amaranthladder {

namespace {

using namespace apache::thrift;

constexpr int max_request_bytes = 2 * 1024 * 1024;
constexpr int max_answer_bytes = 17 * 1024 * 1024; // Fits a whole snapshot of 16 MB.
constexpr int recursion_limit = 16;
constexpr std::size_t frame_header_bytes = 4;
// Thrift reserves memory for a list before reading it. The largest list is a whole table: 900 KB of records of at least
// 45 bytes.
constexpr int max_elements = 32 * 1024;
constexpr int max_pending_calls = 32;

thread_local rpc_kind current_call_kind = rpc_kind::pull;

int milliseconds(absl::Duration duration) {
    return static_cast<int>(absl::ToInt64Milliseconds(duration));
}

/// Framed transport that reports the bytes sent and received by each call.
class counting_transport : public transport::TFramedTransport {
public:
    using report_function = std::function<void(std::size_t sent, std::size_t received)>;

    counting_transport(const std::shared_ptr<transport::TTransport>& inner, int max_frame, report_function report)
        : TFramedTransport(inner, std::make_shared<TConfiguration>(max_frame, max_frame, recursion_limit)),
          m_report(std::move(report)) {}

    void flush() override {
        const auto sent = static_cast<std::size_t>(wBase_ - wBuf_.get());
        TFramedTransport::flush();
        m_report(sent, m_received);
        m_received = 0;
    }

    // Reports the bytes received since the last flush, i.e. the response to a client's call.
    void report_received() {
        if (m_received != 0) {
            m_report(0, std::exchange(m_received, 0));
        }
    }

protected:
    bool readFrame() override {
        const bool is_read = TFramedTransport::readFrame();
        m_received += is_read ? static_cast<std::size_t>(rBound_ - rBase_) + frame_header_bytes : 0;
        return is_read;
    }

private:
    report_function m_report;
    std::size_t m_received = 0;
};

class counting_transport_factory : public transport::TTransportFactory {
public:
    explicit counting_transport_factory(rpc_traffic_callback traffic) : m_traffic(std::move(traffic)) {}

    std::shared_ptr<transport::TTransport> getTransport(std::shared_ptr<transport::TTransport> inner) override {
        return std::make_shared<counting_transport>(inner, max_request_bytes,
                                                    [traffic = m_traffic](std::size_t sent, std::size_t received) {
                                                        traffic(current_call_kind, sent, received);
                                                    });
    }

private:
    rpc_traffic_callback m_traffic;
};

class handler : public wire::peer_exchangeIf {
    // Defined before its uses because its return type is deduced.
    template <typename Answer> auto answer_call(rpc_kind kind, std::int64_t mesh, Answer&& answer) {
        current_call_kind = kind;
        if (static_cast<std::uint64_t>(mesh) != m_mesh_hash) {
            throw refused(result_code::message_other_mesh);
        }
        try {
            return answer();
        } catch (const error& problem) {
            throw refused(problem.code());
        }
    }

public:
    handler(std::uint64_t mesh, rpc_handlers handlers) : m_mesh_hash(mesh), m_handlers(std::move(handlers)) {}

    void pull(std::string& answer, const wire::pull_request& request) override {
        answer = answer_call(rpc_kind::pull, request.mesh_hash,
                             [&] { return m_handlers.pull(wire_conversion::from_wire(request.held)); });
    }

    void compare(wire::repair_difference& answer, const wire::repair_offer& offered) override {
        answer = answer_call(rpc_kind::repair, offered.mesh_hash, [&] {
            return wire_conversion::to_wire(m_handlers.compare(wire_conversion::from_wire(offered)));
        });
    }

    void exchange(wire::repair_records& answer, const wire::repair_exchange& request) override {
        answer = answer_call(rpc_kind::repair, request.mesh_hash, [&] {
            return wire_conversion::to_wire(m_handlers.exchange(wire_conversion::from_wire(request)));
        });
    }

private:
    static wire::refusal refused(result_code code) {
        wire::refusal out;
        out.code = static_cast<std::int32_t>(code);
        return out;
    }

    std::uint64_t m_mesh_hash;
    rpc_handlers m_handlers;
};

/// Server socket that is opened before the server thread starts, so that a port conflict is detected in the
/// constructor. The server's own call of listen() then has no effect.
class prebound_server_socket : public transport::TServerSocket {
public:
    using TServerSocket::TServerSocket;

    void listen() override {
        if (!isOpen()) {
            TServerSocket::listen();
        }
    }
};

/// Signals that the server has started to serve.
class start_observer : public server::TServerEventHandler {
public:
    void preServe() override {
        listening.Notify();
    }

    absl::Notification listening;
};

} // namespace

class rpc_server::implementation {
public:
    implementation(const peer_settings& settings, rpc_handlers handlers, rpc_traffic_callback traffic)
        : m_address(settings.address), m_observer(std::make_shared<start_observer>()) {
        // Disables Thrift's log output: connections that end early are normal, and failed calls are counted.
        GlobalOutput.setOutputFunction([](const char* /*text*/) {});
        const auto socket = std::make_shared<prebound_server_socket>(m_address.address, m_address.port);
        socket->setSendTimeout(milliseconds(settings.rpc_timeout));
        socket->setRecvTimeout(milliseconds(settings.rpc_timeout));
        try {
            socket->listen();
        } catch (const TException& problem) {
            throw error(result_code::listen_failed,
                        fmt::format("{} over TCP: {}", to_string(m_address), problem.what()));
        }
        const auto threads =
            concurrency::ThreadManager::newSimpleThreadManager(settings.rpc_threads, max_pending_calls);
        threads->threadFactory(std::make_shared<concurrency::ThreadFactory>());
        threads->start();
        const auto processor = std::make_shared<wire::peer_exchangeProcessor>(
            std::make_shared<handler>(message_codec::mesh_hash(settings.mesh), std::move(handlers)));
        m_server = std::make_unique<server::TThreadPoolServer>(
            processor, socket, std::make_shared<counting_transport_factory>(std::move(traffic)),
            std::make_shared<protocol::TCompactProtocolFactory>(max_request_bytes, max_elements), threads);
        m_server->setServerEventHandler(m_observer);
    }

    void start() {
        m_thread = std::thread([this] { serve(); });
        while (!m_observer->listening.WaitForNotificationWithTimeout(absl::Milliseconds(1))) {
            if (m_failed.HasBeenNotified()) {
                m_thread.join();
                throw error(result_code::listen_failed,
                            to_string(m_address) + " over TCP: the server thread ended before serving");
            }
        }
    }

    void stop() {
        if (m_thread.joinable()) {
            m_server->stop();
            m_thread.join();
        }
    }

private:
    void serve() {
        try {
            m_server->serve();
        } catch (const TException&) {
            m_failed.Notify();
        }
    }

    endpoint m_address;
    std::shared_ptr<start_observer> m_observer;
    std::unique_ptr<server::TThreadPoolServer> m_server;
    std::thread m_thread;
    absl::Notification m_failed;
};

rpc_server::rpc_server(const peer_settings& settings, rpc_handlers handlers, rpc_traffic_callback traffic)
    : m_implementation(std::make_unique<implementation>(settings, std::move(handlers), std::move(traffic))) {}

rpc_server::~rpc_server() {
    m_implementation->stop();
}

void rpc_server::start() {
    m_implementation->start();
}

void rpc_server::stop() {
    m_implementation->stop();
}

class rpc_client::implementation {
public:
    implementation(const peer_settings& settings, const endpoint& peer, rpc_kind kind, rpc_traffic_callback traffic)
        : m_peer(peer), m_mesh_hash(message_codec::mesh_hash(settings.mesh)) {
        const auto limits = std::make_shared<TConfiguration>(max_answer_bytes, max_answer_bytes, recursion_limit);
        const auto socket = std::make_shared<transport::TSocket>(peer.address, peer.port, limits);
        socket->setConnTimeout(milliseconds(settings.rpc_connect_timeout));
        socket->setSendTimeout(milliseconds(settings.rpc_timeout));
        socket->setRecvTimeout(milliseconds(settings.rpc_timeout));
        m_transport = std::make_shared<counting_transport>(
            socket, max_answer_bytes, [kind, traffic = std::move(traffic)](std::size_t sent, std::size_t received) {
                traffic(kind, sent, received);
            });
        m_client = std::make_unique<wire::peer_exchangeClient>(
            std::make_shared<protocol::TCompactProtocol>(m_transport, max_answer_bytes, max_elements));
    }

    template <typename Call> auto call(Call&& operation) {
        try {
            if (!m_transport->isOpen()) {
                m_transport->open();
            }
            auto answer = operation(*m_client, m_mesh_hash);
            m_transport->report_received();
            return answer;
        } catch (const wire::refusal& refused) {
            throw error(result_code::peer_unreachable,
                        to_string(m_peer) + " refused the call with result code " + std::to_string(refused.code));
        } catch (const TException& problem) {
            throw error(result_code::peer_unreachable, to_string(m_peer) + ": " + problem.what());
        }
    }

private:
    endpoint m_peer;
    std::uint64_t m_mesh_hash;
    std::shared_ptr<counting_transport> m_transport;
    std::unique_ptr<wire::peer_exchangeClient> m_client;
};

rpc_client::rpc_client(const peer_settings& settings, const endpoint& peer, rpc_kind kind, rpc_traffic_callback traffic)
    : m_implementation(std::make_unique<implementation>(settings, peer, kind, std::move(traffic))) {}

rpc_client::~rpc_client() = default;

std::string rpc_client::pull(const configuration_digest& base) {
    return m_implementation->call([&](wire::peer_exchangeClient& client, std::uint64_t mesh) {
        wire::pull_request request;
        request.mesh_hash = static_cast<std::int64_t>(mesh);
        request.held = wire_conversion::to_wire(base);
        std::string answer;
        client.pull(answer, request);
        return answer;
    });
}

repair_difference rpc_client::compare(const repair_offer& offered) {
    return m_implementation->call([&](wire::peer_exchangeClient& client, std::uint64_t mesh) {
        wire::repair_difference answer;
        client.compare(answer, wire_conversion::to_wire(offered, mesh));
        return wire_conversion::from_wire(answer);
    });
}

repair_records rpc_client::exchange(const repair_exchange& request) {
    return m_implementation->call([&](wire::peer_exchangeClient& client, std::uint64_t mesh) {
        wire::repair_records answer;
        client.exchange(answer, wire_conversion::to_wire(request, mesh));
        return wire_conversion::from_wire(answer);
    });
}

} // namespace amaranthladder
